package lwtgateway

import (
	"bytes"
	"context"
	"crypto/rand"

	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtpeer"
	"lacewingtide/platform"
)

// Location and size in bytes of the key that authenticates connections between daemons.
const (
	secretTable = "secrets"
	peerKeyRow  = "peer-key"
	peerKeySize = 32
)

// peerKey returns the key that all daemons share. The first daemon creates it. peerKey
// retries until the store responds or ctx is canceled.
func (gateway *Gateway) peerKey(ctx context.Context) ([]byte, error) {
	key := make([]byte, peerKeySize)
	// Read never fails.
	_, _ = rand.Read(key)
	return gateway.storedPeerKey(ctx, key)
}

// storedPeerKey returns the key in the store, which is key if there was none. It retries until
// the store responds or ctx is canceled.
func (gateway *Gateway) storedPeerKey(ctx context.Context, key []byte) ([]byte, error) {
	for {
		row, err := gateway.store.Row(secretTable, peerKeyRow, StoreTimeout)
		if err == nil && row.Version == 0 {
			row, _, err = gateway.store.CompareAndSwap(platform.Row{Table: secretTable, Key: peerKeyRow, Value: key},
				StoreTimeout)
		}
		if err == nil && len(row.Value) == peerKeySize {
			return row.Value, nil
		}
		lwtlog.Info(gateway.logger, "peer-key-not-read", "err", err)
		if !sleep(ctx, storeRetryDelay) {
			return nil, ctx.Err()
		}
	}
}

// keepPeerKey writes the key again when a restored store has lost it, and takes over the one that
// another daemon has written meanwhile, until ctx is canceled.
func (gateway *Gateway) keepPeerKey(ctx context.Context, network *lwtpeer.Network, key []byte) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-gateway.eraChanged:
		}
		stored, err := gateway.storedPeerKey(ctx, key)
		if err != nil {
			return
		}
		if !bytes.Equal(stored, key) {
			lwtlog.Info(gateway.logger, "peer-key-changed", "era", gateway.storeEra.Load())
			key = stored
			network.SetKey(key)
		}
	}
}

// observeEra records the era of the store that a response or another daemon has named.
func (gateway *Gateway) observeEra(era int64) {
	for known := gateway.storeEra.Load(); era > known; known = gateway.storeEra.Load() {
		if !gateway.storeEra.CompareAndSwap(known, era) {
			continue
		}
		if known > 0 {
			select {
			case gateway.eraChanged <- struct{}{}:
			default:
			}
		}
		return
	}
}

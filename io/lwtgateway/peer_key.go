package lwtgateway

import (
	"context"
	"crypto/rand"

	"lacewingtide/io/lwtlog"
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
	for {
		row, err := gateway.store.Row(secretTable, peerKeyRow, StoreTimeout)
		if err == nil && row.Version == 0 {
			key := make([]byte, peerKeySize)
			// Read never fails.
			_, _ = rand.Read(key)
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

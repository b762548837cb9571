package lwtclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"lacewingtide/io/lwthttp"
)

// addressCache caches the entry addresses. Their TTL is counted from before they were
// requested, so that they expire before a draining daemon among them stops serving.
type addressCache struct {
	mutex       sync.Mutex
	bootstrap   []string
	cached      []string
	requestedAt time.Time
	ttl         time.Duration
	// failedAt is the time of the last failure of each address.
	failedAt map[string]time.Time
	// refreshing is held while addresses are requested, so that there is one request at a time.
	refreshing sync.Mutex
}

const (
	// failurePenalty is how long an address that gave no response is tried last.
	failurePenalty = 5 * time.Second
	fetchTimeout   = time.Second
	addressesPath  = "/v1/entry-addresses"
	// maxAddressesBytes is the maximum size of a response with addresses.
	maxAddressesBytes = 64 << 10
)

// get returns the cached addresses, whether they are still valid, and whether more than half
// of their TTL has passed, so that they should be refreshed.
func (addressCache *addressCache) get(now time.Time) (cached []string, valid, refreshDue bool) {
	addressCache.mutex.Lock()
	defer addressCache.mutex.Unlock()
	age := now.Sub(addressCache.requestedAt)
	valid = len(addressCache.cached) > 0 && age < addressCache.ttl
	return slices.Clone(addressCache.cached), valid, !valid || age > addressCache.ttl/2
}

func (addressCache *addressCache) store(requestedAt time.Time, cached []string, ttl time.Duration) {
	addressCache.mutex.Lock()
	defer addressCache.mutex.Unlock()
	addressCache.cached, addressCache.requestedAt, addressCache.ttl = cached, requestedAt, ttl
}

func (addressCache *addressCache) expire() {
	addressCache.mutex.Lock()
	defer addressCache.mutex.Unlock()
	addressCache.requestedAt = time.Time{}
}

func (addressCache *addressCache) recordFailure(now time.Time, address string) {
	addressCache.mutex.Lock()
	defer addressCache.mutex.Unlock()
	addressCache.failedAt[address] = now
}

// failedLast returns the addresses in their order, except that those that failed within
// failurePenalty come last.
func (addressCache *addressCache) failedLast(now time.Time, addresses []string) []string {
	addressCache.mutex.Lock()
	defer addressCache.mutex.Unlock()
	sorted := slices.Clone(addresses)
	slices.SortStableFunc(sorted, func(a, b string) int {
		return failureRank(now, addressCache.failedAt[a]) - failureRank(now, addressCache.failedAt[b])
	})
	return sorted
}

func failureRank(now, failedAt time.Time) int {
	if now.Sub(failedAt) < failurePenalty {
		return 1
	}
	return 0
}

// currentAddresses returns the addresses to try, best first. It requests new ones if the cached
// ones have expired, and in the background if more than half of their TTL has passed.
func (client *Client) currentAddresses(ctx context.Context) ([]string, error) {
	now := time.Now()
	cached, valid, refreshDue := client.addresses.get(now)
	if !refreshDue {
		return client.addresses.failedLast(now, cached), nil
	}
	if !valid {
		client.addresses.refreshing.Lock()
		return client.refresh(ctx)
	}
	if client.addresses.refreshing.TryLock() {
		// The cached addresses are still valid, so the error is ignored. If refreshing keeps
		// failing, the caller gets the error once they have expired.
		go func() { _, _ = client.refresh(context.WithoutCancel(ctx)) }()
	}
	return client.addresses.failedLast(now, cached), nil
}

// replaceAddresses discards the cached addresses, none of which could be reached, and requests
// new ones.
func (client *Client) replaceAddresses(ctx context.Context) ([]string, error) {
	client.addresses.refreshing.Lock()
	client.addresses.expire()
	return client.refresh(ctx)
}

// refresh requests addresses from the cached addresses and then from those of the options,
// until one responds. The caller must have locked refreshing, which refresh unlocks.
func (client *Client) refresh(ctx context.Context) ([]string, error) {
	defer client.addresses.refreshing.Unlock()
	now := time.Now()
	cached, _, refreshDue := client.addresses.get(now)
	if !refreshDue {
		return client.addresses.failedLast(now, cached), nil
	}
	var lastErr error
	for _, address := range client.addresses.failedLast(now, append(cached, client.addresses.bootstrap...)) {
		requestedAt := time.Now()
		found, ttl, err := client.fetchAddresses(ctx, address)
		if err == nil && len(found) > 0 {
			client.addresses.store(requestedAt, found, ttl)
			return client.addresses.failedLast(requestedAt, found), nil
		}
		lastErr = err
		if err != nil {
			client.addresses.recordFailure(requestedAt, address)
		}
	}
	return nil, &Error{Outcome: OutcomeNotRun, cause: fmt.Errorf("no entry daemon gave addresses: %w", lastErr)}
}

// fetchAddresses requests the entry addresses and their TTL from one daemon.
func (client *Client) fetchAddresses(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	// This uses a new connection because the address may no longer belong to a daemon.
	header, content, err := client.pool.Call(ctx, lwthttp.Request{
		Method: http.MethodGet, Address: address, Path: addressesPath, Fields: []byte("Authorization: Bearer " + client.options.Key + "\r\n"),
	}, maxAddressesBytes)
	if err != nil {
		return nil, 0, err
	}
	if header.StatusCode() != http.StatusOK {
		return nil, 0, fmt.Errorf("status %d", header.StatusCode())
	}
	var body struct {
		Addresses   []string `json:"entry-addresses"`
		KeepSeconds float64  `json:"keep-seconds"`
	}
	if err := json.Unmarshal(content, &body); err != nil {
		return nil, 0, fmt.Errorf("decode addresses: %w", err)
	}
	return body.Addresses, time.Duration(body.KeepSeconds * float64(time.Second)), nil
}

package lwtclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// addresses holds the entry addresses to use. They count from the moment
// before they were asked for, so that a daemon that leaves goes on serving
// longer than they are kept.
type addresses struct {
	mutex     sync.Mutex
	bootstrap []string
	answer    []string
	asked     time.Time
	keep      time.Duration
	failed    map[string]time.Time
	// asking serialises the requests for addresses.
	asking sync.Mutex
}

const (
	// failedTime is the time for which an address that refused a connection is
	// tried last.
	failedTime    = 5 * time.Second
	askTimeout    = time.Second
	addressesPath = "/v1/entry-addresses"
)

// fresh returns the kept addresses and whether they may still be used, and
// whether it is time to ask again.
func (addresses *addresses) fresh(now time.Time) (answer []string, valid, old bool) {
	addresses.mutex.Lock()
	defer addresses.mutex.Unlock()
	age := now.Sub(addresses.asked)
	valid = len(addresses.answer) > 0 && age < addresses.keep
	return slices.Clone(addresses.answer), valid, !valid || age > addresses.keep/2
}

func (addresses *addresses) set(asked time.Time, answer []string, keep time.Duration) {
	addresses.mutex.Lock()
	defer addresses.mutex.Unlock()
	addresses.answer, addresses.asked, addresses.keep = answer, asked, keep
}

func (addresses *addresses) expire() {
	addresses.mutex.Lock()
	defer addresses.mutex.Unlock()
	addresses.asked = time.Time{}
}

func (addresses *addresses) fail(now time.Time, address string) {
	addresses.mutex.Lock()
	defer addresses.mutex.Unlock()
	addresses.failed[address] = now
}

// ordered returns addresses with those that failed lately last.
func (addresses *addresses) ordered(now time.Time, list []string) []string {
	addresses.mutex.Lock()
	defer addresses.mutex.Unlock()
	ordered := slices.Clone(list)
	slices.SortStableFunc(ordered, func(a, b string) int {
		return rank(now, addresses.failed[a]) - rank(now, addresses.failed[b])
	})
	return ordered
}

func rank(now, failed time.Time) int {
	if now.Sub(failed) < failedTime {
		return 1
	}
	return 0
}

// use returns the addresses to try, best first. It asks for new ones when the
// kept ones are past half of their time.
func (client *Client) use(ctx context.Context) ([]string, error) {
	now := time.Now()
	answer, valid, old := client.addresses.fresh(now)
	if !old {
		return client.addresses.ordered(now, answer), nil
	}
	if !valid {
		client.addresses.asking.Lock()
		return client.refresh(ctx)
	}
	if client.addresses.asking.TryLock() {
		// The kept addresses serve meanwhile. A failure shows when they end.
		go func() { _, _ = client.refresh(context.WithoutCancel(ctx)) }()
	}
	return client.addresses.ordered(now, answer), nil
}

// renew asks for addresses because none of the kept ones could be reached.
func (client *Client) renew(ctx context.Context) ([]string, error) {
	client.addresses.asking.Lock()
	client.addresses.expire()
	return client.refresh(ctx)
}

// refresh asks the known addresses and then those of the options. The caller
// has locked asking.
func (client *Client) refresh(ctx context.Context) ([]string, error) {
	defer client.addresses.asking.Unlock()
	now := time.Now()
	answer, _, old := client.addresses.fresh(now)
	if !old {
		return client.addresses.ordered(now, answer), nil
	}
	var last error
	for _, address := range client.addresses.ordered(now, append(answer, client.addresses.bootstrap...)) {
		asked := time.Now()
		found, keep, err := client.ask(ctx, address)
		if err == nil && len(found) > 0 {
			client.addresses.set(asked, found, keep)
			return client.addresses.ordered(asked, found), nil
		}
		last = err
		if err != nil {
			client.addresses.fail(asked, address)
		}
	}
	return nil, &Error{Outcome: OutcomeNotRun, cause: fmt.Errorf("no entry daemon gave addresses: %w", last)}
}

func (client *Client) ask(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+addressesPath, nil)
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("Authorization", "Bearer "+client.options.Key)
	// A fresh connection: the address may be one that is no longer in use.
	response, err := client.fresh.RoundTrip(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("status %d", response.StatusCode)
	}
	var body struct {
		Addresses   []string `json:"entry-addresses"`
		KeepSeconds float64  `json:"keep-seconds"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil, 0, fmt.Errorf("decode addresses: %w", err)
	}
	return body.Addresses, time.Duration(body.KeepSeconds * float64(time.Second)), nil
}

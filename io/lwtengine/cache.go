package lwtengine

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtscorerouter"
	"lacewingtide/io/lwthttp"
)

// CacheEvents reads the changes to an engine's prefix cache after a sequence number. It omits
// events that the engine no longer retains.
func (client *Client) CacheEvents(address string, after int64) ([]lwtscorerouter.CacheEvent, error) {
	content, err := client.call(lwthttp.Request{
		Method: fasthttp.MethodGet, Address: address, Path: "/v1/cache-events?after=" + strconv.FormatInt(after, 10),
		MaxIdle: idleTimeout,
	})
	if err != nil {
		return nil, fmt.Errorf("read cache events of engine %s: %w", address, err)
	}
	var body struct {
		Events []struct {
			Sequence int64 `json:"sequence"`
			// Prefix is a prefix hash in hexadecimal.
			Prefix  string `json:"prefix"`
			Evicted bool   `json:"evicted"`
		} `json:"events"`
	}
	if err := json.Unmarshal(content, &body); err != nil {
		return nil, fmt.Errorf("decode cache events of engine %s: %w", address, err)
	}
	events := make([]lwtscorerouter.CacheEvent, 0, len(body.Events))
	for _, event := range body.Events {
		prefixHash, err := strconv.ParseUint(event.Prefix, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("decode cache event %d of engine %s: %w", event.Sequence, address, err)
		}
		events = append(events, lwtscorerouter.CacheEvent{
			Sequence: event.Sequence, PrefixHash: prefixHash, Evicted: event.Evicted,
		})
	}
	return events, nil
}

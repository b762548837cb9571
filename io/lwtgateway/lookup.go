package lwtgateway

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtaddress"
	"lacewingtide/io/lwtlog"
	"lacewingtide/platform"
)

const (
	// lookupTTL is how long callers may cache a response. A shorter time moves callers off
	// a draining daemon sooner, a longer one saves lookups.
	lookupTTL = 2 * time.Second
	// maxAddresses is the maximum number of addresses in a response.
	maxAddresses = 64
)

// serveLookup serves the entry addresses that a caller should use.
func (gateway *Gateway) serveLookup(ctx *fasthttp.RequestCtx) {
	if !platform.IsLookupRequest(string(ctx.Method()), string(ctx.Path())) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	zone := string(ctx.QueryArgs().Peek(platform.LookupZoneParameter))
	addresses := gateway.entryAddresses(time.Now(), zone)
	gateway.metrics.Count("lookups")
	if len(addresses) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(
		platform.LookupResponse(addresses, min(lookupTTL, seconds(gateway.bounds.Load().AddressTTLSeconds))),
	)
	if err != nil {
		lwtlog.Warn(gateway.logger, "lookup-not-encoded", "err", err)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// entryAddresses returns the entry addresses of the daemons that callers in an availability
// zone should use.
func (gateway *Gateway) entryAddresses(now time.Time, zone string) []string {
	var ready []lwtaddress.Endpoint
	zones := map[string]bool{}
	for _, member := range gateway.members.live(now) {
		zones[member.AvailabilityZone] = true
		serving := member.Ready
		if member.Name == gateway.settings.Name {
			serving = gateway.serving()
		}
		if serving {
			ready = append(ready, lwtaddress.Endpoint{Name: member.Name, Address: member.EntryAddress})
		}
	}
	return lwtaddress.Subset(ready, slices.Sorted(maps.Keys(zones)), zone, maxAddresses)
}

// serveReadiness serves the platform's readiness probe: status 200 if the daemon accepts
// requests, 503 if not.
func (gateway *Gateway) serveReadiness(ctx *fasthttp.RequestCtx) {
	switch {
	case !platform.IsReadinessProbe(string(ctx.Method()), string(ctx.Path())):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case !gateway.serving():
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

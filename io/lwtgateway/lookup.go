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
	// keepTime is how long callers may keep an answer. A shorter time moves
	// callers off a leaving daemon sooner, a longer one saves questions.
	keepTime = 2 * time.Second
	// maxAddresses bounds the addresses of one answer.
	maxAddresses = 64
)

// answerLookup tells a caller which entry addresses to use.
func (gateway *Gateway) answerLookup(ctx *fasthttp.RequestCtx) {
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
	body, err := json.Marshal(platform.LookupResponse(addresses, min(keepTime, seconds(gateway.bounds.Load().AddressTTLSeconds))))
	if err != nil {
		lwtlog.Warn(gateway.logger, "lookup-not-encoded", "err", err)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// entryAddresses returns the addresses of the daemons that the callers of an
// availability zone may use.
func (gateway *Gateway) entryAddresses(now time.Time, zone string) []string {
	var ready []lwtaddress.Endpoint
	zones := map[string]bool{}
	for _, member := range gateway.members.live(now) {
		zones[member.AvailabilityZone] = true
		serves := member.Ready
		if member.Name == gateway.settings.Name {
			serves = gateway.serving()
		}
		if serves {
			ready = append(ready, lwtaddress.Endpoint{Name: member.Name, Address: member.EntryAddress})
		}
	}
	return lwtaddress.Subset(ready, slices.Sorted(maps.Keys(zones)), zone, maxAddresses)
}

// answerReadiness tells the platform whether the daemon takes requests.
func (gateway *Gateway) answerReadiness(ctx *fasthttp.RequestCtx) {
	switch {
	case !platform.IsReadinessProbe(string(ctx.Method()), string(ctx.Path())):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case !gateway.serving():
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

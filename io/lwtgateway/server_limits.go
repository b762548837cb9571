package lwtgateway

import (
	"context"
	"fmt"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtsendlimit"
	"lacewingtide/io/lwtlog"
)

// observeLimit applies whether the response of a server to a request sent at sentAt names a
// limit of its request rate. Changed is false if nothing new was learned.
func (view *view) observeLimit(
	now, sentAt time.Time, server lwtdiscovery.Server, perSecond float64, limited bool,
) (limit lwtsendlimit.Limit, changed bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.limiter.ObserveResponse(now, sentAt, server, perSecond, limited)
}

// takeSend reports whether the limit of a server allows a request now, and if so counts it.
func (view *view) takeSend(now time.Time, server lwtdiscovery.Server) bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.limiter.Take(now, server)
}

// chargeSend counts a control request to a server. There are few, and not sending one would
// leave an engine in the wrong stage or with a KV cache that nobody fetches.
func (view *view) chargeSend(now time.Time, server lwtdiscovery.Server) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.limiter.Charge(now, server)
}

// limitUsage returns the use of each server's limit since the last call.
func (view *view) limitUsage(now time.Time) []lwtsendlimit.Usage {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.limiter.Usage(now)
}

// logLimit logs that a server has named a limit, changed it, or stopped naming it. Source is
// "answer" or the daemon that reported it.
func (gateway *Gateway) logLimit(limit lwtsendlimit.Limit, requestID, source string) {
	gateway.metrics.Count("server-limit-changes")
	lwtlog.Info(gateway.logger, "server-limit", "server", limit.ServerID, "started", limit.StartTime.UnixMilli(),
		"per-second", limit.PerSecond, "ended", limit.Ended, "request", requestID, "source", source)
}

// errServerLimit reports that a request was not sent because its server's limit was reached
// after the request was placed.
var errServerLimit = fmt.Errorf("request not sent: the request limit of the server is reached")

// limitUsageInterval is the time between two reports of the use of the servers' limits.
const limitUsageInterval = time.Second

// reportLimitUsage logs, for each server that names a limit, how many requests this daemon has
// sent to it.
func (gateway *Gateway) reportLimitUsage(ctx context.Context) error {
	return runEvery(ctx, limitUsageInterval, func(now time.Time) {
		for _, usage := range gateway.view.limitUsage(now) {
			gateway.metrics.CountBy("requests-to-limited-servers", usage.Sent)
			lwtlog.Info(gateway.logger, "server-limit-used", "server", usage.ServerID, "per-second", usage.PerSecond,
				"share", usage.Share, "age", now.Sub(usage.ObservedAt).Round(time.Millisecond), "sent", usage.Sent)
		}
	})
}

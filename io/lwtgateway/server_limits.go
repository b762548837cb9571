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
// limit of its request rate.
func (view *view) observeLimit(
	now, sentAt time.Time, server lwtdiscovery.Server, perSecond float64, limited bool,
) lwtsendlimit.Observation {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.limiter.ObserveResponse(now, sentAt, server, perSecond, limited)
}

// observeReportedLimit applies a limit that another daemon has reported.
func (view *view) observeReportedLimit(now time.Time, limit lwtsendlimit.Limit) lwtsendlimit.Observation {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.limiter.ObserveReport(now, limit)
}

// admit returns an error if a server takes no request of a caller now, and otherwise counts the
// request in the server's limit. It is called for each request right before it is sent: since it
// was placed, the server may have begun to drain, requested a backoff or reached its limit.
func (view *view) admit(now time.Time, server lwtdiscovery.Server) error {
	if view.inBackoff(now, server) {
		return errServerBackoff
	}
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if current, listed := view.byID[server.ID]; !listed || current.Draining {
		return errServerLeaving
	}
	if !view.limiter.Take(now, server) {
		return errServerLimit
	}
	return nil
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

// serverLimit is the limit of a server's request rate, as reported to other daemons.
type serverLimit struct {
	ID string `cbor:"1,keyasint"`
	// StartedUnixMilli is the server's start time in milliseconds since the Unix epoch, by
	// its own clock.
	StartedUnixMilli int64   `cbor:"2,keyasint"`
	PerSecond        float64 `cbor:"3,keyasint,omitempty"`
	// Ended says that the server no longer names a limit.
	Ended bool `cbor:"4,keyasint,omitempty"`
	// AgeMilliseconds is how long ago the response arrived that named the limit.
	AgeMilliseconds int64 `cbor:"5,keyasint,omitempty"`
}

func encodeLimit(now time.Time, limit lwtsendlimit.Limit) serverLimit {
	return serverLimit{
		ID: limit.ServerID, StartedUnixMilli: limit.StartTime.UnixMilli(), PerSecond: limit.PerSecond, Ended: limit.Ended,
		AgeMilliseconds: now.Sub(limit.ObservedAt).Milliseconds(),
	}
}

func (limit serverLimit) decode(now time.Time) lwtsendlimit.Limit {
	return lwtsendlimit.Limit{
		ServerID: limit.ID, StartTime: time.UnixMilli(limit.StartedUnixMilli), PerSecond: limit.PerSecond,
		Ended: limit.Ended, ObservedAt: now.Add(-time.Duration(limit.AgeMilliseconds) * time.Millisecond),
	}
}

// recordLimit applies whether a response names a limit and informs the other daemons.
func (gateway *Gateway) recordLimit(
	server lwtdiscovery.Server, requestID string, sentAt time.Time, perSecond float64, limited bool,
) {
	now := time.Now()
	observation := gateway.view.observeLimit(now, sentAt, server, perSecond, limited)
	if observation.Changed {
		gateway.logLimit(observation.Limit, requestID, "answer")
	}
	if observation.Due {
		gateway.sendServerMessage("", serverMessage{Limits: []serverLimit{encodeLimit(now, observation.Limit)}})
	}
}

// applyLimits applies limits that another daemon has reported, and returns those that are due
// for other daemons.
func (gateway *Gateway) applyLimits(daemon string, limits []serverLimit) (due []serverLimit) {
	now := time.Now()
	for _, limit := range limits {
		observation := gateway.view.observeReportedLimit(now, limit.decode(now))
		if observation.Changed {
			gateway.logLimit(observation.Limit, "", daemon)
		}
		if observation.Due {
			due = append(due, limit)
		}
	}
	return due
}

// errServerLimit reports that a request was not sent because its server's limit was reached
// after the request was placed.
var errServerLimit = fmt.Errorf("request not sent: the request limit of the server is reached")

// limitUsageInterval is the time between two reports of the use of the servers' limits.
const limitUsageInterval = time.Second

// reportLimitUsage logs, for each server that names a limit, this daemon's share of it and how many
// requests it has sent.
func (gateway *Gateway) reportLimitUsage(ctx context.Context) error {
	return runEvery(ctx, limitUsageInterval, func(now time.Time) {
		for _, usage := range gateway.view.limitUsage(now) {
			if usage.Sent == 0 && usage.Share == 0 {
				continue
			}
			gateway.metrics.CountBy("requests-to-limited-servers", usage.Sent)
			lwtlog.Info(gateway.logger, "server-limit-used", "server", usage.ServerID, "per-second", usage.PerSecond,
				"share", usage.Share, "age", now.Sub(usage.ObservedAt).Round(time.Millisecond), "sent", usage.Sent)
		}
	})
}

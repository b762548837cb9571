package lwtgateway

import (
	"context"
	"net"
	"time"

	"lacewingtide/io/lwtlog"
)

// Shares of the grace period.
const (
	// leaveShare is the part for which the daemon takes every request of callers
	// that have not asked for addresses again.
	leaveShare = 0.3
	// shortShare is the part for which it goes on taking requests that certainly
	// end in time, so that callers whose other daemons leave too are served.
	shortShare = 0.7
	// endShare is the part after which the daemon ends in any case.
	endShare = 0.93
	// quietTime is how long no request must have come for the daemon to end early.
	quietTime = 500 * time.Millisecond
	// quietInterval is the time between two looks at the requests in work.
	quietInterval = 50 * time.Millisecond
)

// leave is the state of a daemon that shuts down.
type leave struct {
	start time.Time
	grace time.Duration
}

// takes reports whether a request that ends within a span is still taken.
func (leave leave) takes(now time.Time, span time.Duration) bool {
	if leave.start.IsZero() || now.Sub(leave.start) < time.Duration(leaveShare*float64(leave.grace)) {
		return true
	}
	return !now.Add(span).After(leave.end())
}

func (leave leave) end() time.Time {
	return leave.start.Add(time.Duration(endShare * float64(leave.grace)))
}

// shutdown leaves without cutting a request: callers are sent elsewhere, those
// that still come are served, and the last answers are waited for.
func (gateway *Gateway) shutdown(entry net.Listener) {
	start := time.Now()
	grace := seconds(gateway.bounds.Load().GraceSeconds)
	gateway.mutex.Lock()
	gateway.leaving = leave{start: start, grace: grace}
	gateway.mutex.Unlock()
	open, busy := gateway.entry.Connections()
	lwtlog.Info(gateway.logger, "daemon-leaving", "grace", grace, "connections", open, "busy", busy)
	gateway.sendLoads(start)
	gateway.orders.release()
	go gateway.writeMember()
	gateway.entry.Drain()
	time.Sleep(time.Duration(leaveShare * float64(grace)))
	gateway.awaitQuiet(start.Add(time.Duration(shortShare * float64(grace))))
	_ = entry.Close()
	gateway.entry.CloseIdle()
	ctx, cancel := context.WithDeadline(context.Background(), gateway.leaveState().end())
	defer cancel()
	gateway.entry.Wait(ctx)
	open, busy = gateway.entry.Connections()
	lwtlog.Info(gateway.logger, "daemon-left", "took", time.Since(start).Round(time.Millisecond), "connections", open, "busy", busy)
}

// awaitQuiet returns when no request has been in work for quietTime, or at until.
func (gateway *Gateway) awaitQuiet(until time.Time) {
	quietSince := time.Now()
	for now := quietSince; now.Before(until) && now.Sub(quietSince) < quietTime; now = time.Now() {
		if _, busy := gateway.entry.Connections(); busy > 0 {
			quietSince = now
		}
		time.Sleep(quietInterval)
	}
}

func (gateway *Gateway) leaveState() leave {
	gateway.mutex.Lock()
	defer gateway.mutex.Unlock()
	return gateway.leaving
}

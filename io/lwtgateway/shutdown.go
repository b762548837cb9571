package lwtgateway

import (
	"context"
	"net"
	"time"

	"lacewingtide/io/lwtlog"
)

// Phases of a shutdown as fractions of the grace period, and the wait for idleness.
const (
	// acceptAllFraction is the part in which the daemon still accepts every request, from
	// callers that have not looked up the addresses again.
	acceptAllFraction = 0.3
	// acceptShortFraction is the part up to which it accepts requests whose timeout ends
	// before the daemon exits, for callers whose other daemons are shutting down too.
	acceptShortFraction = 0.7
	// exitFraction is the part after which the daemon exits even if requests are in flight.
	exitFraction = 0.93
	// idleBeforeExit is how long no request may have been in flight for the daemon to exit
	// early.
	idleBeforeExit = 500 * time.Millisecond
	// lastWriteTimeout bounds the last write to the store. The grace period ends soon after.
	lastWriteTimeout = 250 * time.Millisecond
	// idleCheckInterval is the time between two checks for requests in flight.
	idleCheckInterval = 50 * time.Millisecond
)

// drainPhase is the progress of a shutdown. It is zero while the daemon is not shutting
// down.
type drainPhase struct {
	startTime   time.Time
	gracePeriod time.Duration
}

// accepts reports whether a request with a timeout is still accepted.
func (drainPhase drainPhase) accepts(now time.Time, timeout time.Duration) bool {
	if drainPhase.startTime.IsZero() ||
		now.Sub(drainPhase.startTime) < time.Duration(acceptAllFraction*float64(drainPhase.gracePeriod)) {
		return true
	}
	return !now.Add(timeout).After(drainPhase.deadline())
}

func (drainPhase drainPhase) deadline() time.Time {
	return drainPhase.startTime.Add(time.Duration(exitFraction * float64(drainPhase.gracePeriod)))
}

// shutdown drains the daemon without aborting requests: lookups no longer return this
// daemon, requests that still arrive are served, and requests in flight are completed.
func (gateway *Gateway) shutdown(entry net.Listener) {
	startTime := time.Now()
	gracePeriod := seconds(gateway.bounds.Load().GraceSeconds)
	gateway.mutex.Lock()
	gateway.drain = drainPhase{startTime: startTime, gracePeriod: gracePeriod}
	gateway.mutex.Unlock()
	open, busy := gateway.entryServer.Connections()
	lwtlog.Info(gateway.logger, "daemon-leaving", "grace", gracePeriod, "connections", open, "busy", busy)
	gateway.sendLoads(startTime)
	gateway.orderSender.releaseLease()
	go gateway.writeRows(StoreTimeout)
	gateway.entryServer.Drain()
	time.Sleep(time.Duration(acceptAllFraction * float64(gracePeriod)))
	gateway.awaitIdle(startTime.Add(time.Duration(acceptShortFraction * float64(gracePeriod))))
	_ = entry.Close()
	gateway.entryServer.CloseIdle()
	ctx, cancel := context.WithDeadline(context.Background(), gateway.drainState().deadline())
	defer cancel()
	gateway.entryServer.Wait(ctx)
	if gateway.streamsUnwritten(time.Now()) {
		gateway.writeRows(lastWriteTimeout)
	}
	open, busy = gateway.entryServer.Connections()
	lwtlog.Info(gateway.logger, "daemon-left", "took", time.Since(startTime).Round(time.Millisecond), "connections", open,
		"busy", busy)
}

// awaitIdle waits until no request has been in flight for idleBeforeExit, or until the given
// time.
func (gateway *Gateway) awaitIdle(until time.Time) {
	idleSince := time.Now()
	for now := idleSince; now.Before(until) && now.Sub(idleSince) < idleBeforeExit; now = time.Now() {
		if _, busy := gateway.entryServer.Connections(); busy > 0 {
			idleSince = now
		}
		time.Sleep(idleCheckInterval)
	}
}

func (gateway *Gateway) drainState() drainPhase {
	gateway.mutex.Lock()
	defer gateway.mutex.Unlock()
	return gateway.drain
}

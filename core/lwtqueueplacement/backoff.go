package lwtqueueplacement

import (
	"maps"
	"time"

	"lacewingtide/core/lwtdiscovery"
)

// maxBackoff bounds the backoff that a server can request, so that one that asks for too
// long by a fault receives requests again.
const maxBackoff = time.Minute

// backoff is a period in which a server has asked for no requests. An overloaded server
// spends work on every request that it has to reject. The zero backoff has ended.
type backoff struct{ end time.Time }

// extended returns the backoff after the server has asked for one of the given duration. It
// never ends earlier than before.
func (backoff backoff) extended(now time.Time, duration time.Duration) backoff {
	if end := now.Add(min(duration, maxBackoff)); end.After(backoff.end) {
		backoff.end = end
	}
	return backoff
}

func (backoff backoff) active(now time.Time) bool { return now.Before(backoff.end) }

// incarnation identifies the process of a server.
type incarnation struct {
	id, address string
	startTime   time.Time
}

func incarnationOf(server lwtdiscovery.Server) incarnation {
	return incarnation{id: server.ID, address: server.Address, startTime: server.StartTime.UTC()}
}

// backoffs holds the backoffs of servers, also while their entries are missing from the list of servers:
// one that comes back as the same process still wants no requests.
type backoffs map[incarnation]backoff

// extend extends the backoff of a server and returns it. Backoffs that have ended are dropped.
func (backoffs backoffs) extend(now time.Time, server lwtdiscovery.Server, duration time.Duration) backoff {
	maps.DeleteFunc(backoffs, func(_ incarnation, backoff backoff) bool { return !backoff.active(now) })
	extended := backoffs[incarnationOf(server)].extended(now, duration)
	backoffs[incarnationOf(server)] = extended
	return extended
}

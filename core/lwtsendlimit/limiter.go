// Package lwtsendlimit keeps daemons within the request rates that backend servers name.
//
// An overloaded server names in its responses the number of requests per second that it takes
// from all daemons together.
package lwtsendlimit

import (
	"slices"
	"strings"
	"time"

	"lacewingtide/core/lwtdiscovery"
)

// Limit is what a response of a server says about its request rate.
type Limit struct {
	ServerID string
	// StartTime is the server's start by its own clock. A restart ends the limit.
	StartTime time.Time
	// PerSecond is the number of requests per second that the server takes from all daemons.
	PerSecond float64
	// Ended says that the server no longer names a limit.
	Ended bool
	// ObservedAt is when the response arrived.
	ObservedAt time.Time
}

// Limiter holds the limits of all servers, as one daemon knows them. It is not safe for
// concurrent use.
type Limiter struct {
	entries map[string]*entry
}

// entry is the last known limit of a server.
type entry struct {
	Limit
	// sent is the number of requests that this daemon has sent since the last call of Usage.
	sent int
}

// New returns a limiter without limits.
func New() *Limiter { return &Limiter{entries: map[string]*entry{}} }

// limitTTL is how long a limit is kept after the last response that named it.
const limitTTL = 5 * time.Second

func (entry *entry) expired(now time.Time) bool { return now.Sub(entry.ObservedAt) >= limitTTL }

// ObserveResponse applies the response of a server to a request that was sent at sentAt.
// Limited says whether it names a limit. Changed is false if nothing new was learned.
func (limiter *Limiter) ObserveResponse(
	now, sentAt time.Time, server lwtdiscovery.Server, perSecond float64, limited bool,
) (limit Limit, changed bool) {
	limit = Limit{
		ServerID: server.ID, StartTime: server.StartTime, PerSecond: perSecond, Ended: !limited, ObservedAt: now,
	}
	previous := limiter.active(now, server)
	// Responses on different connections may overtake each other, so only a response to a
	// request that was sent after the limit was named ends it.
	if !limited && (previous == nil || !sentAt.After(previous.ObservedAt)) {
		return limit, false
	}
	return limit, limiter.apply(now, limit)
}

// active returns the limit that a server names, or nil if it names none.
func (limiter *Limiter) active(now time.Time, server lwtdiscovery.Server) *entry {
	found := limiter.entries[server.ID]
	if found == nil || found.Ended || found.expired(now) || !found.StartTime.Equal(server.StartTime) {
		return nil
	}
	return found
}

// apply stores a limit and reports whether it differs from the one before.
func (limiter *Limiter) apply(now time.Time, limit Limit) (changed bool) {
	previous := limiter.entries[limit.ServerID]
	if previous == nil || previous.expired(now) || !previous.StartTime.Equal(limit.StartTime) {
		limiter.entries[limit.ServerID] = &entry{Limit: limit}
		return true
	}
	changed = previous.Ended != limit.Ended || previous.PerSecond != limit.PerSecond
	previous.Limit = limit
	return changed
}

// RecordSent counts a request that is sent to a server.
func (limiter *Limiter) RecordSent(now time.Time, server lwtdiscovery.Server) {
	if active := limiter.active(now, server); active != nil {
		active.sent++
	}
}

// Usage is the use of the limit of one server by one daemon.
type Usage struct {
	Limit
	// Sent is the number of requests that the daemon has sent since the last call.
	Sent int
}

// Usage returns the use of each active limit, sorted by server id, and removes the expired
// ones.
func (limiter *Limiter) Usage(now time.Time) []Usage {
	var usages []Usage
	for id, entry := range limiter.entries {
		if entry.expired(now) {
			delete(limiter.entries, id)
			continue
		}
		if !entry.Ended {
			usages = append(usages, Usage{Limit: entry.Limit, Sent: entry.sent})
		}
		entry.sent = 0
	}
	slices.SortFunc(usages, func(a, b Usage) int { return strings.Compare(a.ServerID, b.ServerID) })
	return usages
}

// Package lwtsendlimit keeps the daemons together within the request rates that backend servers
// name.
//
// It is designed for one to hundreds of daemons and for overloaded servers that take from less
// than one to some hundred requests per second from all of them together. An equal share of such
// a rate may be one request in many seconds; daemons that each saved up a single request would
// exceed the rate many times over when load arrives. A rate is therefore divided among as many
// daemons as it allows requests per second, at most, and the others send nothing to the server.
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

// Observation is what a daemon has learned of a limit.
type Observation struct {
	Limit
	// Changed reports whether the limit is new, has another rate, or has ended.
	Changed bool
	// Due reports whether the other daemons are to be informed: of a change, or from time to
	// time of a limit that still holds, so that they keep it.
	Due bool
}

// Limiter holds the limits of all servers and the share of one daemon in each. It is not safe
// for concurrent use.
type Limiter struct {
	self string
	// daemons holds the names of the live daemons, self included.
	daemons []string
	entries map[string]*entry
}

// entry is the last known limit of a server.
type entry struct {
	Limit
	// bucket holds the requests that this daemon may send.
	bucket bucket
	// announcedAt is when the last response arrived of which the daemons were informed.
	announcedAt time.Time
	// sent is the number of requests that this daemon has sent since the last call of Usage.
	sent int
}

// New returns a limiter without limits for the daemon with the name self, which is the only one
// until SetDaemons is called.
func New(self string) *Limiter {
	return &Limiter{self: self, daemons: []string{self}, entries: map[string]*entry{}}
}

// SetDaemons sets the names of the live daemons, self included.
func (limiter *Limiter) SetDaemons(now time.Time, names []string) {
	if slices.Equal(limiter.daemons, names) {
		return
	}
	limiter.daemons = slices.Clone(names)
	for _, entry := range limiter.entries {
		entry.bucket = entry.bucket.withRate(now, limiter.share(entry.Limit))
	}
}

// share returns the requests per second that this daemon may send to a server.
func (limiter *Limiter) share(limit Limit) float64 {
	return share(limiter.self, limiter.daemons, limit.ServerID, limit.PerSecond)
}

const (
	// limitTTL is how long a limit is kept after the last response that named it, in addition
	// to the time that limitTTLRequests requests take at its rate.
	limitTTL         = 5 * time.Second
	limitTTLRequests = 2
)

func (entry *entry) expired(now time.Time) bool {
	ttl := limitTTL + time.Duration(limitTTLRequests/max(entry.PerSecond, minRate)*float64(time.Second))
	return now.Sub(entry.ObservedAt) >= ttl
}

// announceInterval is the time after which the daemons are informed again of a limit that still
// holds. Several such messages may be lost within limitTTL.
const announceInterval = time.Second

// ObserveResponse applies the response of a server to a request that was sent at sentAt.
// Limited says whether it names a limit.
func (limiter *Limiter) ObserveResponse(
	now, sentAt time.Time, server lwtdiscovery.Server, perSecond float64, limited bool,
) Observation {
	limit := Limit{
		ServerID: server.ID, StartTime: server.StartTime, PerSecond: perSecond, Ended: !limited, ObservedAt: now,
	}
	previous := limiter.active(now, server)
	// Responses on different connections may overtake each other, so only a response to a
	// request that was sent after the limit was named ends it.
	if !limited && (previous == nil || !sentAt.After(previous.ObservedAt)) {
		return Observation{Limit: limit}
	}
	return limiter.apply(now, limit)
}

// ObserveReport applies a limit that another daemon has reported.
func (limiter *Limiter) ObserveReport(now time.Time, limit Limit) Observation {
	previous := limiter.entries[limit.ServerID]
	if previous != nil && !previous.expired(now) {
		restarted := limit.StartTime.After(previous.StartTime)
		if !restarted && !limit.ObservedAt.After(previous.ObservedAt) || limit.StartTime.Before(previous.StartTime) {
			return Observation{Limit: limit}
		}
	}
	return limiter.apply(now, limit)
}

// active returns the limit that a server names, or nil if it names none.
func (limiter *Limiter) active(now time.Time, server lwtdiscovery.Server) *entry {
	found := limiter.entries[server.ID]
	if found == nil || found.Ended || found.expired(now) || !found.StartTime.Equal(server.StartTime) {
		return nil
	}
	return found
}

// apply stores a limit.
func (limiter *Limiter) apply(now time.Time, limit Limit) Observation {
	stored := limiter.entries[limit.ServerID]
	known := stored != nil && !stored.expired(now) && stored.StartTime.Equal(limit.StartTime)
	changed := !known || stored.Ended != limit.Ended || stored.PerSecond != limit.PerSecond
	switch {
	case !known || stored.Ended && !limit.Ended:
		stored = &entry{bucket: newBucket(now, limiter.share(limit))}
		limiter.entries[limit.ServerID] = stored
	case changed:
		stored.bucket = stored.bucket.withRate(now, limiter.share(limit))
	}
	stored.Limit = limit
	due := changed || limit.ObservedAt.Sub(stored.announcedAt) >= announceInterval
	if due {
		stored.announcedAt = limit.ObservedAt
	}
	return Observation{Limit: limit, Changed: changed, Due: due}
}

// Allows reports whether this daemon may send a request to a server now.
func (limiter *Limiter) Allows(now time.Time, server lwtdiscovery.Server) bool {
	active := limiter.active(now, server)
	return active == nil || active.bucket.at(now).available()
}

// NextAt returns when this daemon may send a request to a server whose limit does not allow one
// now. The time is zero if the daemon has no share in the limit. Limited is false if the server
// names no limit.
func (limiter *Limiter) NextAt(now time.Time, server lwtdiscovery.Server) (at time.Time, limited bool) {
	active := limiter.active(now, server)
	if active == nil {
		return time.Time{}, false
	}
	return active.bucket.at(now).nextAt(), true
}

// Take reports whether this daemon may send a request to a server now, and if so counts it.
func (limiter *Limiter) Take(now time.Time, server lwtdiscovery.Server) bool {
	if !limiter.Allows(now, server) {
		return false
	}
	limiter.Charge(now, server)
	return true
}

// Charge counts a request that is sent to a server whether or not its limit allows one. Later
// requests make up for it.
func (limiter *Limiter) Charge(now time.Time, server lwtdiscovery.Server) {
	if active := limiter.active(now, server); active != nil {
		active.bucket = active.bucket.at(now).withSpent()
		active.sent++
	}
}

// Usage is the use of the limit of one server by one daemon.
type Usage struct {
	Limit
	// Share is the number of requests per second that the daemon may send.
	Share float64
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
			usages = append(usages, Usage{Limit: entry.Limit, Share: entry.bucket.perSecond, Sent: entry.sent})
		}
		entry.sent = 0
	}
	slices.SortFunc(usages, func(a, b Usage) int { return strings.Compare(a.ServerID, b.ServerID) })
	return usages
}

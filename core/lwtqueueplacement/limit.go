package lwtqueueplacement

import (
	"time"

	"lacewingtide/core/lwtdiscovery"
)

// RateLimits holds the limits that servers set on the rate of requests from all daemons.
type RateLimits interface {
	// Allows reports whether a request may be sent to a server now.
	Allows(now time.Time, server lwtdiscovery.Server) bool
	// NextAt returns when a request may be sent to a server, or zero if that is not known.
	// Limited is false if the server has set no limit.
	NextAt(now time.Time, server lwtdiscovery.Server) (at time.Time, limited bool)
}

// unlimited is used if no RateLimits are given.
type unlimited struct{}

// Allows implements RateLimits.
func (unlimited) Allows(time.Time, lwtdiscovery.Server) bool { return true }

// NextAt implements RateLimits.
func (unlimited) NextAt(time.Time, lwtdiscovery.Server) (time.Time, bool) { return time.Time{}, false }

// noShareRetryAfter is the retry delay if the rate limits of all servers are divided among other
// daemons. A retry probably reaches one of them.
const noShareRetryAfter = time.Second

// unavailability collects why the servers that could take a request take none now: their
// backoffs or rate limits. The zero value holds no server.
type unavailability struct {
	// backoffEnd and limitEnd are the earliest times at which a server in backoff, or at its
	// limit, takes a request again. They are zero if there is none.
	backoffEnd, limitEnd time.Time
	limited              bool
}

// withServer adds a server.
func (unavailability unavailability) withServer(
	now time.Time, server lwtdiscovery.Server, backoff backoff, rateLimits RateLimits,
) unavailability {
	if backoff.active(now) {
		unavailability.backoffEnd = backoff.earlierEnd(now, unavailability.backoffEnd)
		return unavailability
	}
	at, limited := rateLimits.NextAt(now, server)
	unavailability.limited = unavailability.limited || limited
	if limited && !at.IsZero() && (unavailability.limitEnd.IsZero() || at.Before(unavailability.limitEnd)) {
		unavailability.limitEnd = at
	}
	return unavailability
}

// reject rejects a request for which no server is available, or returns nil if neither a backoff
// nor a limit is the reason.
func (unavailability unavailability) reject(now time.Time) *Rejection {
	switch {
	case !unavailability.limitEnd.IsZero():
		return &Rejection{Reason: "servers-limit", RetryAfter: retryAfterUntil(now, unavailability.limitEnd)}
	case unavailability.limited:
		return &Rejection{Reason: "servers-limit", RetryAfter: noShareRetryAfter}
	case !unavailability.backoffEnd.IsZero():
		return &Rejection{Reason: "servers-pause", RetryAfter: retryAfterUntil(now, unavailability.backoffEnd)}
	}
	return nil
}

// retryAfterUntil returns the retry delay of a request that can be served from a moment on.
func retryAfterUntil(now, from time.Time) time.Duration {
	return min(max(from.Sub(now), minRetryAfter), maxRetryAfter)
}

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

// unavailability says why the servers that could take a request take none now, and when the first
// of them does again. The zero value holds no server.
type unavailability struct {
	// retryAt is when the first server takes a request again, or zero if that is not known for
	// any. Reason says what keeps it from doing so before.
	retryAt time.Time
	reason  string
	// limited is set if a server is at its rate limit.
	limited bool
}

// withServer adds a server.
func (unavailability unavailability) withServer(
	now time.Time, server lwtdiscovery.Server, backoff backoff, rateLimits RateLimits,
) unavailability {
	at, reason := backoff.end, reasonBackoff
	if !backoff.active(now) {
		var limited bool
		if at, limited = rateLimits.NextAt(now, server); !limited {
			return unavailability
		}
		reason, unavailability.limited = reasonLimit, true
	}
	if !at.IsZero() && (unavailability.retryAt.IsZero() || at.Before(unavailability.retryAt)) {
		unavailability.retryAt, unavailability.reason = at, reason
	}
	return unavailability
}

// Reasons of rejections, as logged.
const (
	reasonBackoff = "servers-pause"
	reasonLimit   = "servers-limit"
)

// reject rejects a request for which no server is available, or returns nil if neither a backoff
// nor a limit is the reason.
func (unavailability unavailability) reject(now time.Time) *Rejection {
	switch {
	case !unavailability.retryAt.IsZero():
		delay := min(max(unavailability.retryAt.Sub(now), minRetryAfter), maxRetryAfter)
		return &Rejection{Reason: unavailability.reason, RetryAfter: delay}
	case unavailability.limited:
		return &Rejection{Reason: reasonLimit, RetryAfter: noShareRetryAfter}
	}
	return nil
}

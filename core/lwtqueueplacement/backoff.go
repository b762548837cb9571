package lwtqueueplacement

import "time"

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

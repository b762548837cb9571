package lwtqueueplacement

import "time"

// maxPause bounds the time for which a server that turns requests away gets none.
// One that asks for more by a fault is asked again after it.
const maxPause = time.Minute

// pause is the time during which a server wants no request. The load it answers:
// a server that is overloaded, to which every request is work that it has to turn
// away. The zero pause has ended.
type pause struct{ end time.Time }

// extended returns the pause after the server has asked for a span.
func (pause pause) extended(now time.Time, span time.Duration) pause {
	if end := now.Add(min(span, maxPause)); end.After(pause.end) {
		pause.end = end
	}
	return pause
}

func (pause pause) holds(now time.Time) bool { return now.Before(pause.end) }

// earlier returns the end of a pause if it holds and ends before the one given.
// A zero end is none.
func (pause pause) earlier(now, end time.Time) time.Time {
	if pause.holds(now) && (end.IsZero() || pause.end.Before(end)) {
		return pause.end
	}
	return end
}

// pauseRefusal refuses a request because all servers that could take it pause
// until a time. A zero time means that there is no such server.
func pauseRefusal(now, until time.Time) *Rejection {
	if until.IsZero() {
		return nil
	}
	return &Rejection{Reason: "servers-pause", RetryAfter: min(max(until.Sub(now), minRetry), maxRetry)}
}

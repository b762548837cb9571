package lwtplatform

import "time"

// Bounds of the calls of one daemon.
const (
	// outageFailures is the number of failures in a row that count as an
	// outage. One lost answer must not stop the read that resolves it.
	outageFailures = 3
	firstBackoff   = 100 * time.Millisecond
	// defaultMaxBackoff bounds the pause between two probes. It adds to the time
	// after which a change is known once the store is back.
	defaultMaxBackoff = 5 * time.Second
	// budgetBurst is the number of calls that may be made at once after a
	// pause. A starting daemon reads a snapshot and up to 32 tickets.
	budgetBurst = 100
	// minBudget is the least number of calls per second of one daemon, however
	// large the fleet is: a poll of the head and a renewed lease.
	minBudget = 2
)

// admission says whether a call may be made.
type admission int

const (
	admitted admission = iota
	// probe admits the single call that tries whether an outage is over.
	probe
	// overBudget refuses a call beyond the daemon's share of the store.
	overBudget
	// inOutage refuses a call until the next probe.
	inOutage
)

// gate bounds the calls of one daemon to the store and stops them during an
// outage but for a single probe at a time. It is a pure value.
type gate struct {
	// rate is the budget in calls per second.
	rate    float64
	tokens  float64
	refill  time.Time
	failed  int
	backoff time.Duration
	// maxBackoff bounds the pause between two probes.
	maxBackoff time.Duration
	// retry is the time of the next probe.
	retry   time.Time
	probing bool
}

func newGate(now time.Time, rate float64) gate {
	return gate{rate: rate, tokens: budgetBurst, refill: now, maxBackoff: defaultMaxBackoff}
}

// withRate returns the gate with another budget in calls per second.
func (gate gate) withRate(rate float64) gate {
	gate.rate = max(rate, minBudget)
	return gate
}

// admit asks for one call. Each admitted call ends with ended.
func (gate gate) admit(now time.Time) (gate, admission) {
	if elapsed := now.Sub(gate.refill).Seconds(); elapsed > 0 {
		gate.tokens = min(gate.tokens+elapsed*gate.rate, budgetBurst)
		gate.refill = now
	}
	outage := gate.failed >= outageFailures
	switch {
	case outage && (gate.probing || now.Before(gate.retry)):
		return gate, inOutage
	case gate.tokens < 1:
		return gate, overBudget
	}
	gate.tokens--
	if outage {
		gate.probing = true
		return gate, probe
	}
	return gate, admitted
}

// ended notes the end of a call that was admitted as call. Random is uniform
// in [0, 1).
func (gate gate) ended(now time.Time, call admission, answered bool, random float64) gate {
	if answered {
		gate.failed, gate.backoff, gate.probing = 0, 0, false
		return gate
	}
	gate.failed++
	// Calls that were on their way when the outage began don't lengthen it.
	if gate.failed != outageFailures && call != probe {
		return gate
	}
	gate.probing = gate.probing && call != probe
	gate.backoff = min(max(2*gate.backoff, firstBackoff), gate.maxBackoff)
	gate.retry = now.Add(time.Duration(float64(gate.backoff) * (0.5 + random/2)))
	return gate
}

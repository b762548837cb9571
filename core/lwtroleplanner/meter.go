package lwtroleplanner

import (
	"math"
	"time"
)

// Meter measures the demand that one daemon sees, as an exponential mean over
// Span. The zero value is not usable; use NewMeter.
type Meter struct {
	span time.Duration
	at   time.Time
	sum  Demand
}

// NewMeter returns a meter with a given span.
func NewMeter(span time.Duration) Meter { return Meter{span: span} }

// WithRequest adds a request.
func (meter Meter) WithRequest(now time.Time, work Demand) Meter {
	meter = meter.decayed(now)
	meter.sum = meter.sum.Plus(work)
	return meter
}

// Demand returns the demand per second.
func (meter Meter) Demand(now time.Time) Demand {
	return meter.decayed(now).sum.Times(1 / meter.span.Seconds())
}

func (meter Meter) decayed(now time.Time) Meter {
	if elapsed := now.Sub(meter.at); elapsed > 0 && !meter.at.IsZero() {
		meter.sum = meter.sum.Times(math.Exp(-elapsed.Seconds() / meter.span.Seconds()))
	}
	if now.After(meter.at) {
		meter.at = now
	}
	return meter
}

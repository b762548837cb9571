package lwtroleplanner

import (
	"math"
	"time"
)

// DemandMeter measures the demand that one daemon sees, as an exponential mean over
// Span. The zero value is not usable; use NewMeter.
type DemandMeter struct {
	span time.Duration
	at   time.Time
	sum  Demand
}

// NewDemandMeter returns a meter with a given span.
func NewDemandMeter(span time.Duration) DemandMeter { return DemandMeter{span: span} }

// WithRequest adds a request.
func (meter DemandMeter) WithRequest(now time.Time, work Demand) DemandMeter {
	meter = meter.decayed(now)
	meter.sum = meter.sum.Add(work)
	return meter
}

// Demand returns the demand per second.
func (meter DemandMeter) Demand(now time.Time) Demand {
	return meter.decayed(now).sum.Scale(1 / meter.span.Seconds())
}

func (meter DemandMeter) decayed(now time.Time) DemandMeter {
	if elapsed := now.Sub(meter.at); elapsed > 0 && !meter.at.IsZero() {
		meter.sum = meter.sum.Scale(math.Exp(-elapsed.Seconds() / meter.span.Seconds()))
	}
	if now.After(meter.at) {
		meter.at = now
	}
	return meter
}

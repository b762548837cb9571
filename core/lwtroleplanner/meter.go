package lwtroleplanner

import (
	"math"
	"time"
)

// DemandMeter measures the demand that one daemon receives, with exponential
// decay. The zero value is not usable; use NewDemandMeter.
type DemandMeter struct {
	timeConstant time.Duration
	updatedAt    time.Time
	decayedSum   Demand
}

// NewDemandMeter returns a meter with the given time constant of the decay.
func NewDemandMeter(timeConstant time.Duration) DemandMeter {
	return DemandMeter{timeConstant: timeConstant}
}

// WithRequest adds the demand of one request.
func (meter DemandMeter) WithRequest(now time.Time, request Demand) DemandMeter {
	meter = meter.decayed(now)
	meter.decayedSum = meter.decayedSum.Add(request)
	return meter
}

// Demand returns the demand per second.
func (meter DemandMeter) Demand(now time.Time) Demand {
	return meter.decayed(now).decayedSum.Scale(1 / meter.timeConstant.Seconds())
}

func (meter DemandMeter) decayed(now time.Time) DemandMeter {
	if elapsed := now.Sub(meter.updatedAt); elapsed > 0 && !meter.updatedAt.IsZero() {
		meter.decayedSum = meter.decayedSum.Scale(math.Exp(-elapsed.Seconds() / meter.timeConstant.Seconds()))
	}
	if now.After(meter.updatedAt) {
		meter.updatedAt = now
	}
	return meter
}

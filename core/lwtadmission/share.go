package lwtadmission

import "lacewingtide/core/lwtdeclaredstate"

const (
	// shareWeight is the weight of the last request in the admitted shares.
	shareWeight = 0.005
	// fairShare is the admitted share of a class, relative to that of another,
	// below which the other class is held back.
	fairShare = 0.6
	// leastFactor bounds how far a class is held back.
	leastFactor = 0.3
)

// shares learns which share of the requests of each class is admitted.
type shares map[lwtdeclaredstate.Class]float64

func (shares shares) learn(class lwtdeclaredstate.Class, admitted bool) {
	value := 0.0
	if admitted {
		value = 1
	}
	mean, found := shares[class]
	if !found {
		mean = 1
	}
	shares[class] = mean + shareWeight*(value-mean)
}

// factor returns the part of its margin that a class may use: less than 1 when
// another class is admitted much more rarely, so that classes of a low
// priority are not starved by those of a high one.
func (shares shares) factor(class lwtdeclaredstate.Class) float64 {
	own, least := 1.0, 1.0
	for other, share := range shares {
		if other == class {
			own = share
		}
		least = min(least, share)
	}
	if own <= 0 {
		return 1
	}
	return max(leastFactor, min(1, least/(fairShare*own)))
}

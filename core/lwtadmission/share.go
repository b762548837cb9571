package lwtadmission

import "lacewingtide/core/lwtdeclaredstate"

const (
	// shareSmoothing is the weight of the last request in the moving averages.
	shareSmoothing = 0.005
	// unfairnessThreshold is the ratio of two classes' admitted shares below which
	// the margin of the class with the larger share is reduced.
	unfairnessThreshold = 0.6
	// minMarginFactor limits the reduction.
	minMarginFactor = 0.3
)

// admittedShares holds the share of requests admitted for each class, as a moving
// average.
type admittedShares map[lwtdeclaredstate.Class]float64

func (shares admittedShares) observe(class lwtdeclaredstate.Class, admitted bool) {
	value := 0.0
	if admitted {
		value = 1
	}
	mean, found := shares[class]
	if !found {
		mean = 1
	}
	shares[class] = mean + shareSmoothing*(value-mean)
}

// marginFactor returns the factor for the margin of a class. It is below 1 when
// another class is admitted much less often, so that classes of a high priority
// don't starve those of a low one.
func (shares admittedShares) marginFactor(class lwtdeclaredstate.Class) float64 {
	own, lowest := 1.0, 1.0
	for other, share := range shares {
		if other == class {
			own = share
		}
		lowest = min(lowest, share)
	}
	if own <= 0 {
		return 1
	}
	return max(minMarginFactor, min(1, lowest/(unfairnessThreshold*own)))
}

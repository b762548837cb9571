package lwtadmission

import "lacewingtide/core/lwtdeclaredstate"

const (
	// lengthSmoothing is the weight of the last answer in the moving average of its
	// class.
	lengthSmoothing = 0.01
	// initialLength, in tokens, is the expected length of a class without answers.
	// It is short because a class that is expected to miss its deadline would
	// always be rejected, and its real length never learned.
	initialLength = 32
)

// LengthEstimator learns the mean answer length of each class. The token limits
// that callers set are poor estimates: most answers end well below them.
type LengthEstimator struct {
	means map[lwtdeclaredstate.Class]float64
}

// NewLengthEstimator returns an estimator without data.
func NewLengthEstimator() *LengthEstimator {
	return &LengthEstimator{means: map[lwtdeclaredstate.Class]float64{}}
}

// WithAnswer records the length of an answer in tokens.
func (estimator *LengthEstimator) WithAnswer(class lwtdeclaredstate.Class, tokens int) *LengthEstimator {
	mean, found := estimator.means[class]
	if !found {
		mean = float64(tokens)
	}
	estimator.means[class] = mean + lengthSmoothing*(float64(tokens)-mean)
	return estimator
}

// Expected returns the expected length of an answer in tokens, from 1 to limit.
func (estimator *LengthEstimator) Expected(class lwtdeclaredstate.Class, limit int) int {
	mean, found := estimator.means[class]
	if !found {
		mean = initialLength
	}
	return max(1, min(limit, int(mean)))
}

// LongestMean returns the largest mean length of all classes in tokens, or 0
// without data.
func (estimator *LengthEstimator) LongestMean() int {
	longest := 0.0
	for _, mean := range estimator.means {
		longest = max(longest, mean)
	}
	return int(longest)
}

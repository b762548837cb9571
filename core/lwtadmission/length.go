package lwtadmission

import "lacewingtide/core/lwtdeclaredstate"

const (
	// lengthWeight is the weight of the last answer in the mean length of its class.
	lengthWeight = 0.01
	// firstLength is the expected length, in tokens, before a class has an
	// answer. It is short: a class that is expected to be too long for its
	// deadline would be rejected and so never be learned.
	firstLength = 32
)

// LengthEstimator learns how long the answers of each class are. Callers' limits say
// little: most answers end long before them.
type LengthEstimator struct {
	means map[lwtdeclaredstate.Class]float64
}

// NewLengthEstimator returns lengths that know nothing yet.
func NewLengthEstimator() *LengthEstimator {
	return &LengthEstimator{means: map[lwtdeclaredstate.Class]float64{}}
}

// WithAnswer learns the length of an answer in tokens.
func (lengths *LengthEstimator) WithAnswer(class lwtdeclaredstate.Class, tokens int) *LengthEstimator {
	mean, found := lengths.means[class]
	if !found {
		mean = float64(tokens)
	}
	lengths.means[class] = mean + lengthWeight*(float64(tokens)-mean)
	return lengths
}

// Expected returns the expected length of an answer of at most limit tokens.
func (lengths *LengthEstimator) Expected(class lwtdeclaredstate.Class, limit int) int {
	mean, found := lengths.means[class]
	if !found {
		mean = firstLength
	}
	return max(1, min(limit, int(mean)))
}

// LongestMean returns the mean length of the class with the longest answers.
func (lengths *LengthEstimator) LongestMean() int {
	longest := 0.0
	for _, mean := range lengths.means {
		longest = max(longest, mean)
	}
	return int(longest)
}

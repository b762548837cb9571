package lwtscorerouter

import "time"

const (
	// queueWeight is the weight of the last request in the means.
	queueWeight = 0.02
	// Bounds of the factor. It exceeds 1 where requests of a higher priority
	// overtake, and where other daemons send to the same engine.
	leastQueueFactor = 0.5
	mostQueueFactor  = 8
	// queuePrior is the estimated wait, in seconds, that the first requests
	// are judged against; it keeps the factor near 1 while queues are empty.
	queuePrior = 0.02
)

// queueFactors learns by how much the wait at an engine differs from the
// reported queue, for each priority.
type queueFactors struct {
	estimated [NumPriorities]float64 // seconds, mean
	actual    [NumPriorities]float64 // seconds, mean
}

func (factors *queueFactors) of(priority int) float64 {
	factor := (factors.actual[priority] + queuePrior) / (factors.estimated[priority] + queuePrior)
	return min(mostQueueFactor, max(leastQueueFactor, factor))
}

func (factors *queueFactors) learn(priority int, estimated, actual float64) {
	factors.estimated[priority] += queueWeight * (estimated - factors.estimated[priority])
	factors.actual[priority] += queueWeight * (actual - factors.actual[priority])
}

// WithFirstToken learns from the time that a request took to its first token
// after it was sent.
func (view *View) WithFirstToken(request Request, choice Choice, took time.Duration) *View {
	view.queues.learn(request.Class.Priority(), choice.wait, max(0, took.Seconds()-choice.work))
	return view
}

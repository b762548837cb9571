package lwtscorerouter

import "time"

const (
	// queueTimeSmoothing is the weight of the last request in the moving averages.
	queueTimeSmoothing = 0.02
	// Bounds of the factor. It exceeds 1 when requests of a higher priority
	// overtake, and when other daemons send to the same engine.
	minQueueTimeFactor = 0.5
	maxQueueTimeFactor = 8
	// priorQueueTime, in seconds, is added to both averages. It keeps the factor
	// near 1 while queues are empty.
	priorQueueTime = 0.02
)

// queueTimeFactors learns the ratio of actual to estimated queue time for each
// priority.
type queueTimeFactors struct {
	estimated [NumPriorities]float64 // seconds, mean
	actual    [NumPriorities]float64 // seconds, mean
}

func (factors *queueTimeFactors) forPriority(priority int) float64 {
	factor := (factors.actual[priority] + priorQueueTime) / (factors.estimated[priority] + priorQueueTime)
	return min(maxQueueTimeFactor, max(minQueueTimeFactor, factor))
}

func (factors *queueTimeFactors) observe(priority int, estimated, actual float64) {
	factors.estimated[priority] += queueTimeSmoothing * (estimated - factors.estimated[priority])
	factors.actual[priority] += queueTimeSmoothing * (actual - factors.actual[priority])
}

// WithFirstToken records the time from sending a request to its first token and
// updates the estimate of queue times.
func (view *View) WithFirstToken(request Request, choice Choice, elapsed time.Duration) *View {
	view.queueTimes.observe(request.Class.Priority(), choice.queueTime, max(0, elapsed.Seconds()-choice.serviceTime))
	return view
}

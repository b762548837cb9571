package lwtgateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics records counters and latency histograms.
type metrics struct {
	scope   tally.Scope
	buckets tally.Buckets
}

// latencyBuckets are the bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 15 * time.Second,
}

func newMetrics(scope tally.Scope) *metrics { return &metrics{scope: scope, buckets: latencyBuckets} }

// Count adds one to a counter.
func (metrics *metrics) Count(name string) { metrics.scope.Counter(name).Inc(1) }

// CountBy adds count to a counter.
func (metrics *metrics) CountBy(name string, count int) {
	metrics.scope.Counter(name).Inc(int64(count))
}

// Observe adds a sample to the latency histogram of name.
func (metrics *metrics) Observe(name string, duration time.Duration) {
	metrics.scope.Histogram(name+"-latency", metrics.buckets).RecordDuration(duration)
}

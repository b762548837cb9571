package lwtdaemon

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"lacewingtide/core/lwtburn"
	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtentry"
)

// observer counts finished requests in the burn recorder and in the metrics.
type observer struct {
	stateSource lwtentry.StateSource
	scope       tally.Scope
	// requests is the number of finished requests.
	requests atomic.Int64
	mutex    sync.Mutex
	recorder *lwtburn.Recorder
	metrics  map[metricKey]requestMetrics
}

type metricKey struct {
	class   lwtdeclaredstate.Class
	outcome lwtburn.Outcome
}

type requestMetrics struct {
	requests         tally.Counter
	timeToFirstToken tally.Histogram
	endToEndLatency  tally.Histogram
}

func newObserver(daemon string, stateSource lwtentry.StateSource, scope tally.Scope) *observer {
	return &observer{
		stateSource: stateSource,
		scope:       scope,
		recorder:    lwtburn.New(daemon),
		metrics:     map[metricKey]requestMetrics{},
	}
}

// Observe implements lwtentry.Observer.
func (observer *observer) Observe(now time.Time, result lwtentry.RequestResult) {
	observer.requests.Add(1)
	state, _ := observer.stateSource.State()
	outcome := lwtburn.Classify(state.Objectives[result.Class], lwtburn.Response{
		TimeToFirstToken: result.TimeToFirstToken,
		EndToEndLatency:  result.EndToEndLatency,
		Complete:         result.Outcome == lwtentry.OutcomeDone,
		NotRun:           result.Outcome == lwtentry.OutcomeNotRun,
	})
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	observer.recorder.Add(now, lwtburn.FinishedRequest{
		Key:      lwtburn.BudgetKey{Class: result.Class, Caller: result.Caller},
		Outcome:  outcome,
		Engine:   result.Engine,
		Revision: state.Revision,
	})
	metrics := observer.metricsFor(metricKey{result.Class, outcome})
	metrics.requests.Inc(1)
	metrics.endToEndLatency.RecordDuration(result.EndToEndLatency)
	if result.TimeToFirstToken > 0 {
		metrics.timeToFirstToken.RecordDuration(result.TimeToFirstToken)
	}
}

// Buckets of the latency histograms: 1 ms to about 2 minutes, each bound twice the
// previous one.
const (
	bucketStart  = time.Millisecond
	bucketFactor = 2
	bucketCount  = 18
)

func (observer *observer) metricsFor(key metricKey) requestMetrics {
	if metrics, found := observer.metrics[key]; found {
		return metrics
	}
	scope := observer.scope.Tagged(map[string]string{"class": string(key.class), "outcome": string(key.outcome)})
	buckets := tally.MustMakeExponentialDurationBuckets(bucketStart, bucketFactor, bucketCount)
	metrics := requestMetrics{
		requests:         scope.Counter("requests"),
		timeToFirstToken: scope.Histogram("first_token", buckets),
		endToEndLatency:  scope.Histogram("whole_answer", buckets),
	}
	observer.metrics[key] = metrics
	return metrics
}

// Snapshot returns the burn counts of this daemon.
func (observer *observer) Snapshot(now time.Time) lwtburn.Snapshot {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	return observer.recorder.Snapshot(now)
}

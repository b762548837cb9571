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

// observer counts the ends of requests in the burn ledger and in the metrics.
type observer struct {
	declared lwtentry.StateSource
	scope    tally.Scope
	// requests counts the ends of all requests.
	requests atomic.Int64
	mutex    sync.Mutex
	ledger   *lwtburn.Recorder
	metrics  map[metricKey]requestMetrics
}

type metricKey struct {
	class   lwtdeclaredstate.Class
	outcome lwtburn.Outcome
}

type requestMetrics struct {
	requests   tally.Counter
	firstToken tally.Histogram
	whole      tally.Histogram
}

func newObserver(daemon string, declared lwtentry.StateSource, scope tally.Scope) *observer {
	return &observer{
		declared: declared,
		scope:    scope,
		ledger:   lwtburn.New(daemon),
		metrics:  map[metricKey]requestMetrics{},
	}
}

// Observe implements lwtentry.Observer.
func (observer *observer) Observe(now time.Time, result lwtentry.RequestResult) {
	observer.requests.Add(1)
	state, _ := observer.declared.State()
	outcome := lwtburn.Classify(state.Objectives[result.Class], lwtburn.Response{
		TimeToFirstToken: result.TimeToFirstToken,
		EndToEndLatency:  result.EndToEndLatency,
		Complete:         result.Outcome == lwtentry.OutcomeDone,
		NotRun:           result.Outcome == lwtentry.OutcomeNotRun,
	})
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	observer.ledger.Add(now, lwtburn.FinishedRequest{
		Key:      lwtburn.BudgetKey{Class: result.Class, Caller: result.Caller},
		Outcome:  outcome,
		Engine:   result.Engine,
		Revision: state.Revision,
	})
	metrics := observer.metric(metricKey{result.Class, outcome})
	metrics.requests.Inc(1)
	metrics.whole.RecordDuration(result.EndToEndLatency)
	if result.TimeToFirstToken > 0 {
		metrics.firstToken.RecordDuration(result.TimeToFirstToken)
	}
}

// Bounds of the latency histograms: 1 ms to about 2 minutes, doubling.
const (
	bucketStart   = time.Millisecond
	bucketFactor  = 2
	bucketsNumber = 18
)

func (observer *observer) metric(key metricKey) requestMetrics {
	if metrics, found := observer.metrics[key]; found {
		return metrics
	}
	scope := observer.scope.Tagged(map[string]string{"class": string(key.class), "outcome": string(key.outcome)})
	buckets := tally.MustMakeExponentialDurationBuckets(bucketStart, bucketFactor, bucketsNumber)
	metrics := requestMetrics{
		requests:   scope.Counter("requests"),
		firstToken: scope.Histogram("first_token", buckets),
		whole:      scope.Histogram("whole_answer", buckets),
	}
	observer.metrics[key] = metrics
	return metrics
}

// Snapshot returns the counts of the daemon.
func (observer *observer) Snapshot(now time.Time) lwtburn.Snapshot {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	return observer.ledger.Snapshot(now)
}

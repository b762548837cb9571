package lwtservingsim

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// FailureKind names a kind of failure or planned change.
type FailureKind string

// The kinds of failures.
const (
	// DrainEngine declares an engine as draining for the duration.
	DrainEngine FailureKind = "drain-engine"
	// CrashEngine takes an engine down for the duration; it restarts empty.
	CrashEngine FailureKind = "crash-engine"
	// LoseDaemon terminates an entry VM; a new one replaces it after the duration.
	LoseDaemon FailureKind = "lose-daemon"
)

// Failure is a failure or planned change injected during a run.
type Failure struct {
	Kind FailureKind
	// At is the time since the start of the run.
	At, Duration time.Duration
	// Index selects the engine or daemon, counted from 0.
	Index int
}

// DefaultFailures returns a drained engine, a crashed engine and a lost entry VM,
// spread over a run of the given duration.
func DefaultFailures(duration time.Duration) []Failure {
	share := func(percent time.Duration) time.Duration { return duration * percent / 100 }
	return []Failure{
		{Kind: DrainEngine, At: share(30), Duration: share(20), Index: 2},
		{Kind: CrashEngine, At: share(58), Duration: 30 * time.Second, Index: 7},
		{Kind: LoseDaemon, At: share(70), Duration: share(10), Index: 1},
	}
}

func (run *run) scheduleFailure(failure Failure) {
	start, end := int64(failure.At), int64(failure.At+failure.Duration)
	switch failure.Kind {
	case DrainEngine:
		run.timeline.schedule(start, func(int64) { run.declareDraining(run.engines[failure.Index], true) })
		run.timeline.schedule(end, func(int64) { run.declareDraining(run.engines[failure.Index], false) })
	case CrashEngine:
		run.timeline.schedule(start, func(now int64) { run.crashEngine(now, run.engines[failure.Index], failure.Duration) })
	case LoseDaemon:
		run.timeline.schedule(start, func(int64) { run.loseDaemon(failure.Index) })
		run.timeline.schedule(end, func(int64) { run.daemons[failure.Index].down = false })
	}
}

func (run *run) declareDraining(engine *engine, draining bool) {
	engine.declared.Draining = draining
	change := lwtdeclaredstate.Change{
		Revision: run.declaredState.Revision + 1, Engines: []lwtdeclaredstate.Engine{engine.declared},
	}
	run.declaredState = run.declaredState.WithChange(change)
	for _, daemon := range run.daemons {
		daemon.router.View().WithState(run.declaredState)
	}
}

func (run *run) crashEngine(now int64, engine *engine, downtime time.Duration) {
	lost := engine.crash()
	engine.stepEnd = 0
	for _, job := range lost {
		run.retryLost(now, job)
	}
	run.timeline.schedule(now+int64(downtime), func(now int64) {
		engine.down = false
		run.startStep(now, engine)
	})
}

// loseDaemon terminates an entry VM. Callers resume started streams through another
// daemon. Requests without a first token have no event to resume from and are
// interrupted.
func (run *run) loseDaemon(index int) {
	if run.policy.Clairvoyant {
		return
	}
	for i := range run.jobs {
		job := &run.jobs[i]
		if job.daemonIndex != index || job.startCount == 0 || job.finishedAt != 0 {
			continue
		}
		if job.firstTokenAt == 0 {
			job.interrupted = true
		}
	}
	replacement := newDaemon(index, run.declaredState, run.policy, run.random)
	replacement.down = true
	run.daemons[index] = replacement
}

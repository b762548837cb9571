package lwtservingsim

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// FailureKind names a kind of failure or planned change.
type FailureKind string

// The kinds of failures.
const (
	// DrainEngine declares an engine as draining for a time.
	DrainEngine FailureKind = "drain-engine"
	// CrashEngine ends an engine; it is back empty after the time.
	CrashEngine FailureKind = "crash-engine"
	// LoseDaemon ends an entry VM; a new one takes its place after the time.
	LoseDaemon FailureKind = "lose-daemon"
)

// Failure is something that happens during a run.
type Failure struct {
	Kind FailureKind
	// At and For are times since the start of the run and since the failure.
	At, Duration time.Duration
	// Index is the engine or the daemon, from 0.
	Index int
}

// DefaultFailures returns a drained engine, a crashed engine and a lost entry
// VM, spread over a run.
func DefaultFailures(duration time.Duration) []Failure {
	share := func(percent time.Duration) time.Duration { return duration * percent / 100 }
	return []Failure{
		{Kind: DrainEngine, At: share(30), Duration: share(20), Index: 2},
		{Kind: CrashEngine, At: share(58), Duration: 30 * time.Second, Index: 7},
		{Kind: LoseDaemon, At: share(70), Duration: share(10), Index: 1},
	}
}

func (run *run) startFailure(failure Failure) {
	begin, end := int64(failure.At), int64(failure.At+failure.Duration)
	switch failure.Kind {
	case DrainEngine:
		run.time.add(begin, func(int64) { run.declareDraining(run.engines[failure.Index], true) })
		run.time.add(end, func(int64) { run.declareDraining(run.engines[failure.Index], false) })
	case CrashEngine:
		run.time.add(begin, func(now int64) { run.crash(now, run.engines[failure.Index], failure.Duration) })
	case LoseDaemon:
		run.time.add(begin, func(int64) { run.loseDaemon(failure.Index) })
		run.time.add(end, func(int64) { run.daemons[failure.Index].down = false })
	}
}

func (run *run) declareDraining(engine *engine, draining bool) {
	engine.declared.Draining = draining
	change := lwtdeclaredstate.Change{Revision: run.state.Revision + 1, Engines: []lwtdeclaredstate.Engine{engine.declared}}
	run.state = run.state.WithChange(change)
	for _, daemon := range run.daemons {
		daemon.router.View().WithState(run.state)
	}
}

func (run *run) crash(now int64, engine *engine, away time.Duration) {
	lost := engine.crash()
	engine.next = 0
	for _, j := range lost {
		run.restart(now, j)
	}
	run.time.add(now+int64(away), func(now int64) {
		engine.down = false
		run.wake(now, engine)
	})
}

// loseDaemon ends an entry VM. Callers resume started streams through another
// daemon; requests without a first token have no event to resume from and are
// cut.
func (run *run) loseDaemon(index int) {
	if run.policy.Clairvoyant {
		return
	}
	for i := range run.jobs {
		j := &run.jobs[i]
		if j.daemon != index || j.starts == 0 || j.doneAt != 0 {
			continue
		}
		if j.firstAt == 0 {
			j.cut = true
		}
	}
	fresh := newDaemon(index, run.state, run.policy, run.random)
	fresh.down = true
	run.daemons[index] = fresh
}

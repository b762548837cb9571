package lwtservingsim

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// wake starts a step unless one is in progress.
func (run *run) wake(now int64, engine *engine) {
	if engine.next != 0 || engine.down || engine.changing {
		return
	}
	duration := engine.begin(now)
	if duration == 0 {
		run.idle(now, engine)
		return
	}
	engine.stepTime, engine.next = duration, now+int64(duration)
	incarnation := engine.incarnation
	run.time.add(engine.next, func(now int64) {
		if engine.incarnation == incarnation {
			run.step(now, engine)
		}
	})
}

// step ends the step of an engine and starts the next.
func (run *run) step(now int64, engine *engine) {
	engine.next = 0
	engine.steps++
	run.tally.step(engine.stepTime, len(engine.running))
	for _, j := range engine.fresh {
		run.firstToken(now, j)
	}
	engine.fresh = engine.fresh[:0]
	for _, j := range engine.filled {
		run.prefilled(now, engine, j)
	}
	engine.filled = engine.filled[:0]
	for _, j := range engine.finished() {
		run.done(now, j)
	}
	run.wake(now, engine)
}

func (run *run) prefilled(now int64, engine *engine, j *job) {
	engine.cache.store(j.arrival.PrefixHashes)
	if j.decodeAt == engine {
		run.firstToken(now, j)
		engine.ready = append(engine.ready, j)
		return
	}
	daemon := run.daemons[j.daemon]
	daemon.outstanding[engine]--
	target, incarnation := j.decodeAt, j.decodeAt.incarnation
	run.time.add(now+int64(engine.rates.TransferTime(j.arrival.PromptTokens)), func(now int64) {
		target.inbound--
		if target.incarnation != incarnation {
			run.restart(now, j)
			return
		}
		target.ready = append(target.ready, j)
		run.wake(now, target)
	})
}

func (run *run) firstToken(now int64, j *job) {
	if j.firstAt != 0 {
		return
	}
	j.firstAt = now
	if run.policy.Baseline == "" {
		daemon := run.daemons[j.daemon]
		daemon.router.View().WithFirstToken(j.request, j.choice, time.Duration(now-j.sentAt))
		daemon.admission.WithResult(j.arrival.Class, now-j.arrival.At <= int64(j.arrival.first))
	}
}

func (run *run) done(now int64, j *job) {
	j.doneAt = now
	daemon := run.daemons[j.daemon]
	daemon.outstanding[j.decodeAt]--
	daemon.lengths.WithAnswer(j.arrival.Class, j.arrival.OutputTokens)
	if now-j.arrival.At > int64(j.arrival.whole) {
		daemon.admission.WithResult(j.arrival.Class, false)
	}
}

// restart places a request again whose engine was lost. A request that must
// not be repeated is cut instead.
func (run *run) restart(now int64, j *job) {
	if j.arrival.Class == lwtdeclaredstate.ClassOrder {
		j.cut = true
		return
	}
	run.place(now, j)
}

// idle carries out a wanted change of role once the engine has no work.
func (run *run) idle(now int64, engine *engine) {
	if engine.target == "" || engine.busy() {
		return
	}
	engine.changing = true
	incarnation := engine.incarnation
	run.time.add(now+int64(changeTime), func(now int64) {
		engine.changing = false
		if engine.incarnation == incarnation {
			engine.role = engine.target
		}
		engine.target = ""
		run.tellWanted(now, engine, false)
		run.wake(now, engine)
	})
}

// want orders a change of role: daemons stop sending work to the engine, and
// the change follows once it has none.
func (run *run) want(now int64, engine *engine, role lwtdeclaredstate.Role) {
	engine.target = role
	run.tally.changes++
	run.changedAt[engine.name] = at(now)
	run.tellWanted(now, engine, true)
	// The change must not begin before every daemon has stopped sending.
	run.time.add(now+2*int64(spreadDelay), func(now int64) { run.wake(now, engine) })
}

func (run *run) tellWanted(now int64, engine *engine, unwanted bool) {
	run.time.add(now+int64(spreadDelay), func(int64) {
		for _, daemon := range run.daemons {
			daemon.router.View().WithExcluded(engine.name, unwanted)
		}
	})
}

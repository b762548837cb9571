package lwtservingsim

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// startStep starts a step unless one is in progress or the engine is unavailable. An
// engine without work carries out a pending role change.
func (run *run) startStep(now int64, engine *engine) {
	if engine.stepEnd != 0 || engine.down || engine.reconfiguring {
		return
	}
	duration := engine.beginStep(now)
	if duration == 0 {
		run.startRoleChange(now, engine)
		return
	}
	engine.stepDuration, engine.stepEnd = duration, now+int64(duration)
	incarnation := engine.incarnation
	run.timeline.schedule(engine.stepEnd, func(now int64) {
		if engine.incarnation == incarnation {
			run.finishStep(now, engine)
		}
	})
}

// finishStep applies the results of a step and starts the next one.
func (run *run) finishStep(now int64, engine *engine) {
	engine.stepEnd = 0
	engine.stepCount++
	run.tally.recordStep(engine.stepDuration, len(engine.running))
	for _, job := range engine.startingStreams {
		run.recordFirstToken(now, job)
	}
	engine.startingStreams = engine.startingStreams[:0]
	for _, job := range engine.prefillsCompleting {
		run.finishPrefill(now, engine, job)
	}
	engine.prefillsCompleting = engine.prefillsCompleting[:0]
	for _, job := range engine.popFinished() {
		run.finishRequest(now, job)
	}
	run.startStep(now, engine)
}

func (run *run) finishPrefill(now int64, engine *engine, job *job) {
	engine.cache.store(job.arrival.PrefixHashes)
	if job.decodeEngine == engine {
		run.recordFirstToken(now, job)
		engine.readyToDecode = append(engine.readyToDecode, job)
		return
	}
	daemon := run.daemons[job.daemonIndex]
	daemon.outstanding[engine]--
	target, incarnation := job.decodeEngine, job.decodeEngine.incarnation
	run.timeline.schedule(now+int64(engine.costModel.TransferTime(job.arrival.PromptTokens)), func(now int64) {
		target.inboundTransfers--
		if target.incarnation != incarnation {
			run.retryLost(now, job)
			return
		}
		target.readyToDecode = append(target.readyToDecode, job)
		run.startStep(now, target)
	})
}

func (run *run) recordFirstToken(now int64, job *job) {
	if job.firstTokenAt != 0 {
		return
	}
	job.firstTokenAt = now
	if run.policy.Baseline == "" {
		daemon := run.daemons[job.daemonIndex]
		daemon.router.View().WithFirstToken(job.request, job.choice, time.Duration(now-job.sentAt))
		daemon.admission.WithResult(job.arrival.Class, now-job.arrival.At <= int64(job.arrival.maxTimeToFirstToken))
	}
}

func (run *run) finishRequest(now int64, job *job) {
	job.finishedAt = now
	daemon := run.daemons[job.daemonIndex]
	daemon.outstanding[job.decodeEngine]--
	daemon.lengthEstimator.WithAnswer(job.arrival.Class, job.arrival.OutputTokens)
	if now-job.arrival.At > int64(job.arrival.maxEndToEndLatency) {
		daemon.admission.WithResult(job.arrival.Class, false)
	}
}

// retryLost retries a request whose engine crashed. A request that must not be
// retried is interrupted instead.
func (run *run) retryLost(now int64, job *job) {
	if job.arrival.Class == lwtdeclaredstate.ClassOrder {
		job.interrupted = true
		return
	}
	run.place(now, job)
}

// startRoleChange starts a pending role change when the engine has no work.
func (run *run) startRoleChange(now int64, engine *engine) {
	if engine.targetRole == "" || engine.hasWork() {
		return
	}
	engine.reconfiguring = true
	incarnation := engine.incarnation
	run.timeline.schedule(now+int64(roleChangeTime), func(now int64) {
		engine.reconfiguring = false
		if engine.incarnation == incarnation {
			engine.role = engine.targetRole
		}
		engine.targetRole = ""
		run.announceExclusion(now, engine, false)
		run.startStep(now, engine)
	})
}

// orderRoleChange drains an engine for a role change: daemons stop sending requests to
// it, and the change starts when it has none left.
func (run *run) orderRoleChange(now int64, engine *engine, role lwtdeclaredstate.Role) {
	engine.targetRole = role
	run.tally.roleChanges++
	run.roleChangedAt[engine.name] = at(now)
	run.announceExclusion(now, engine, true)
	// The change must not start before every daemon has stopped sending requests.
	run.timeline.schedule(now+2*int64(propagationDelay), func(now int64) { run.startStep(now, engine) })
}

// announceExclusion sets, in the views of all daemons after propagationDelay, whether
// an engine is excluded from new requests.
func (run *run) announceExclusion(now int64, engine *engine, excluded bool) {
	run.timeline.schedule(now+int64(propagationDelay), func(int64) {
		for _, daemon := range run.daemons {
			daemon.router.View().WithExcluded(engine.name, excluded)
		}
	})
}

package lwtscorerouter

import (
	"slices"

	"lacewingtide/core/lwtdeclaredstate"
)

// engineView is the state of one engine as the daemon last received it.
type engineView struct {
	name          string
	zone          string
	role          lwtdeclaredstate.Role
	declared      lwtdeclaredstate.Engine
	report        LoadReport
	reportTakenAt int64 // Unix nanoseconds; 0 before the first report
	// downUntil is in Unix nanoseconds.
	downUntil int64
	// excluded says that the engine gets no new work, see View.WithExcluded.
	excluded bool
	// inSubset says that the daemon sends requests of some model to the engine.
	inSubset        bool
	sentSinceReport sentLog
	// senderFactor scales sentSinceReport to include the work that other daemons
	// sent.
	senderFactor float64
	cache        cacheView
	// prefillRate is in tokens per second.
	prefillRate float64
}

// defaultFreeBlocks is the assumed free memory of an engine that declares no
// memory and has not sent a report.
const defaultFreeBlocks = 1 << 20

func newEngineView(engine lwtdeclaredstate.Engine, prefillRate, senders float64) engineView {
	free := engine.MemoryBlocks
	if free == 0 {
		free = defaultFreeBlocks
	}
	return engineView{
		name: engine.Name, zone: engine.AvailabilityZone, role: engine.Role, declared: engine,
		report: LoadReport{FreeBlocks: free}, cache: newCacheView(), senderFactor: senders, prefillRate: prefillRate,
	}
}

func (engine *engineView) applyReport(report LoadReport) {
	takenAt := report.TakenAt.UnixNano()
	if takenAt < engine.reportTakenAt && report.Incarnation == engine.report.Incarnation {
		return
	}
	if engine.reportTakenAt != 0 && report.Incarnation != engine.report.Incarnation {
		engine.cache = newCacheView()
		engine.sentSinceReport = sentLog{}
	}
	engine.report, engine.reportTakenAt = report, takenAt
	if report.Role != "" {
		engine.role = report.Role
	}
	if report.PrefillRate > 0 {
		engine.prefillRate = report.PrefillRate
	}
	engine.sentSinceReport.dropReported(takenAt)
}

// available reports whether the engine accepts new requests.
func (engine *engineView) available(now int64, includeDown bool) bool {
	return !engine.excluded && !engine.declared.Draining && !engine.report.Reconfiguring &&
		(includeDown || engine.downUntil <= now)
}

func (engine *engineView) isMixed() bool { return engine.role == lwtdeclaredstate.RoleMixed }

// runsPrefill and runsDecode report which phases the engine's role includes.
func (engine *engineView) runsPrefill() bool { return engine.role != lwtdeclaredstate.RoleDecode }
func (engine *engineView) runsDecode() bool  { return engine.role != lwtdeclaredstate.RolePrefill }

func (engine *engineView) hasAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(engine.declared.Adapters, adapter)
}

// expectedStreams returns the number of streams that the engine will decode once
// all reported and sent requests are prefilled.
func (engine *engineView) expectedStreams() float64 {
	return float64(engine.report.Running+engine.report.Waiting) + engine.sentSinceReport.streams*engine.senderFactor
}

// waitingTokens estimates the prompt tokens still queued at or above a priority.
// The engine has prefilled for elapsed seconds since its report, at prefillRate
// tokens per second.
func (engine *engineView) waitingTokens(priority int, elapsed, prefillRate float64) float64 {
	tokens := -elapsed * prefillRate
	for level := priority; level < NumPriorities; level++ {
		tokens += float64(engine.report.WaitingTokens[level]) +
			engine.sentSinceReport.prefillTokens[level]*engine.senderFactor
	}
	return max(0, tokens)
}

// hasPromptsWaiting reports whether prompts wait at the engine, by its last report
// and the requests sent since.
func (engine *engineView) hasPromptsWaiting() bool {
	for level := range NumPriorities {
		if engine.report.WaitingTokens[level] > 0 || engine.sentSinceReport.prefillTokens[level] > 0 {
			return true
		}
	}
	return false
}

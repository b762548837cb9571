package lwtscorerouter

import (
	"slices"

	"lacewingtide/core/lwtdeclaredstate"
)

// engineView is what a daemon knows of one engine.
type engineView struct {
	name     string
	zone     string
	role     lwtdeclaredstate.Role
	declared lwtdeclaredstate.Engine
	report   LoadReport
	takenAt  int64 // Unix nanoseconds; 0 before the first report
	// downUntil is in Unix nanoseconds.
	downUntil int64
	unwanted  bool
	// used says that the daemon sends work of some model to the engine.
	used bool
	sent sentLog
	// senders multiplies the work sent since the last report to allow for
	// what other daemons sent.
	senders float64
	cache   cacheView
	// prefillRate is in tokens per second.
	prefillRate float64
}

// undeclaredBlocks is the free memory of an engine that declares none and has
// not reported yet.
const undeclaredBlocks = 1 << 20

func newEngineView(engine lwtdeclaredstate.Engine, prefillRate, senders float64) engineView {
	free := engine.MemoryBlocks
	if free == 0 {
		free = undeclaredBlocks
	}
	return engineView{
		name: engine.Name, zone: engine.AvailabilityZone, role: engine.Role, declared: engine,
		report: LoadReport{FreeBlocks: free}, cache: newCacheView(), senders: senders, prefillRate: prefillRate,
	}
}

func (engine *engineView) takeReport(report LoadReport) {
	takenAt := report.TakenAt.UnixNano()
	if takenAt < engine.takenAt && report.Incarnation == engine.report.Incarnation {
		return
	}
	if engine.takenAt != 0 && report.Incarnation != engine.report.Incarnation {
		engine.cache = newCacheView()
		engine.sent = sentLog{}
	}
	engine.report, engine.takenAt = report, takenAt
	if report.Role != "" {
		engine.role = report.Role
	}
	if report.PrefillRate > 0 {
		engine.prefillRate = report.PrefillRate
	}
	engine.sent.forget(takenAt)
}

// available reports whether the engine takes new work.
func (engine *engineView) available(now int64, tryDown bool) bool {
	return !engine.unwanted && !engine.declared.Draining && !engine.report.Reconfiguring &&
		(tryDown || engine.downUntil <= now)
}

func (engine *engineView) mixed() bool { return engine.role == lwtdeclaredstate.RoleMixed }

// prefills and decodes report which phases the engine runs.
func (engine *engineView) prefills() bool { return engine.role != lwtdeclaredstate.RoleDecode }
func (engine *engineView) decodes() bool  { return engine.role != lwtdeclaredstate.RolePrefill }

func (engine *engineView) hasAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(engine.declared.Adapters, adapter)
}

// streams returns the streams that the engine is expected to decode once all
// known work has been prefilled.
func (engine *engineView) streams() float64 {
	return float64(engine.report.Running+engine.report.Waiting) + engine.sent.streams*engine.senders
}

// waitingTokens returns the prompt tokens at or above a priority that are
// expected to wait now, after the engine has worked for elapsed seconds.
func (engine *engineView) waitingTokens(priority int, elapsed, speed float64) float64 {
	tokens := -elapsed * speed
	for level := priority; level < NumPriorities; level++ {
		tokens += float64(engine.report.WaitingTokens[level]) + engine.sent.tokens[level]*engine.senders
	}
	return max(0, tokens)
}

// prefilling reports whether prompts wait at the engine as far as is known.
func (engine *engineView) prefilling() bool {
	for level := range NumPriorities {
		if engine.report.WaitingTokens[level] > 0 || engine.sent.tokens[level] > 0 {
			return true
		}
	}
	return false
}

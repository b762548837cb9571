package lwtscorerouter

import (
	"maps"
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// View holds the state of all engines as one daemon last received it. Its
// methods modify it in place; it is not safe for concurrent use.
type View struct {
	// daemonName is hashed to choose the subset of engines that the daemon uses.
	daemonName  string
	costs       costRates
	engines     []engineView
	indexByName map[string]int32
	// subsetByModel holds, for each model, the indexes of the engines that the
	// daemon routes to.
	subsetByModel map[string][]int32
	// maxInterTokenLatency is in seconds.
	maxInterTokenLatency float64
	queueTimes           queueTimeFactors
	// senderFactor scales the work that this daemon sent since an engine's last
	// report, to include the work that other daemons sent.
	senderFactor float64
}

// DefaultInterTokenLatency is the inter-token latency objective.
const DefaultInterTokenLatency = 32 * time.Millisecond

// InterTokenLatencyLimit is the largest estimated inter-token latency at which an
// engine gets more work. It is 3% below the objective because reports are
// stale and other daemons send to the same engines.
const InterTokenLatencyLimit = DefaultInterTokenLatency * 97 / 100

// NewView returns a view without engines for the named daemon.
func NewView(daemonName string, costModel CostModel) *View {
	return &View{
		daemonName: daemonName, costs: costModel.rates(), maxInterTokenLatency: InterTokenLatencyLimit.Seconds(),
		senderFactor: 1, indexByName: map[string]int32{}, subsetByModel: map[string][]int32{},
	}
}

// WithState replaces the engines by those of a declared state. Engines that were
// already in the view keep their load reports and cache contents.
func (view *View) WithState(state lwtdeclaredstate.State) *View {
	names := slices.Sorted(maps.Keys(state.Engines))
	engines := make([]engineView, 0, len(names))
	for _, name := range names {
		engines = append(engines, view.engineViewFor(state.Engines[name]))
	}
	view.engines = engines
	view.indexByName = make(map[string]int32, len(engines))
	for i := range engines {
		view.indexByName[engines[i].name] = int32(i)
	}
	view.subsetByModel = map[string][]int32{}
	for model := range state.Models {
		view.subsetByModel[model] = view.chooseSubset(state.EnginesServing(model))
		for _, i := range view.subsetByModel[model] {
			view.engines[i].inSubset = true
		}
	}
	return view
}

func (view *View) engineViewFor(engine lwtdeclaredstate.Engine) engineView {
	i, found := view.indexByName[engine.Name]
	if !found {
		return newEngineView(engine, view.costs.prefillRate, view.senderFactor)
	}
	known := view.engines[i]
	if known.declared.Role != engine.Role {
		known.role = engine.Role
	}
	known.declared, known.inSubset = engine, false
	return known
}

// WithLoadReport applies an engine's load report. A report older than the last
// one of the same incarnation is ignored. A new incarnation discards the sent
// work and the cache contents recorded for the previous one.
func (view *View) WithLoadReport(engine string, report LoadReport) *View {
	if i, found := view.indexByName[engine]; found {
		view.engines[i].applyReport(report)
	}
	return view
}

// WithSent records that a request was sent to the chosen engines.
func (view *View) WithSent(now time.Time, request Request, choice Choice) *View {
	at := now.UnixNano()
	prefill := view.findEngine(choice.Engine, choice.prefillIndex)
	if prefill == nil {
		return view
	}
	blocks := float64(request.PromptTokens+request.OutputTokens) / BlockTokens
	sent := sentRequest{
		sentAt: at, priority: request.Class.Priority(),
		prefillTokens: max(0, float64(request.PromptTokens-choice.CachedTokens)),
	}
	if !choice.Split() {
		sent.streams, sent.blocks = 1, blocks
	}
	prefill.sentSinceReport.add(sent)
	for _, hash := range request.PrefixHashes {
		prefill.cache.store(hash)
	}
	if decode := view.findEngine(choice.DecodeEngine, choice.decodeIndex); decode != nil {
		decode.sentSinceReport.add(sentRequest{sentAt: at, streams: 1, blocks: blocks})
	}
	return view
}

// WithCacheEvents applies the next events of an engine's prefix cache.
func (view *View) WithCacheEvents(engine string, events []CacheEvent) *View {
	if i, found := view.indexByName[engine]; found {
		view.engines[i].cache.applyEvents(events)
	}
	return view
}

// otherSenderWeight estimates the unreported work that each other daemon sent,
// as a fraction of this daemon's own. It is below 1 because part of their work
// is already in the report or finished.
const otherSenderWeight = 1.0 / 3

// WithSenderCount sets the number of daemons that send to the same engines. The
// work that the others sent since the last report is estimated from this
// daemon's own.
func (view *View) WithSenderCount(daemonCount int) *View {
	view.senderFactor = 1 + otherSenderWeight*float64(max(0, daemonCount-1))
	for i := range view.engines {
		view.engines[i].senderFactor = view.senderFactor
	}
	return view
}

// CacheCursor returns the sequence number of the last cache event applied, or 0.
func (view *View) CacheCursor(engine string) int64 {
	if i, found := view.indexByName[engine]; found {
		return view.engines[i].cache.nextSequence - 1
	}
	return 0
}

// WithDown marks an engine as down until the given time, for example after a
// refused connection. It gets no new work while another engine can serve it.
func (view *View) WithDown(engine string, until time.Time) *View {
	if i, found := view.indexByName[engine]; found {
		view.engines[i].downUntil = max(view.engines[i].downUntil, until.UnixNano())
	}
	return view
}

// WithExcluded sets whether an engine is excluded from new work, because its VM is
// leaving or it is drained before a change.
func (view *View) WithExcluded(engine string, excluded bool) *View {
	if i, found := view.indexByName[engine]; found {
		view.engines[i].excluded = excluded
	}
	return view
}

func (view *View) findEngine(name string, hintIndex int32) *engineView {
	if int(hintIndex) < len(view.engines) && view.engines[hintIndex].name == name {
		return &view.engines[hintIndex]
	}
	if i, found := view.indexByName[name]; found {
		return &view.engines[i]
	}
	return nil
}

// EngineStatus is the status of one engine, for the role planner and for status reports.
type EngineStatus struct {
	Name     string
	Declared lwtdeclaredstate.Engine
	// Role is the role last reported, or the declared one before a report.
	Role lwtdeclaredstate.Role
	// InSubset says that the daemon sends requests of some model to the engine.
	InSubset bool
	// InService is false for an engine that is draining or marked as down.
	InService bool
	// Running is the number of requests on the engine, waiting ones included.
	Running    int
	ReportedAt time.Time
}

// EngineStatuses returns the status of all engines, sorted by name.
func (view *View) EngineStatuses(now time.Time) []EngineStatus {
	statuses := make([]EngineStatus, 0, len(view.engines))
	for i := range view.engines {
		engine := &view.engines[i]
		statuses = append(statuses, EngineStatus{
			Name: engine.name, Declared: engine.declared, Role: engine.role, InSubset: engine.inSubset,
			InService: !engine.declared.Draining && engine.downUntil <= now.UnixNano(),
			Running:   engine.report.Running + engine.report.Waiting, ReportedAt: engine.report.TakenAt,
		})
	}
	return statuses
}

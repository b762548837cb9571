package lwtscorerouter

import (
	"maps"
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// View is what one daemon knows of the engines. It is changed in place by its
// owner and is not safe for concurrent use.
type View struct {
	// name identifies the daemon; it decides which engines the daemon uses.
	name    string
	rates   speeds
	engines []engineView
	index   map[string]int32
	byModel map[string][]int32
	// objective bounds the time between tokens, in seconds.
	between float64
	queues  queueFactors
	senders float64
}

// DefaultInterTokenLatency is the objective for the time between two tokens.
const DefaultInterTokenLatency = 32 * time.Millisecond

// InterTokenLatencyLimit is the estimate up to which work is sent to an engine. It
// is 3% below the objective, since reports are old and other daemons send too.
const InterTokenLatencyLimit = DefaultInterTokenLatency * 97 / 100

// NewView returns a view without engines for the daemon of the given name.
func NewView(name string, rates CostModel) *View {
	return &View{
		name: name, rates: rates.speeds(), between: InterTokenLatencyLimit.Seconds(),
		senders: 1, index: map[string]int32{}, byModel: map[string][]int32{},
	}
}

// WithState sets the engines to those of a declared state. What is known of
// engines that remain is kept.
func (view *View) WithState(state lwtdeclaredstate.State) *View {
	names := slices.Sorted(maps.Keys(state.Engines))
	engines := make([]engineView, 0, len(names))
	for _, name := range names {
		engines = append(engines, view.withDeclared(state.Engines[name]))
	}
	view.engines = engines
	view.index = make(map[string]int32, len(engines))
	for i := range engines {
		view.index[engines[i].name] = int32(i)
	}
	view.byModel = map[string][]int32{}
	for model := range state.Models {
		view.byModel[model] = view.subset(state.EnginesServing(model))
		for _, i := range view.byModel[model] {
			view.engines[i].used = true
		}
	}
	return view
}

func (view *View) withDeclared(engine lwtdeclaredstate.Engine) engineView {
	i, found := view.index[engine.Name]
	if !found {
		return newEngineView(engine, view.rates.prefillRate, view.senders)
	}
	known := view.engines[i]
	if known.declared.Role != engine.Role {
		known.role = engine.Role
	}
	known.declared, known.used = engine, false
	return known
}

// WithLoadReport takes an engine's report. A report that is older than the last
// one is ignored; a new incarnation forgets the work and the cache of the old.
func (view *View) WithLoadReport(engine string, report LoadReport) *View {
	if i, found := view.index[engine]; found {
		view.engines[i].takeReport(report)
	}
	return view
}

// WithSent records that a request was sent as chosen.
func (view *View) WithSent(now time.Time, request Request, choice Choice) *View {
	at := now.UnixNano()
	prefill := view.find(choice.Engine, choice.prefill)
	if prefill == nil {
		return view
	}
	blocks := float64(request.PromptTokens+request.OutputTokens) / BlockTokens
	work := sentWork{
		at: at, priority: request.Class.Priority(),
		tokens: max(0, float64(request.PromptTokens-choice.CachedTokens)),
	}
	if !choice.Split() {
		work.streams, work.blocks = 1, blocks
	}
	prefill.sent.add(work)
	for _, prefix := range request.PrefixHashes {
		prefill.cache.store(prefix)
	}
	if decode := view.find(choice.DecodeEngine, choice.decode); decode != nil {
		decode.sent.add(sentWork{at: at, streams: 1, blocks: blocks})
	}
	return view
}

// WithCacheEvents takes the next events of an engine's prefix cache.
func (view *View) WithCacheEvents(engine string, events []CacheEvent) *View {
	if i, found := view.index[engine]; found {
		view.engines[i].cache.apply(events)
	}
	return view
}

// othersShare is the part of the other daemons' work that is counted, as a
// share of this daemon's own for each of them. The measured optimum is below 1:
// part of what they sent is in the report already or done.
const othersShare = 1.0 / 3

// WithSenderCount sets the number of daemons that send to the same engines. What
// the others sent since the last report is estimated from this daemon's own.
func (view *View) WithSenderCount(daemons int) *View {
	view.senders = 1 + othersShare*float64(max(0, daemons-1))
	for i := range view.engines {
		view.engines[i].senders = view.senders
	}
	return view
}

// CacheCursor returns the sequence number of the last cache event taken.
func (view *View) CacheCursor(engine string) int64 {
	if i, found := view.index[engine]; found {
		return view.engines[i].cache.next - 1
	}
	return 0
}

// WithDown keeps new work from an engine until the given time, as after a
// refused connection.
func (view *View) WithDown(engine string, until time.Time) *View {
	if i, found := view.index[engine]; found {
		view.engines[i].downUntil = max(view.engines[i].downUntil, until.UnixNano())
	}
	return view
}

// WithExcluded sets whether an engine takes no new work because it is leaving
// or about to change its role.
func (view *View) WithExcluded(engine string, unwanted bool) *View {
	if i, found := view.index[engine]; found {
		view.engines[i].unwanted = unwanted
	}
	return view
}

func (view *View) find(name string, hint int32) *engineView {
	if int(hint) < len(view.engines) && view.engines[hint].name == name {
		return &view.engines[hint]
	}
	if i, found := view.index[name]; found {
		return &view.engines[i]
	}
	return nil
}

// EngineStatus is what a view knows of one engine, for the planner and for reports.
type EngineStatus struct {
	Name     string
	Declared lwtdeclaredstate.Engine
	// Role is the role last reported, or the declared one before a report.
	Role lwtdeclaredstate.Role
	// InSubset says that the daemon sends work of some model to the engine.
	InSubset bool
	// InService is false for an engine that is draining or was found down.
	InService  bool
	Running    int
	ReportedAt time.Time
}

// EngineStatuses returns the status of all engines, by name.
func (view *View) EngineStatuses(now time.Time) []EngineStatus {
	statuses := make([]EngineStatus, 0, len(view.engines))
	for i := range view.engines {
		engine := &view.engines[i]
		statuses = append(statuses, EngineStatus{
			Name: engine.name, Declared: engine.declared, Role: engine.role, InSubset: engine.used,
			InService: !engine.declared.Draining && engine.downUntil <= now.UnixNano(),
			Running:   engine.report.Running + engine.report.Waiting, ReportedAt: engine.report.TakenAt,
		})
	}
	return statuses
}

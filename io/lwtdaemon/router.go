package lwtdaemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"lacewingtide/core/lwtadmission"
	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtroleplanner"
	"lacewingtide/core/lwtscorerouter"
	"lacewingtide/io/lwtengine"
)

const (
	// downTime is the time for which a failed engine gets no new work while
	// another can take it.
	downTime = time.Second
	// demandSpan is the span over which the demand is averaged.
	demandSpan = 15 * time.Second
)

// router owns the routing view of the daemon, and what is learned from answers.
type router struct {
	declared *declared
	// draining reports whether an engine is about to be changed or its VM leaves.
	draining func(engine lwtdeclaredstate.Engine) bool

	mutex     sync.Mutex
	number    int64
	router    *lwtscorerouter.Router
	view      *lwtscorerouter.View
	admission *lwtadmission.Controller
	lengths   *lwtadmission.LengthEstimator
	demand    lwtroleplanner.DemandMeter
	// planned are the groups whose roles this daemon plans.
	planned map[string]bool
}

func newRouter(declared *declared) *router {
	view := lwtscorerouter.NewView(declared.name, lwtscorerouter.DefaultCostModel())
	return &router{
		declared:  declared,
		draining:  func(lwtdeclaredstate.Engine) bool { return false },
		router:    lwtscorerouter.New(view, lwtscorerouter.StrategyTwoChoicesPrefix, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		view:      view,
		admission: lwtadmission.New(lwtadmission.Policy{}),
		lengths:   lwtadmission.NewLengthEstimator(),
		demand:    lwtroleplanner.NewDemandMeter(demandSpan),
	}
}

// Pick implements lwtentry.Router.
func (router *router) Pick(now time.Time, request lwtscorerouter.Request) (lwtscorerouter.Choice, error) {
	state, _ := router.declared.State()
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.declare(state)
	request.OutputTokens = router.lengths.Expected(request.Class, request.OutputTokens)
	choice, err := router.pick(now, state, request)
	if err != nil {
		return choice, err
	}
	router.demand = router.demand.WithRequest(now, lwtroleplanner.RequestDemand(
		float64(request.PromptTokens), float64(choice.CachedTokens), float64(request.OutputTokens)))
	verdict := router.admission.Decide(now, lwtadmission.Request{
		Class: request.Class, Deadline: request.Deadline,
	}, lwtadmission.Estimate{
		TimeToFirstToken: choice.TimeToFirstToken, EndToEndLatency: choice.EndToEndLatency, InterTokenLatency: choice.InterTokenLatency, MemoryFull: choice.MemoryFull,
	})
	if verdict.Rejection != nil {
		return lwtscorerouter.Choice{}, verdict.Rejection
	}
	router.view.WithSent(now, request, choice)
	return choice, nil
}

// pick repeats the choice until it falls on an engine that is not drained.
func (router *router) pick(
	now time.Time, state lwtdeclaredstate.State, request lwtscorerouter.Request,
) (lwtscorerouter.Choice, error) {
	for {
		choice, err := router.router.Pick(now, request)
		if err != nil || !router.draining(state.Engines[choice.Engine]) {
			return choice, err
		}
		router.view.WithExcluded(choice.Engine, true)
	}
}

func (router *router) declare(state lwtdeclaredstate.State) {
	if state.Revision == router.number {
		return
	}
	router.number = state.Revision
	router.view.WithState(state)
	router.admission.WithPolicy(lwtadmission.Policy{
		Objectives: state.Objectives, MaxInterTokenLatency: lwtscorerouter.InterTokenLatencyLimit,
	})
}

// RecordLoad implements lwtentry.Router.
func (router *router) RecordLoad(now time.Time, engine string, load lwtengine.Load) {
	state, _ := router.declared.State()
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.declare(state)
	router.view.WithLoadReport(engine, load.LoadReport(now))
}

// RecordFirstToken implements lwtentry.Router.
func (router *router) RecordFirstToken(now time.Time, request lwtscorerouter.Request, choice lwtscorerouter.Choice) {
	state, _ := router.declared.State()
	router.mutex.Lock()
	defer router.mutex.Unlock()
	took := now.Sub(choice.DecidedAt)
	router.view.WithFirstToken(request, choice, took)
	if objective := state.Objectives[request.Class]; objective.TimeToFirstToken > 0 {
		router.admission.WithResult(request.Class, took <= objective.TimeToFirstToken.Std())
	}
}

// RecordCompletion implements lwtentry.Router.
func (router *router) RecordCompletion(now time.Time, request lwtscorerouter.Request, choice lwtscorerouter.Choice, tokens int) {
	state, _ := router.declared.State()
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.lengths.WithAnswer(request.Class, tokens)
	if objective := state.Objectives[request.Class]; objective.EndToEndLatency > 0 && now.Sub(choice.DecidedAt) > objective.EndToEndLatency.Std() {
		router.admission.WithResult(request.Class, false)
	}
}

// RecordDone implements lwtentry.Router.
func (router *router) RecordDone(now time.Time, _ lwtscorerouter.Request, choice lwtscorerouter.Choice, failed bool) {
	if !failed {
		return
	}
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.view.WithDown(choice.Engine, now.Add(downTime))
}

// setPlanned sets the groups whose roles this daemon plans. All their engines
// are polled.
func (router *router) setPlanned(groups map[string]bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.planned = groups
}

// SetDaemons sets the number of daemons that send to the same engines.
func (router *router) SetDaemons(count int) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.view.WithSenderCount(count)
}

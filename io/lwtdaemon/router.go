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
	// failureCooldown is the time for which a failed engine gets no new requests,
	// provided that another engine can serve them.
	failureCooldown = time.Second
	// demandWindow is the time window over which the demand is averaged.
	demandWindow = 15 * time.Second
)

// router chooses an engine for each request. It owns the daemon's view of engine
// load and the statistics of completed requests.
type router struct {
	syncer *stateSyncer
	// isDraining reports whether an engine is drained for a planned change or its
	// VM is leaving.
	isDraining func(engine lwtdeclaredstate.Engine) bool

	mutex           sync.Mutex
	revision        int64
	scoreRouter     *lwtscorerouter.Router
	view            *lwtscorerouter.View
	admission       *lwtadmission.Controller
	lengthEstimator *lwtadmission.LengthEstimator
	demandMeter     lwtroleplanner.DemandMeter
	// plannedGroups contains the groups whose roles this daemon plans.
	plannedGroups map[string]bool
}

func newRouter(syncer *stateSyncer) *router {
	view := lwtscorerouter.NewView(syncer.name, lwtscorerouter.DefaultCostModel())
	return &router{
		syncer:     syncer,
		isDraining: func(lwtdeclaredstate.Engine) bool { return false },
		scoreRouter: lwtscorerouter.New(view, lwtscorerouter.StrategyTwoChoicesPrefix,
			rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		view:            view,
		admission:       lwtadmission.New(lwtadmission.Policy{}),
		lengthEstimator: lwtadmission.NewLengthEstimator(),
		demandMeter:     lwtroleplanner.NewDemandMeter(demandWindow),
	}
}

// Pick implements lwtentry.Router.
func (router *router) Pick(now time.Time, request lwtscorerouter.Request) (lwtscorerouter.Choice, error) {
	state, _ := router.syncer.State()
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.applyState(state)
	request.OutputTokens = router.lengthEstimator.Expected(request.Class, request.OutputTokens)
	choice, err := router.pick(now, state, request)
	if err != nil {
		return choice, err
	}
	router.demandMeter = router.demandMeter.WithRequest(now, lwtroleplanner.RequestDemand(
		float64(request.PromptTokens), float64(choice.CachedTokens), float64(request.OutputTokens)))
	decision := router.admission.Decide(now, lwtadmission.Request{
		Class: request.Class, Deadline: request.Deadline,
	}, lwtadmission.Estimate{
		TimeToFirstToken: choice.TimeToFirstToken, EndToEndLatency: choice.EndToEndLatency,
		InterTokenLatency: choice.InterTokenLatency, MemoryFull: choice.MemoryFull,
	})
	if decision.Rejection != nil {
		return lwtscorerouter.Choice{}, decision.Rejection
	}
	router.view.WithSent(now, request, choice)
	return choice, nil
}

// pick chooses an engine. It excludes each chosen engine that is draining and
// chooses again.
func (router *router) pick(
	now time.Time, state lwtdeclaredstate.State, request lwtscorerouter.Request,
) (lwtscorerouter.Choice, error) {
	for {
		choice, err := router.scoreRouter.Pick(now, request)
		if err != nil || !router.isDraining(state.Engines[choice.Engine]) {
			return choice, err
		}
		router.view.WithExcluded(choice.Engine, true)
	}
}

func (router *router) applyState(state lwtdeclaredstate.State) {
	if state.Revision == router.revision {
		return
	}
	router.revision = state.Revision
	router.view.WithState(state)
	router.admission.WithPolicy(lwtadmission.Policy{
		Objectives: state.Objectives, MaxInterTokenLatency: lwtscorerouter.InterTokenLatencyLimit,
	})
}

// RecordLoad implements lwtentry.Router.
func (router *router) RecordLoad(now time.Time, engine string, load lwtengine.Load) {
	state, _ := router.syncer.State()
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.applyState(state)
	router.view.WithLoadReport(engine, load.LoadReport(now))
}

// RecordFirstToken implements lwtentry.Router.
func (router *router) RecordFirstToken(now time.Time, request lwtscorerouter.Request, choice lwtscorerouter.Choice) {
	state, _ := router.syncer.State()
	router.mutex.Lock()
	defer router.mutex.Unlock()
	timeToFirstToken := now.Sub(choice.DecidedAt)
	router.view.WithFirstToken(request, choice, timeToFirstToken)
	if objective := state.Objectives[request.Class]; objective.TimeToFirstToken > 0 {
		router.admission.WithResult(request.Class, timeToFirstToken <= objective.TimeToFirstToken.Std())
	}
}

// RecordCompletion implements lwtentry.Router.
func (router *router) RecordCompletion(
	now time.Time, request lwtscorerouter.Request, choice lwtscorerouter.Choice, tokens int,
) {
	state, _ := router.syncer.State()
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.lengthEstimator.WithAnswer(request.Class, tokens)
	if objective := state.Objectives[request.Class]; objective.EndToEndLatency > 0 &&
		now.Sub(choice.DecidedAt) > objective.EndToEndLatency.Std() {
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
	router.view.WithDown(choice.Engine, now.Add(failureCooldown))
}

// setPlannedGroups sets the groups whose roles this daemon plans. All their
// engines are polled.
func (router *router) setPlannedGroups(groups map[string]bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.plannedGroups = groups
}

// SetDaemons sets the number of daemons that send requests to the same engines.
func (router *router) SetDaemons(count int) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.view.WithSenderCount(count)
}

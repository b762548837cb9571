package lwtservingsim

import (
	"math/rand/v2"
	"time"

	"lacewingtide/core/lwtadmission"
	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtroleplanner"
	"lacewingtide/core/lwtscorerouter"
)

// demandTimeConstant is the time constant of the demand that the planner uses.
const demandTimeConstant = 15 * time.Second

// daemon simulates one entry daemon. Its view of the engines lags behind their
// state.
type daemon struct {
	index           int
	down            bool
	router          *lwtscorerouter.Router
	admission       *lwtadmission.Controller
	lengthEstimator *lwtadmission.LengthEstimator
	demandMeter     lwtroleplanner.DemandMeter
	// publishedDemand is the demand that the other daemons last received.
	publishedDemand lwtroleplanner.Demand
	// outstanding and nextEngine are the state of placeByCount: the requests in
	// flight per engine, and the engine where the next search starts.
	outstanding map[*engine]int
	nextEngine  int
	// cacheCursors holds the last cache event read from each engine.
	cacheCursors map[*engine]cacheCursor
}

type cacheCursor struct {
	incarnation int64
	sequence    int64
}

func newDaemon(index int, state lwtdeclaredstate.State, policy Policy, random *rand.Rand) *daemon {
	senderCount := daemonCount
	if policy.Clairvoyant {
		senderCount = 1
	}
	view := lwtscorerouter.NewView("d"+string(rune('1'+index)), lwtscorerouter.DefaultCostModel()).WithState(state).
		WithSenderCount(senderCount)
	return &daemon{
		index:  index,
		router: lwtscorerouter.New(view, policy.Strategy, random),
		admission: lwtadmission.New(lwtadmission.Policy{
			Objectives: state.Objectives, MaxInterTokenLatency: lwtscorerouter.InterTokenLatencyLimit,
		}),
		lengthEstimator: lwtadmission.NewLengthEstimator(),
		demandMeter:     lwtroleplanner.NewDemandMeter(demandTimeConstant),
		outstanding:     map[*engine]int{},
		cacheCursors:    map[*engine]cacheCursor{},
	}
}

// place chooses engines for a request and records it in the view as sent. It
// returns a rejection when the request is not admitted.
func (daemon *daemon) place(now time.Time, job *job) *lwtadmission.Rejection {
	choice, err := daemon.router.Pick(now, job.request)
	if err != nil {
		return &lwtadmission.Rejection{Reason: "no_engine", RetryAfter: time.Second}
	}
	if job.attempts == 0 {
		daemon.demandMeter = daemon.demandMeter.WithRequest(now, lwtroleplanner.RequestDemand(
			float64(job.request.PromptTokens), float64(choice.CachedTokens), float64(job.request.OutputTokens)))
	}
	decision := daemon.admission.Decide(now, lwtadmission.Request{
		Class: job.request.Class, Elapsed: time.Duration(now.UnixNano() - job.arrival.At),
	}, lwtadmission.Estimate{
		TimeToFirstToken: choice.TimeToFirstToken, EndToEndLatency: choice.EndToEndLatency,
		InterTokenLatency: choice.InterTokenLatency, MemoryFull: choice.MemoryFull,
	})
	// A request that has begun to run is not rejected when its engine is lost.
	if decision.Rejection != nil && job.startCount == 0 {
		return decision.Rejection
	}
	job.choice = choice
	daemon.router.View().WithSent(now, job.request, choice)
	return nil
}

// placeByCount chooses an eligible engine in turn or by the fewest outstanding
// requests. It returns nil when no engine is eligible.
func (daemon *daemon) placeByCount(baseline Baseline, engines []*engine, eligible func(*engine) bool) *engine {
	if baseline == RoundRobin {
		for range engines {
			daemon.nextEngine++
			if candidate := engines[daemon.nextEngine%len(engines)]; eligible(candidate) {
				return candidate
			}
		}
		return nil
	}
	var best *engine
	for i := range engines {
		// The start rotates, so that ties don't always go to the same engine.
		candidate := engines[(i+daemon.nextEngine)%len(engines)]
		if eligible(candidate) && (best == nil || daemon.outstanding[candidate] < daemon.outstanding[best]) {
			best = candidate
		}
	}
	daemon.nextEngine++
	return best
}

package lwtservingsim

import (
	"math/rand/v2"
	"time"

	"lacewingtide/core/lwtadmission"
	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtroleplanner"
	"lacewingtide/core/lwtscorerouter"
)

// meterSpan is the span of the demand that the planner goes by.
const meterSpan = 15 * time.Second

// daemon is one entry daemon with its own lagging view.
type daemon struct {
	index     int
	down      bool
	router    *lwtscorerouter.Router
	admission *lwtadmission.Controller
	lengths   *lwtadmission.LengthEstimator
	meter     lwtroleplanner.DemandMeter
	// digest is the demand that the other daemons last heard of.
	digest lwtroleplanner.Demand
	// outstanding counts requests per engine, for the simple placements.
	outstanding map[*engine]int
	next        int
	// read is the last cache event read of each engine.
	read map[*engine]cacheCursor
}

type cacheCursor struct {
	incarnation int64
	sequence    int64
}

func newDaemon(index int, state lwtdeclaredstate.State, policy Policy, random *rand.Rand) *daemon {
	senders := daemonCount
	if policy.Clairvoyant {
		senders = 1
	}
	view := lwtscorerouter.NewView("d"+string(rune('1'+index)), lwtscorerouter.DefaultCostModel()).WithState(state).WithSenderCount(senders)
	return &daemon{
		index:  index,
		router: lwtscorerouter.New(view, policy.Strategy, random),
		admission: lwtadmission.New(lwtadmission.Policy{
			Objectives: state.Objectives, MaxInterTokenLatency: lwtscorerouter.InterTokenLatencyLimit,
		}),
		lengths:     lwtadmission.NewLengthEstimator(),
		meter:       lwtroleplanner.NewDemandMeter(meterSpan),
		outstanding: map[*engine]int{},
		read:        map[*engine]cacheCursor{},
	}
}

// place chooses engines for a request and records it as sent. It returns a
// rejection when the request is not admitted.
func (daemon *daemon) place(now time.Time, j *job) *lwtadmission.Rejection {
	choice, err := daemon.router.Pick(now, j.request)
	if err != nil {
		return &lwtadmission.Rejection{Reason: "no_engine", RetryAfter: time.Second}
	}
	if j.attempts == 0 {
		daemon.meter = daemon.meter.WithRequest(now, lwtroleplanner.RequestDemand(
			float64(j.request.PromptTokens), float64(choice.CachedTokens), float64(j.request.OutputTokens)))
	}
	verdict := daemon.admission.Decide(now, lwtadmission.Request{
		Class: j.request.Class, Elapsed: time.Duration(now.UnixNano() - j.arrival.At),
	}, lwtadmission.Estimate{
		TimeToFirstToken: choice.TimeToFirstToken, EndToEndLatency: choice.EndToEndLatency, InterTokenLatency: choice.InterTokenLatency, MemoryFull: choice.MemoryFull,
	})
	// A request that began to run is not given up when its engine is lost.
	if verdict.Rejection != nil && j.starts == 0 {
		return verdict.Rejection
	}
	j.choice = choice
	daemon.router.View().WithSent(now, j.request, choice)
	return nil
}

// count places by counting alone.
func (daemon *daemon) count(rule Baseline, engines []*engine, able func(*engine) bool) *engine {
	if rule == RoundRobin {
		for range engines {
			daemon.next++
			if candidate := engines[daemon.next%len(engines)]; able(candidate) {
				return candidate
			}
		}
		return nil
	}
	var best *engine
	for i := range engines {
		// Daemons start at different engines, so that ties do not all go to one.
		candidate := engines[(i+daemon.next)%len(engines)]
		if able(candidate) && (best == nil || daemon.outstanding[candidate] < daemon.outstanding[best]) {
			best = candidate
		}
	}
	daemon.next++
	return best
}

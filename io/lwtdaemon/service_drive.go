package lwtdaemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtretry"
)

// backends owns the daemon's view of backend servers: breakers, running
// attempts, the retry budget and the hedging rule.
type backends struct {
	zone string
	// leaving reports whether the VM list names a backend server as leaving.
	leaving  func(address string) bool
	mutex    sync.Mutex
	breakers map[string]lwtretry.Breaker
	active   map[string]int
	budget   lwtretry.Budget
	hedge    lwtretry.Hedge
	count    int
}

func newBackends(zone string, leaving func(address string) bool) *backends {
	return &backends{
		zone:     zone,
		leaving:  leaving,
		breakers: map[string]lwtretry.Breaker{},
		active:   map[string]int{},
		budget:   lwtretry.NewBudget(),
		hedge:    lwtretry.NewHedge(),
	}
}

// order counts a request and returns the addresses to try, best first, and the
// time after which to hedge.
func (backends *backends) order(now time.Time, servers []lwtdeclaredstate.BackendServer) ([]string, time.Duration) {
	backends.mutex.Lock()
	defer backends.mutex.Unlock()
	backends.budget = backends.budget.WithRequest()
	backends.count++
	candidates := make([]lwtretry.Candidate, 0, len(servers))
	for _, server := range servers {
		candidates = append(candidates, lwtretry.Candidate{
			Address: server.Address, SameZone: server.AvailabilityZone == backends.zone,
			Draining: server.Draining || backends.leaving(server.Address),
			Breaker:  backends.breakers[server.Address], InFlight: backends.active[server.Address],
		})
	}
	return lwtretry.Rank(now, candidates, backends.count), backends.hedge.Delay()
}

func (backends *backends) started(now time.Time, address string) {
	backends.mutex.Lock()
	defer backends.mutex.Unlock()
	backends.breakers[address] = backends.breakers[address].WithAttempt(now)
	backends.active[address]++
}

func (backends *backends) ended(now time.Time, ended attempt, idempotent bool) {
	backends.mutex.Lock()
	defer backends.mutex.Unlock()
	failed := ended.outcome != lwtretry.Done
	backends.breakers[ended.address] = backends.breakers[ended.address].WithResult(now, failed, rand.Float64())
	backends.active[ended.address]--
	if idempotent && !failed {
		backends.hedge = backends.hedge.WithSample(ended.took)
	}
}

// again decides whether another attempt may follow one that has ended.
func (backends *backends) again(now time.Time, ended lwtretry.Attempt) bool {
	backends.mutex.Lock()
	defer backends.mutex.Unlock()
	var retry bool
	backends.budget, retry = lwtretry.ShouldRetry(now, ended, backends.budget)
	return retry
}

// hedges decides whether a lookup gets a second attempt while the first runs.
func (backends *backends) hedges(ran time.Duration, idempotent bool) bool {
	backends.mutex.Lock()
	defer backends.mutex.Unlock()
	var hedge bool
	backends.budget, hedge = backends.hedge.ShouldHedge(ran, idempotent, backends.budget)
	return hedge
}

// drive is the work of one call: attempts one after another, or two at once
// for a hedged lookup.
type drive struct {
	forwarder *forwarder
	call      *serviceCall
	order     []string
	aborter   *aborter
	results   chan attempt
	started   int
	running   int
	outcome   lwtretry.Outcome
}

// run makes the attempts of a call and returns the one that answers it. Its
// outcome says what is known of the whole call.
func (forwarder *forwarder) run(call *serviceCall, aborter *aborter) attempt {
	began := time.Now()
	order, hedgeAfter := forwarder.backends.order(began, call.service.BackendServers)
	if len(order) == 0 {
		return attempt{outcome: lwtretry.NotSent, err: errNoBackend}
	}
	drive := &drive{
		forwarder: forwarder, call: call, order: order, aborter: aborter,
		results: make(chan attempt, lwtretry.MaxAttempts),
	}
	// Losing attempts end without an answer.
	defer aborter.abort()
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	drive.start()
	for {
		select {
		case <-hedge.C:
			if len(order) > 1 && drive.started == 1 && forwarder.backends.hedges(time.Since(began), call.idempotent) {
				drive.start()
			}
		case ended := <-drive.results:
			if result, last := drive.ended(ended); last {
				return result
			}
		}
	}
}

// start begins the next attempt, at the next backend server in order.
func (drive *drive) start() {
	forwarder, call := drive.forwarder, drive.call
	address := drive.order[drive.started%len(drive.order)]
	drive.started++
	drive.running++
	now := time.Now()
	deadline := call.deadline
	if call.idempotent && drive.started < lwtretry.MaxAttempts && now.Add(serviceSilence).Before(deadline) {
		deadline = now.Add(serviceSilence)
	}
	forwarder.backends.started(now, address)
	go func() {
		ended := forwarder.try(call, address, deadline, drive.aborter)
		forwarder.backends.ended(time.Now(), ended, call.idempotent)
		drive.results <- ended
	}()
}

// ended takes the end of an attempt, and reports whether it ends the call.
func (drive *drive) ended(ended attempt) (attempt, bool) {
	drive.running--
	drive.outcome = drive.outcome.Combine(ended.outcome)
	if ended.outcome == lwtretry.Done {
		return ended, true
	}
	if drive.running > 0 {
		return attempt{}, false
	}
	decided := lwtretry.Attempt{
		Outcome: ended.outcome, Idempotent: drive.call.idempotent, Number: drive.started, Deadline: drive.call.deadline,
	}
	if !drive.aborter.isAborted() && drive.forwarder.backends.again(time.Now(), decided) {
		drive.start()
		return attempt{}, false
	}
	ended.outcome = drive.outcome
	return ended, true
}

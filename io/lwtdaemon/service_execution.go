package lwtdaemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtretry"
)

// backends tracks the backend servers of all services as seen by this daemon:
// circuit breakers, attempts in flight, the retry budget and the hedging delay.
type backends struct {
	zone string
	// isLeaving reports whether the VM of a backend server (IP:port) is listed as
	// leaving.
	isLeaving    func(address string) bool
	mutex        sync.Mutex
	breakers     map[string]lwtretry.Breaker
	inFlight     map[string]int
	budget       lwtretry.Budget
	hedge        lwtretry.Hedge
	requestCount int
}

func newBackends(zone string, isLeaving func(address string) bool) *backends {
	return &backends{
		zone:      zone,
		isLeaving: isLeaving,
		breakers:  map[string]lwtretry.Breaker{},
		inFlight:  map[string]int{},
		budget:    lwtretry.NewBudget(),
		hedge:     lwtretry.NewHedge(),
	}
}

// rankServers records a request and returns the addresses to try, best first, and
// the time after which to send a hedge.
func (backends *backends) rankServers(
	now time.Time, servers []lwtdeclaredstate.BackendServer,
) ([]string, time.Duration) {
	backends.mutex.Lock()
	defer backends.mutex.Unlock()
	backends.budget = backends.budget.WithRequest()
	backends.requestCount++
	candidates := make([]lwtretry.Candidate, 0, len(servers))
	for _, server := range servers {
		candidates = append(candidates, lwtretry.Candidate{
			Address: server.Address, SameZone: server.AvailabilityZone == backends.zone,
			Draining: server.Draining || backends.isLeaving(server.Address),
			Breaker:  backends.breakers[server.Address], InFlight: backends.inFlight[server.Address],
		})
	}
	return lwtretry.Rank(now, candidates, backends.requestCount), backends.hedge.Delay()
}

func (backends *backends) recordStart(now time.Time, address string) {
	backends.mutex.Lock()
	defer backends.mutex.Unlock()
	backends.breakers[address] = backends.breakers[address].WithAttempt(now)
	backends.inFlight[address]++
}

func (backends *backends) recordEnd(now time.Time, result attempt, idempotent bool) {
	backends.mutex.Lock()
	defer backends.mutex.Unlock()
	failed := result.outcome != lwtretry.Done
	backends.breakers[result.address] = backends.breakers[result.address].WithResult(now, failed, rand.Float64())
	backends.inFlight[result.address]--
	if idempotent && !failed {
		backends.hedge = backends.hedge.WithSample(result.duration)
	}
}

// shouldRetry decides whether another attempt may follow one that has ended, and
// spends the retry budget if so.
func (backends *backends) shouldRetry(now time.Time, ended lwtretry.Attempt) bool {
	backends.mutex.Lock()
	defer backends.mutex.Unlock()
	var retry bool
	backends.budget, retry = lwtretry.ShouldRetry(now, ended, backends.budget)
	return retry
}

// shouldHedge decides whether an idempotent call gets a second attempt while the
// first is in flight, and spends the retry budget if so.
func (backends *backends) shouldHedge(ran time.Duration, idempotent bool) bool {
	backends.mutex.Lock()
	defer backends.mutex.Unlock()
	var hedge bool
	backends.budget, hedge = backends.hedge.ShouldHedge(ran, idempotent, backends.budget)
	return hedge
}

// callExecution is the execution of one call: attempts one after another, or two at
// once if an idempotent call is hedged.
type callExecution struct {
	forwarder *forwarder
	call      *serviceCall
	addresses []string
	aborter   *aborter
	results   chan attempt
	attempts  int
	inFlight  int
	outcome   lwtretry.Outcome
}

// runAttempts makes the attempts of a call and returns the one that completes it.
// If no attempt completes it, the outcome combines those of all attempts.
func (forwarder *forwarder) runAttempts(call *serviceCall, aborter *aborter) attempt {
	start := time.Now()
	addresses, hedgeAfter := forwarder.backends.rankServers(start, call.service.BackendServers)
	if len(addresses) == 0 {
		return attempt{outcome: lwtretry.NotSent, err: errNoBackend}
	}
	execution := &callExecution{
		forwarder: forwarder, call: call, addresses: addresses, aborter: aborter,
		results: make(chan attempt, lwtretry.MaxAttempts),
	}
	// Attempts that are still in flight are no longer needed.
	defer aborter.abort()
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	execution.startAttempt()
	for {
		select {
		case <-hedge.C:
			if len(addresses) > 1 && execution.attempts == 1 &&
				forwarder.backends.shouldHedge(time.Since(start), call.idempotent) {
				execution.startAttempt()
			}
		case ended := <-execution.results:
			if result, last := execution.handleResult(ended); last {
				return result
			}
		}
	}
}

// startAttempt starts an attempt at the next backend server in the ranking.
func (execution *callExecution) startAttempt() {
	forwarder, call := execution.forwarder, execution.call
	address := execution.addresses[execution.attempts%len(execution.addresses)]
	execution.attempts++
	execution.inFlight++
	now := time.Now()
	deadline := call.deadline
	if call.idempotent && execution.attempts < lwtretry.MaxAttempts && now.Add(retryableAttemptTimeout).Before(deadline) {
		deadline = now.Add(retryableAttemptTimeout)
	}
	forwarder.backends.recordStart(now, address)
	go func() {
		result := forwarder.makeAttempt(call, address, deadline, execution.aborter)
		forwarder.backends.recordEnd(time.Now(), result, call.idempotent)
		execution.results <- result
	}()
}

// handleResult processes the result of an attempt and retries if allowed. It
// reports whether the call is complete, and with which result.
func (execution *callExecution) handleResult(result attempt) (attempt, bool) {
	execution.inFlight--
	execution.outcome = execution.outcome.Combine(result.outcome)
	if result.outcome == lwtretry.Done {
		return result, true
	}
	if execution.inFlight > 0 {
		return attempt{}, false
	}
	endedAttempt := lwtretry.Attempt{
		Outcome: result.outcome, Idempotent: execution.call.idempotent, Number: execution.attempts,
		Deadline: execution.call.deadline,
	}
	if !execution.aborter.isAborted() && execution.forwarder.backends.shouldRetry(time.Now(), endedAttempt) {
		execution.startAttempt()
		return attempt{}, false
	}
	result.outcome = execution.outcome
	return result, true
}

package lwtfaultsim

import (
	"fmt"
	"slices"
	"time"

	"lacewingtide/core/lwtclaim"
	"lacewingtide/core/lwtretry"
)

// Experiment holds the parameters of a run.
type Experiment struct {
	Seed    uint64
	Daemons int
	// ClaimOptions are the options of each daemon's claims.
	ClaimOptions lwtclaim.Options
	// Collectors is the number of daemons that merge the claims of other daemons.
	// With 0, each daemon writes its own claims.
	Collectors       int
	CollectorOptions lwtclaim.Options
	// Orders is the number of orders. They arrive ArrivalInterval apart on average.
	Orders          int
	ArrivalInterval time.Duration
	// MaxRetries bounds the retries of an order by its caller.
	MaxRetries int
	// DuplicateRate is the fraction of requests that are sent twice at once, each
	// through a random daemon.
	DuplicateRate float64
	// FaultRate sets the probability of faults. At 0 there are none.
	FaultRate float64
}

// Request is one request of a caller, as observed by the caller.
type Request struct {
	Key, Nonce string
	Begin, End time.Time
	// Outcome is "done", "replay", "not-run" or "unknown".
	Outcome string
	// ClaimLatency is the time until the claim was decided.
	ClaimLatency time.Duration
}

// Result is the result of a run.
type Result struct {
	Requests []Request
	// End is the virtual time at the end of the run.
	End time.Time
	// ArrivalPeriod is the time over which orders arrive on average.
	ArrivalPeriod time.Duration
	// Transactions is the number of transactions sent to the table.
	Transactions int
	// Crashes counts the crashes of daemons and collectors.
	Crashes int
	// OutcomeCounts counts the requests by outcome.
	OutcomeCounts map[string]int
	// OrdersExecuted is the number of different orders that ran.
	OrdersExecuted int
	// Violations lists the guarantees that were violated.
	Violations []string
}

// TransactionsPerSecond returns the mean rate of transactions on the table.
func (result Result) TransactionsPerSecond() float64 {
	return float64(result.Transactions) / result.ArrivalPeriod.Seconds()
}

// ClaimLatency returns a quantile, in [0, 1], of the claim latency of all requests.
func (result Result) ClaimLatency(quantile float64) time.Duration {
	latencies := make([]time.Duration, 0, len(result.Requests))
	for _, request := range result.Requests {
		latencies = append(latencies, request.ClaimLatency)
	}
	slices.Sort(latencies)
	return latencies[int(quantile*float64(len(latencies)-1))]
}

// simulation is the state of a run.
type simulation struct {
	clock
	experiment Experiment
	table      table
	daemons    []*daemon
	collectors []*collector
	startCount int
	budget     lwtretry.Budget
	breakers   [serverCount]lwtretry.Breaker
	// executions counts how often each order ran, by key.
	executions map[string]int
	// executedRequests holds the nonces of the requests that ran an order.
	executedRequests map[string]bool
	requests         []*callerRequest
	// mayStayOpen holds the keys whose rows may stay open: a daemon with the claim
	// crashed, or the outcome at the backend server is unknown.
	mayStayOpen map[string]bool
	violations  []string
}

// Run runs an experiment. Equal experiments give equal results.
func Run(experiment Experiment) Result {
	simulation := &simulation{
		clock: newClock(experiment.Seed), experiment: experiment, table: table{rows: map[string]lwtclaim.StoredRow{}},
		executions: map[string]int{}, executedRequests: map[string]bool{}, mayStayOpen: map[string]bool{},
		budget: lwtretry.NewBudget(),
	}
	for range experiment.Daemons {
		simulation.daemons = append(simulation.daemons, simulation.startDaemon())
	}
	for range experiment.Collectors {
		simulation.collectors = append(simulation.collectors, simulation.startCollector())
	}
	simulation.scheduleArrivals(0)
	simulation.run()
	return simulation.result()
}

// scheduleArrivals submits order i and schedules the following ones.
func (simulation *simulation) scheduleArrivals(i int) {
	if i == simulation.experiment.Orders {
		return
	}
	simulation.submitOrder(fmt.Sprint("k", i), simulation.experiment.MaxRetries)
	gap := time.Duration(simulation.random.ExpFloat64() * float64(simulation.experiment.ArrivalInterval))
	simulation.after(gap, func() { simulation.scheduleArrivals(i + 1) })
}

func (simulation *simulation) recordViolation(format string, values ...any) {
	simulation.violations = append(simulation.violations, fmt.Sprintf(format, values...))
}

func (simulation *simulation) result() Result {
	result := Result{
		End: simulation.now, Transactions: simulation.table.commits, OutcomeCounts: map[string]int{},
		OrdersExecuted: len(simulation.executions),
		ArrivalPeriod:  time.Duration(simulation.experiment.Orders) * simulation.experiment.ArrivalInterval,
		Crashes:        simulation.startCount - simulation.experiment.Daemons - simulation.experiment.Collectors,
	}
	for _, request := range simulation.requests {
		result.Requests = append(result.Requests, request.Request)
		result.OutcomeCounts[request.Outcome]++
		simulation.checkGuarantees(request)
	}
	result.Violations = simulation.violations
	return result
}

// checkGuarantees records the violations of the guarantees given to one request.
func (simulation *simulation) checkGuarantees(request *callerRequest) {
	if count := simulation.executions[request.Key]; count > 1 {
		simulation.recordViolation("order %s ran %d times", request.Key, count)
	}
	switch {
	case !request.answered:
		simulation.recordViolation("request %s was never answered", request.Nonce)
	case request.Outcome == "not-run" && simulation.executedRequests[request.Nonce]:
		simulation.recordViolation("request %s was answered not-run but ran", request.Nonce)
	case request.Outcome == "done" && !simulation.executedRequests[request.Nonce]:
		simulation.recordViolation("request %s was answered done but did not run", request.Nonce)
	case request.Outcome == "replay" && simulation.executions[request.Key] != 1:
		simulation.recordViolation("request %s got the response of an order that did not run exactly once", request.Nonce)
	}
	if simulation.table.rows[request.Key].Row.State == lwtclaim.StateOpen && !simulation.mayStayOpen[request.Key] {
		simulation.recordViolation("the row of %s stays open although no daemon with it crashed and no outcome was unknown",
			request.Key)
	}
}

package lwtfaultsim

import (
	"fmt"
	"slices"
	"time"

	"lacewingtide/core/lwtclaim"
	"lacewingtide/core/lwtretry"
)

// Experiment describes a run.
type Experiment struct {
	Seed    uint64
	Daemons int
	// ClaimOptions bound the claims of each daemon.
	ClaimOptions lwtclaim.Options
	// Collectors is the number of daemons that merge the others' claims; 0
	// means that each daemon writes its own.
	Collectors       int
	CollectorOptions lwtclaim.Options
	// Orders is the number of orders, one each Interval on average.
	Orders          int
	ArrivalInterval time.Duration
	// MaxRetries bounds the repetitions of an order by its caller.
	MaxRetries int
	// DuplicateRate is the share of orders that are sent through two daemons at once.
	DuplicateRate float64
	// FaultRate is the share of steps that fail; 0 means none.
	FaultRate float64
}

// Request is one request of a caller as the caller saw it.
type Request struct {
	Key, Nonce string
	Begin, End time.Time
	// Outcome is "done", "replay", "not-run" or "unknown".
	Outcome string
	// ClaimLatency is the time that the claim took.
	ClaimLatency time.Duration
}

// Result is what a run showed.
type Result struct {
	Requests []Request
	// End is the virtual time at the end of the run.
	End time.Time
	// ArrivalPeriod is the time in which orders arrived.
	ArrivalPeriod time.Duration
	// Transactions is the number of transactions sent to the table.
	Transactions int
	Crashes      int
	// OutcomeCounts counts the requests by outcome.
	OutcomeCounts map[string]int
	// OrdersExecuted is the number of orders that ran.
	OrdersExecuted int
	// Violations lists the promises that did not hold.
	Violations []string
}

// TransactionsPerSecond returns the load on the table.
func (result Result) TransactionsPerSecond() float64 {
	return float64(result.Transactions) / result.ArrivalPeriod.Seconds()
}

// ClaimLatency returns a quantile in [0, 1] of the time that claims took.
func (result Result) ClaimLatency(quantile float64) time.Duration {
	waits := make([]time.Duration, 0, len(result.Requests))
	for _, request := range result.Requests {
		waits = append(waits, request.ClaimLatency)
	}
	slices.Sort(waits)
	return waits[int(quantile*float64(len(waits)-1))]
}

// world is the state of a run.
type world struct {
	clock
	experiment Experiment
	table      table
	daemons    []*daemon
	collectors []*collector
	boots      int
	budget     lwtretry.Budget
	breakers   [shops]lwtretry.Breaker
	// ran is how often each order ran; ranBy are the requests that ran one.
	ran    map[string]int
	ranBy  map[string]bool
	trials []*trial
	// excused are the keys whose rows may stay open.
	excused map[string]bool
	broken  []string
}

// Run carries out an experiment. Equal experiments give equal results.
func Run(experiment Experiment) Result {
	world := &world{
		clock: newClock(experiment.Seed), experiment: experiment, table: table{rows: map[string]lwtclaim.StoredRow{}},
		ran: map[string]int{}, ranBy: map[string]bool{}, excused: map[string]bool{}, budget: lwtretry.NewBudget(),
	}
	for range experiment.Daemons {
		world.daemons = append(world.daemons, world.bootDaemon())
	}
	for range experiment.Collectors {
		world.collectors = append(world.collectors, world.bootCollector())
	}
	world.arrive(0)
	world.run()
	return world.result()
}

// arrive sends the orders from the i-th on.
func (world *world) arrive(i int) {
	if i == world.experiment.Orders {
		return
	}
	world.order(fmt.Sprint("k", i), world.experiment.MaxRetries)
	gap := time.Duration(world.random.ExpFloat64() * float64(world.experiment.ArrivalInterval))
	world.after(gap, func() { world.arrive(i + 1) })
}

func (world *world) breaks(format string, values ...any) {
	world.broken = append(world.broken, fmt.Sprintf(format, values...))
}

func (world *world) result() Result {
	result := Result{
		End: world.now, Transactions: world.table.commits, OutcomeCounts: map[string]int{}, OrdersExecuted: len(world.ran),
		ArrivalPeriod: time.Duration(world.experiment.Orders) * world.experiment.ArrivalInterval,
		Crashes:       world.boots - world.experiment.Daemons - world.experiment.Collectors,
	}
	for _, trial := range world.trials {
		result.Requests = append(result.Requests, trial.Request)
		result.OutcomeCounts[trial.Outcome]++
		world.judge(trial)
	}
	result.Violations = world.broken
	return result
}

// judge checks the guarantees given to one request.
func (world *world) judge(trial *trial) {
	if count := world.ran[trial.Key]; count > 1 {
		world.breaks("order %s ran %d times", trial.Key, count)
	}
	switch {
	case !trial.closed:
		world.breaks("request %s was never answered", trial.Nonce)
	case trial.Outcome == "not-run" && world.ranBy[trial.Nonce]:
		world.breaks("request %s was told not-run and ran", trial.Nonce)
	case trial.Outcome == "done" && !world.ranBy[trial.Nonce]:
		world.breaks("request %s was told done and did not run", trial.Nonce)
	case trial.Outcome == "replay" && world.ran[trial.Key] != 1:
		world.breaks("request %s got the outcome of an order that never ran", trial.Nonce)
	}
	if world.table.rows[trial.Key].Row.State == lwtclaim.StateOpen && !world.excused[trial.Key] {
		world.breaks("the row of %s stays open although no daemon with it died and no shop crashed", trial.Key)
	}
}

package lwtclaim_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lacewingtide/core/lwtclaim"
	"lacewingtide/core/lwtretry"
)

// event is something that happens at a virtual time.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(i, j int) bool {
	if !events[i].at.Equal(events[j].at) {
		return events[i].at.Before(events[j].at)
	}
	return events[i].order < events[j].order
}
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }
func (events *events) Push(x any)   { *events = append(*events, x.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// sim is daemons, a table, shops and callers in virtual time.
type sim struct {
	random  *rand.Rand
	now     time.Time
	queue   events
	count   int
	rows    map[string]lwtclaim.Stored
	version int64
	commits int
	daemons []*simDaemon
	boots   int
	// faults is the share of steps that fail.
	faults  float64
	outage  time.Time
	budget  lwtretry.Budget
	breaker [3]lwtretry.Breaker
	// ran is how often each key ran, and which request ran it.
	ran    map[string]int
	ranBy  map[string]bool
	trials []*trial
	tally  map[string]int
	waited time.Duration
	// excused are the keys whose rows may stay open.
	excused map[string]bool
}

// simDaemon is one daemon. It forgets everything when it dies.
type simDaemon struct {
	sim   *sim
	boot  int
	model lwtclaim.Model
	open  map[string]*trial
	keys  []string
}

// trial is one request of a caller.
type trial struct {
	key, nonce string
	begin, end time.Time
	outcome    string
	closed     bool
	again      func(outcome string)
}

func newSim(seed uint64, daemons int, faults float64) *sim {
	sim := &sim{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), faults: faults,
		rows: map[string]lwtclaim.Stored{}, ran: map[string]int{}, ranBy: map[string]bool{},
		tally: map[string]int{}, excused: map[string]bool{},
		budget: lwtretry.NewBudget(),
	}
	for range daemons {
		sim.daemons = append(sim.daemons, sim.boot())
	}
	return sim
}

func (sim *sim) boot() *simDaemon {
	sim.boots++
	return &simDaemon{
		sim: sim, boot: sim.boots, open: map[string]*trial{},
		model: lwtclaim.New(fmt.Sprint("d", sim.boots), lwtclaim.DefaultOptions()),
	}
}

func (sim *sim) after(delay time.Duration, run func()) {
	sim.count++
	heap.Push(&sim.queue, event{sim.now.Add(delay), sim.count, run})
}

func (sim *sim) chance(share float64) bool { return sim.random.Float64() < share }

func (sim *sim) between(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.random.Int64N(int64(most-least)))
}

func (sim *sim) run() {
	for len(sim.queue) > 0 {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		next.run()
	}
}

// kill ends a daemon at any step. Its callers see their connections break.
func (sim *sim) kill(dead *simDaemon) {
	for i, daemon := range sim.daemons {
		if daemon == dead {
			sim.daemons[i] = sim.boot()
		}
	}
	for _, key := range dead.keys {
		sim.excused[key] = true
	}
	for _, nonce := range sortedKeys(dead.open) {
		dead.end(dead.open[nonce], "unknown")
	}
	dead.open = nil
}

// update feeds the model of a daemon that is alive and carries out the
// commands. The daemon may die before any of them.
func (daemon *simDaemon) update(msg lwtclaim.Msg) {
	if daemon.open == nil {
		return
	}
	var cmds []lwtclaim.Cmd
	daemon.model, cmds = daemon.model.Update(daemon.sim.now, msg)
	for _, cmd := range cmds {
		if daemon.sim.chance(daemon.sim.faults / 20) {
			daemon.sim.kill(daemon)
			return
		}
		switch cmd := cmd.(type) {
		case lwtclaim.Commit:
			daemon.sim.commit(daemon, cmd)
		case lwtclaim.Wake:
			daemon.sim.after(max(0, cmd.At.Sub(daemon.sim.now)), func() { daemon.update(lwtclaim.Tick{}) })
		case lwtclaim.Answer:
			daemon.answer(cmd)
		}
	}
}

// commit carries a batch to the table. The batch or its answer may be lost,
// and a batch whose answer was lost may be applied seconds later.
func (sim *sim) commit(daemon *simDaemon, cmd lwtclaim.Commit) {
	sim.commits++
	there, back := sim.between(time.Millisecond, 4*time.Millisecond), sim.between(time.Millisecond, 4*time.Millisecond)
	if sim.chance(sim.faults / 2000) {
		sim.outage = sim.now.Add(sim.between(time.Second, 10*time.Second))
	}
	lost := sim.now.Before(sim.outage) || sim.chance(sim.faults)
	arrives := !lost || sim.chance(0.5)
	if lost && sim.chance(0.3) {
		there = sim.between(time.Millisecond, 6*time.Second)
	}
	if arrives {
		sim.after(there, func() {
			msg := sim.apply(cmd)
			if !lost {
				sim.after(back, func() { daemon.update(msg) })
			}
		})
	}
	if lost {
		sim.after(sim.between(time.Millisecond, 2*time.Second), func() { daemon.update(lwtclaim.Lost{Batch: cmd.Batch}) })
	}
}

func (sim *sim) apply(cmd lwtclaim.Commit) lwtclaim.Msg {
	held := lwtclaim.Conflicted{Batch: cmd.Batch}
	conflict := false
	for _, write := range cmd.Writes {
		stored := sim.rows[write.Key]
		stored.Key = write.Key
		held.Rows = append(held.Rows, stored)
		conflict = conflict || stored.Version != write.Version
	}
	if conflict {
		return held
	}
	sim.version++
	for _, write := range cmd.Writes {
		sim.rows[write.Key] = lwtclaim.Stored{Key: write.Key, Version: sim.version, Row: write.Row}
	}
	return lwtclaim.Committed{Batch: cmd.Batch, Version: sim.version}
}

// request sends a caller's request through a daemon.
func (sim *sim) request(key string, again func(outcome string)) {
	daemon := sim.daemons[sim.random.IntN(len(sim.daemons))]
	trial := &trial{key: key, nonce: fmt.Sprint("n", len(sim.trials)), begin: sim.now, again: again}
	sim.trials = append(sim.trials, trial)
	daemon.open[trial.nonce] = trial
	daemon.keys = append(daemon.keys, key)
	daemon.update(lwtclaim.Open{
		Key: key, Nonce: trial.nonce, RequestHash: key, GiveUp: sim.now.Add(2500 * time.Millisecond),
	})
}

func (daemon *simDaemon) answer(answer lwtclaim.Answer) {
	trial := daemon.open[answer.Nonce]
	daemon.sim.waited += daemon.sim.now.Sub(trial.begin)
	switch answer.Verdict {
	case lwtclaim.Granted:
		daemon.attempt(trial, 1, lwtretry.NotSent)
	case lwtclaim.Replay:
		if string(answer.Outcome.Body) != trial.key {
			panic("stored outcome of another key")
		}
		daemon.end(trial, "replay")
	case lwtclaim.InProgress:
		daemon.end(trial, "unknown")
	default:
		daemon.end(trial, "not-run")
	}
}

// attempt sends a granted request to a shop, as the forwarder does.
func (daemon *simDaemon) attempt(trial *trial, number int, before lwtretry.Outcome) {
	sim := daemon.sim
	servers := make([]lwtretry.Server, len(sim.breaker))
	for i := range servers {
		servers[i] = lwtretry.Server{Address: string(rune('0' + i)), Breaker: sim.breaker[i]}
	}
	shop := int(lwtretry.Order(sim.now, servers, sim.random.IntN(3))[(number-1)%3][0] - '0')
	sim.breaker[shop] = sim.breaker[shop].WithAttempt(sim.now)
	outcome := sim.shop(trial)
	sim.excused[trial.key] = sim.excused[trial.key] || outcome == lwtretry.Unknown
	sim.after(sim.between(time.Millisecond, 30*time.Millisecond), func() {
		sim.breaker[shop] = sim.breaker[shop].WithResult(sim.now, outcome != lwtretry.Done, sim.random.Float64())
		if daemon.open == nil {
			return
		}
		whole := before.Worse(outcome)
		var retry bool
		sim.budget, retry = lwtretry.Decide(sim.now, lwtretry.Attempt{
			Outcome: outcome, Number: number, Deadline: trial.begin.Add(10 * time.Second),
		}, sim.budget.WithRequest())
		if retry {
			daemon.attempt(trial, number+1, whole)
			return
		}
		daemon.settle(trial, whole)
	})
}

// shop runs or refuses an order. It may crash before or after it runs one, and
// an order whose sender saw no answer may still run later.
func (sim *sim) shop(trial *trial) lwtretry.Outcome {
	run := func() {
		sim.ran[trial.key]++
		sim.ranBy[trial.nonce] = true
	}
	switch {
	case sim.chance(sim.faults):
		return lwtretry.NotSent
	case sim.chance(sim.faults / 2):
		return lwtretry.Refused
	case sim.chance(sim.faults / 2):
		return lwtretry.Unknown
	case sim.chance(sim.faults / 2):
		sim.after(sim.between(0, 10*time.Second), run)
		return lwtretry.Unknown
	}
	run()
	return lwtretry.Done
}

func (daemon *simDaemon) settle(trial *trial, outcome lwtretry.Outcome) {
	told := outcome.String()
	switch {
	case !outcome.Ran():
		daemon.update(lwtclaim.Release{Key: trial.key, Nonce: trial.nonce})
	case outcome == lwtretry.Unknown:
		daemon.update(lwtclaim.Forget{Key: trial.key, Nonce: trial.nonce})
	default:
		daemon.update(lwtclaim.Finish{
			Key: trial.key, Nonce: trial.nonce, Outcome: lwtclaim.Outcome{Status: 201, Body: []byte(trial.key)},
		})
	}
	// The daemon may have died in the update; then the caller was told unknown.
	if daemon.open != nil {
		daemon.end(trial, told)
	}
}

func (daemon *simDaemon) end(trial *trial, outcome string) {
	if trial.closed {
		panic("request answered twice")
	}
	trial.closed, trial.outcome, trial.end = true, outcome, daemon.sim.now
	delete(daemon.open, trial.nonce)
	daemon.sim.tally[outcome]++
	trial.again(outcome)
}

// order is a caller that repeats its order under one key until it is done,
// through whichever daemon, and sometimes through two at once.
func (sim *sim) order(key string, left int) {
	retry := func(outcome string) {
		if left > 0 && outcome != "done" && outcome != "replay" {
			sim.after(sim.between(0, 3*time.Second), func() { sim.order(key, left-1) })
		}
	}
	sim.request(key, retry)
	if sim.chance(0.05) {
		sim.request(key, func(string) {})
	}
}

// arrive sends the orders from the i-th on, one each 8 ms.
func (sim *sim) arrive(i, orders int) {
	if i == orders {
		return
	}
	sim.order(fmt.Sprint("k", i), 4)
	sim.after(8*time.Millisecond, func() { sim.arrive(i+1, orders) })
}

// check reports every broken promise.
func (sim *sim) check(t *testing.T) {
	t.Helper()
	for key, count := range sim.ran {
		if count > 1 {
			t.Errorf("order %s ran %d times", key, count)
		}
	}
	for _, trial := range sim.trials {
		switch {
		case !trial.closed:
			t.Errorf("request %s was never answered", trial.nonce)
		case trial.outcome == "not-run" && sim.ranBy[trial.nonce]:
			t.Errorf("request %s was told not-run and ran", trial.nonce)
		case trial.outcome == "done" && !sim.ranBy[trial.nonce]:
			t.Errorf("request %s was told done and did not run", trial.nonce)
		case trial.outcome == "replay" && sim.ran[trial.key] != 1:
			t.Errorf("request %s got the outcome of an order that never ran", trial.nonce)
		}
		if stored := sim.rows[trial.key]; stored.Row.State == lwtclaim.StateOpen && !sim.excused[trial.key] {
			t.Errorf("the row of %s stays open although no daemon with it died and no shop crashed", trial.key)
		}
	}
}

// TestNothingRunsTwiceInVirtualTime guards against an order that runs twice and
// against a request that ran although its caller was told not-run, under lost
// store answers, store outages, deaths of daemons at any step, shops that crash
// before or after an order, and callers that retry through other daemons. It
// also guards against keys that stay blocked without a cause.
func TestNothingRunsTwiceInVirtualTime(t *testing.T) {
	const (
		orders = 14_000
		seeds  = 4
	)
	requests := make([]int, seeds)
	t.Run("seeds", func(t *testing.T) {
		for seed := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				sim := newSim(uint64(20261204+seed), 6, 0.05)
				sim.arrive(0, orders)
				sim.run()
				sim.check(t)
				checkHistories(t, sim)
				requests[seed] = len(sim.trials)
				t.Logf("%d requests, %d daemons died, %d transactions, told %v, ran %d of %d orders",
					len(sim.trials), sim.boots-6, sim.commits, sim.tally, len(sim.ran), orders)
			})
		}
	})
	total := 0
	for _, count := range requests {
		total += count
	}
	if total < 100_000 {
		t.Errorf("%d requests, want 100,000", total)
	}
}

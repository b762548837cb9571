package lwtfaultsim

import (
	"fmt"
	"strconv"
	"time"

	"lacewingtide/core/lwtclaim"
	"lacewingtide/core/lwtretry"
)

// shops is the number of backend servers.
const shops = 3

// Times of callers and shops.
const (
	callerPause  = 3 * time.Second
	shopLeast    = time.Millisecond
	shopMost     = 30 * time.Millisecond
	shopLate     = 10 * time.Second
	callDeadline = 10 * time.Second
)

// trial is one request of a caller.
type trial struct {
	Request
	closed bool
	again  func(outcome string)
}

// order is a caller that repeats its order under one key until it is done,
// through whichever daemon, and sometimes through two at once.
func (world *world) order(key string, left int) {
	retry := func(outcome string) {
		if left > 0 && outcome != "done" && outcome != "replay" {
			world.after(world.between(0, callerPause), func() { world.order(key, left-1) })
		}
	}
	world.request(key, retry)
	if world.chance(world.experiment.DuplicateRate) {
		world.request(key, func(string) {})
	}
}

// request sends a caller's request through a daemon.
func (world *world) request(key string, again func(outcome string)) {
	daemon := world.daemons[world.random.IntN(len(world.daemons))]
	nonce := fmt.Sprint("n", len(world.trials))
	trial := &trial{Request: Request{Key: key, Nonce: nonce, Begin: world.now}, again: again}
	world.trials = append(world.trials, trial)
	daemon.open[nonce] = trial
	if world.experiment.FaultRate > 0 {
		daemon.keys = append(daemon.keys, key)
	}
	daemon.update(lwtclaim.Open{Key: key, Nonce: nonce, RequestHash: key, Deadline: world.now.Add(claimPatience)})
}

func (daemon *daemon) answer(answer lwtclaim.OpenResult) {
	trial := daemon.open[answer.Nonce]
	trial.ClaimLatency = daemon.world.now.Sub(trial.Begin)
	switch answer.Decision {
	case lwtclaim.Granted:
		daemon.attempt(trial, 1, lwtretry.NotSent)
	case lwtclaim.Replay:
		if string(answer.Response.Body) != trial.Key {
			daemon.world.breaks("request %s got the outcome of another key", trial.Nonce)
		}
		daemon.end(trial, "replay")
	case lwtclaim.InProgress:
		daemon.end(trial, "unknown")
	default:
		daemon.end(trial, "not-run")
	}
}

// attempt sends a granted request to a shop, as the forwarder does.
func (daemon *daemon) attempt(trial *trial, number int, before lwtretry.Outcome) {
	world := daemon.world
	shop := world.pick(number)
	world.breakers[shop] = world.breakers[shop].WithAttempt(world.now)
	outcome := world.shop(trial)
	world.excused[trial.Key] = world.excused[trial.Key] || outcome == lwtretry.Unknown
	world.after(world.between(shopLeast, shopMost), func() {
		failed := outcome != lwtretry.Done
		world.breakers[shop] = world.breakers[shop].WithResult(world.now, failed, world.random.Float64())
		if daemon.dead {
			return
		}
		var retry bool
		world.budget, retry = lwtretry.ShouldRetry(world.now, lwtretry.Attempt{
			Outcome: outcome, Number: number, Deadline: trial.Begin.Add(callDeadline),
		}, world.budget.WithRequest())
		if retry {
			daemon.attempt(trial, number+1, before.Combine(outcome))
			return
		}
		daemon.settle(trial, before.Combine(outcome))
	})
}

// pick returns the shop for an attempt.
func (world *world) pick(number int) int {
	servers := make([]lwtretry.Candidate, shops)
	for i := range servers {
		servers[i] = lwtretry.Candidate{Address: strconv.Itoa(i), Breaker: world.breakers[i]}
	}
	order := lwtretry.Rank(world.now, servers, world.random.IntN(shops))
	return int(order[(number-1)%len(order)][0] - '0')
}

// shop runs or refuses an order. It may crash before or after it runs one, and
// an order whose sender saw no answer may still run later.
func (world *world) shop(trial *trial) lwtretry.Outcome {
	run := func() {
		world.ran[trial.Key]++
		world.ranBy[trial.Nonce] = true
	}
	faults := world.experiment.FaultRate
	switch {
	case world.chance(faults):
		return lwtretry.NotSent
	case world.chance(faults / 2):
		return lwtretry.Rejected
	case world.chance(faults / 2):
		return lwtretry.Unknown
	case world.chance(faults / 2):
		world.after(world.between(0, shopLate), run)
		return lwtretry.Unknown
	}
	run()
	return lwtretry.Done
}

func (daemon *daemon) settle(trial *trial, outcome lwtretry.Outcome) {
	switch {
	case !outcome.MayHaveRun():
		daemon.update(lwtclaim.Release{Key: trial.Key, Nonce: trial.Nonce})
	case outcome == lwtretry.Unknown:
		daemon.update(lwtclaim.LeaveOpen{Key: trial.Key, Nonce: trial.Nonce})
	default:
		stored := lwtclaim.Response{Status: 201, Body: []byte(trial.Key)}
		daemon.update(lwtclaim.Finish{Key: trial.Key, Nonce: trial.Nonce, Response: stored})
	}
	// A daemon that died in the update has told its callers nothing.
	if !daemon.dead {
		daemon.end(trial, outcome.String())
	}
}

func (daemon *daemon) end(trial *trial, outcome string) {
	if trial.closed {
		daemon.world.breaks("request %s was answered twice", trial.Nonce)
	}
	trial.closed, trial.Outcome, trial.End = true, outcome, daemon.world.now
	delete(daemon.open, trial.Nonce)
	trial.again(outcome)
}

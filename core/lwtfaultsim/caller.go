package lwtfaultsim

import (
	"fmt"
	"strconv"
	"time"

	"lacewingtide/core/lwtclaim"
	"lacewingtide/core/lwtretry"
)

// serverCount is the number of backend servers.
const serverCount = 3

// Timing of callers and backend servers.
const (
	maxRetryDelay    = 3 * time.Second
	minExecutionTime = time.Millisecond
	maxExecutionTime = 30 * time.Millisecond
	// maxLateExecution bounds the delay of an order that runs after its sender
	// saw no response.
	maxLateExecution = 10 * time.Second
	requestTimeout   = 10 * time.Second
)

// callerRequest is one request of a caller, with the function to call with its
// outcome.
type callerRequest struct {
	Request
	answered  bool
	onOutcome func(outcome string)
}

// submitOrder simulates a caller that retries its order with the same key until it is
// done. Each request goes through a random daemon, and sometimes two are sent at
// once.
func (simulation *simulation) submitOrder(key string, retriesLeft int) {
	retry := func(outcome string) {
		if retriesLeft > 0 && outcome != "done" && outcome != "replay" {
			simulation.after(simulation.between(0, maxRetryDelay), func() { simulation.submitOrder(key, retriesLeft-1) })
		}
	}
	simulation.sendRequest(key, retry)
	if simulation.chance(simulation.experiment.DuplicateRate) {
		simulation.sendRequest(key, func(string) {})
	}
}

// sendRequest sends a caller's request through a random daemon.
func (simulation *simulation) sendRequest(key string, onOutcome func(outcome string)) {
	daemon := simulation.daemons[simulation.random.IntN(len(simulation.daemons))]
	nonce := fmt.Sprint("n", len(simulation.requests))
	request := &callerRequest{Request: Request{Key: key, Nonce: nonce, Begin: simulation.now}, onOutcome: onOutcome}
	simulation.requests = append(simulation.requests, request)
	daemon.openRequests[nonce] = request
	if simulation.experiment.FaultRate > 0 {
		daemon.keys = append(daemon.keys, key)
	}
	daemon.update(lwtclaim.Open{Key: key, Nonce: nonce, RequestHash: key, Deadline: simulation.now.Add(claimTimeout)})
}

func (daemon *daemon) handleOpenResult(result lwtclaim.OpenResult) {
	request := daemon.openRequests[result.Nonce]
	request.ClaimLatency = daemon.simulation.now.Sub(request.Begin)
	switch result.Decision {
	case lwtclaim.Granted:
		daemon.attempt(request, 1, lwtretry.NotSent)
	case lwtclaim.Replay:
		if string(result.Response.Body) != request.Key {
			daemon.simulation.recordViolation("request %s got the response of another key", request.Nonce)
		}
		daemon.endRequest(request, "replay")
	case lwtclaim.InProgress:
		daemon.endRequest(request, "unknown")
	default:
		daemon.endRequest(request, "not-run")
	}
}

// attempt sends a granted request to a backend server, with the retries that the
// daemon's forwarder makes.
func (daemon *daemon) attempt(request *callerRequest, number int, priorOutcome lwtretry.Outcome) {
	simulation := daemon.simulation
	server := simulation.chooseServer(number)
	simulation.breakers[server] = simulation.breakers[server].WithAttempt(simulation.now)
	outcome := simulation.executeOrder(request)
	simulation.mayStayOpen[request.Key] = simulation.mayStayOpen[request.Key] || outcome == lwtretry.Unknown
	simulation.after(simulation.between(minExecutionTime, maxExecutionTime), func() {
		failed := outcome != lwtretry.Done
		simulation.breakers[server] = simulation.breakers[server].WithResult(simulation.now, failed,
			simulation.random.Float64())
		if daemon.crashed {
			return
		}
		var retry bool
		simulation.budget, retry = lwtretry.ShouldRetry(simulation.now, lwtretry.Attempt{
			Outcome: outcome, Number: number, Deadline: request.Begin.Add(requestTimeout),
		}, simulation.budget.WithRequest())
		if retry {
			daemon.attempt(request, number+1, priorOutcome.Combine(outcome))
			return
		}
		daemon.settleClaim(request, priorOutcome.Combine(outcome))
	})
}

// chooseServer returns the index of the backend server for an attempt.
func (simulation *simulation) chooseServer(number int) int {
	servers := make([]lwtretry.Candidate, serverCount)
	for i := range servers {
		servers[i] = lwtretry.Candidate{Address: strconv.Itoa(i), Breaker: simulation.breakers[i]}
	}
	order := lwtretry.Rank(simulation.now, servers, simulation.random.IntN(serverCount))
	return int(order[(number-1)%len(order)][0] - '0')
}

// executeOrder simulates a backend server, which runs or rejects an order. The server
// may crash before or after it runs the order, and an order whose sender saw no
// response may still run later.
func (simulation *simulation) executeOrder(request *callerRequest) lwtretry.Outcome {
	run := func() {
		simulation.executions[request.Key]++
		simulation.executedRequests[request.Nonce] = true
	}
	faultRate := simulation.experiment.FaultRate
	switch {
	case simulation.chance(faultRate):
		return lwtretry.NotSent
	case simulation.chance(faultRate / 2):
		return lwtretry.Rejected
	case simulation.chance(faultRate / 2):
		return lwtretry.Unknown
	case simulation.chance(faultRate / 2):
		simulation.after(simulation.between(0, maxLateExecution), run)
		return lwtretry.Unknown
	}
	run()
	return lwtretry.Done
}

func (daemon *daemon) settleClaim(request *callerRequest, outcome lwtretry.Outcome) {
	switch {
	case !outcome.MayHaveRun():
		daemon.update(lwtclaim.Release{Key: request.Key, Nonce: request.Nonce})
	case outcome == lwtretry.Unknown:
		daemon.update(lwtclaim.LeaveOpen{Key: request.Key, Nonce: request.Nonce})
	default:
		stored := lwtclaim.Response{Status: 201, Body: []byte(request.Key)}
		daemon.update(lwtclaim.Finish{Key: request.Key, Nonce: request.Nonce, Response: stored})
	}
	// A daemon that crashed in the update has sent no response to its callers.
	if !daemon.crashed {
		daemon.endRequest(request, outcome.String())
	}
}

func (daemon *daemon) endRequest(request *callerRequest, outcome string) {
	if request.answered {
		daemon.simulation.recordViolation("request %s was answered twice", request.Nonce)
	}
	request.answered, request.Outcome, request.End = true, outcome, daemon.simulation.now
	delete(daemon.openRequests, request.Nonce)
	request.onOutcome(outcome)
}

package lwtgateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtqueueplacement"
	"lacewingtide/core/lwtrequestflow"
	"lacewingtide/core/lwtretry"
	"lacewingtide/core/lwtroutetable"
	"lacewingtide/io/lwthttp"
	"lacewingtide/io/lwtlog"
)

const (
	// freshIdle is how long a connection may have been idle that carries a
	// request which must not run twice. A server that closes an idle connection
	// just then would leave the outcome unknown.
	freshIdle = 300 * time.Millisecond
	// anyIdle lets a request that may be sent again use every open connection.
	anyIdle = time.Minute
	// maxControlBody bounds the answers of engines that are meant for the daemon.
	maxControlBody = 64 << 10
	// refusalBodyTime is how long the body of a refusal may take. It holds up the
	// next attempt and only saves a connection.
	refusalBodyTime = 50 * time.Millisecond
	// basePriority is the rank of the most urgent route's requests at an engine.
	basePriority  = 2
	spillPriority = 9
)

// headFor returns the head of the request to one server.
func (call *call) headFor(server string, finish func(head []byte) []byte) []byte {
	wire := call.gateway.wire
	head := call.exchange.AppendRequestHead(make([]byte, 0, len(call.head)+512))
	head = append(head, call.head...)
	head = wire.AppendDeadline(head, time.Until(call.course.Deadline()))
	head = wire.AppendExpectedServer(head, server)
	if call.place.engine {
		head = wire.AppendPriority(head, call.priority())
	}
	return append(finish(head), "\r\n"...)
}

// priority returns the rank of the request at an engine. A long prompt that a
// decode engine prefills beside its own work comes after everything else.
func (call *call) priority() int {
	if call.place.choice.PrefillOverflow {
		return spillPriority
	}
	return min(basePriority+call.route.Priority, spillPriority-1)
}

// prefill has the chosen engine prefill the prompt.
func (call *call) prefill() any {
	choice, start := call.place.choice, time.Now()
	view := call.gateway.view
	view.onEngines(call.service, func(model *lwtqueueplacement.EnginePool) { model.PrefillStarted(start, call.request, choice) })
	call.gateway.exchange.promptSent()
	handle, outcome, err := call.sendPrefill()
	now := time.Now()
	took := now.Sub(start)
	view.onEngines(call.service, func(model *lwtqueueplacement.EnginePool) {
		if err == nil {
			model.PrefillEnded(call.request, choice, took)
			call.setRun(model.ChooseDecode(now, lwtqueueplacement.PlacementRequest{Request: call.request, Excluded: call.excluded}, choice))
			return
		}
		model.PrefillEnded(call.request, choice, 0)
		if outcome != lwtretry.Rejected && call.context.Err() == nil {
			model.RecordFailure(now, choice.Prefill.ID)
		}
	})
	if err != nil {
		call.excluded[choice.Prefill.ID] = true
		return call.failure(outcome, "prefill", err)
	}
	call.handle = handle
	call.gateway.metrics.Observe("prefill", took)
	lwtlog.Info(call.gateway.logger, "prefill-ended", "request", call.request.ID, "took", took.Round(time.Microsecond),
		"waiting", choice.QueueTime.Round(time.Microsecond), "prefill-time", choice.PrefillTime.Round(time.Microsecond), "server", choice.Prefill.ID,
		"tokens", call.request.PromptTokens, "shared", call.request.SharedPrefixTokens(), "cached", choice.PrefixCached)
	return lwtrequestflow.Prefilled{}
}

func (call *call) setRun(choice lwtqueueplacement.Placement) {
	call.place.choice, call.place.server = choice, choice.Decode
}

func (call *call) sendPrefill() (handle string, outcome lwtretry.Outcome, err error) {
	server := call.place.choice.Prefill
	head := call.headFor(server.ID, call.gateway.wire.AppendPrefill)
	answer, outcome, err := call.exchangeWith(server, anyIdle, head, false)
	if err != nil {
		return "", outcome, err
	}
	defer func() { answer.Release(time.Now()) }()
	body, err := answer.ReadAll(maxControlBody)
	if err != nil {
		return "", lwtretry.Unknown, err
	}
	if answer.Header.StatusCode() != fasthttp.StatusOK {
		return "", lwtretry.Rejected, errStatus(answer.Header.StatusCode())
	}
	handle, err = call.gateway.wire.DecodePrefill(body)
	return handle, lwtretry.Unknown, err
}

// exchangeWith sends the request to a server and reads the head of the answer.
func (call *call) exchangeWith(
	server lwtdiscovery.Server, maxIdle time.Duration, head []byte, sealed bool,
) (*lwthttp.Response, lwtretry.Outcome, error) {
	conn, err := call.gateway.pool.Get(call.context, server.Address, call.request.ID, maxIdle)
	if err != nil {
		return nil, lwtretry.NotSent, err
	}
	judge := func(header *fasthttp.ResponseHeader) lwthttp.ResponseMatch {
		return call.judge(header, sealed, conn.Reused)
	}
	answer, err := conn.RoundTrip(call.context, head, call.exchange.Body, call.course.Deadline(), judge)
	if err == nil {
		call.gateway.noteAnswer(server, call.request.ID, &answer.Header)
	}
	switch {
	case errors.Is(err, lwthttp.ErrNotSent):
		return nil, lwtretry.NotSent, err
	case err != nil:
		return nil, lwtretry.Unknown, err
	}
	return answer, lwtretry.Done, nil
}

// judge says to which request an answer belongs. Refusals of a server may name no
// request; on a connection that has carried another one, they may be answers to that.
func (call *call) judge(header *fasthttp.ResponseHeader, sealed, reused bool) lwthttp.ResponseMatch {
	id := call.gateway.wire.ResponseRequestID(header)
	switch {
	case id == call.request.ID:
		return lwthttp.OwnResponse
	case id != "" || sealed && header.StatusCode() < fasthttp.StatusMultipleChoices:
		return lwthttp.StaleResponse
	case reused:
		return lwthttp.AmbiguousResponse
	}
	return lwthttp.OwnResponse
}

// send sends the request to the server that runs it.
func (call *call) send() any {
	server := call.place.server
	call.started()
	head := call.headFor(server.ID, call.runHeaders)
	maxIdle := freshIdle
	if call.route.RetryPolicy == lwtroutetable.RetryAlways {
		maxIdle = anyIdle
	}
	answer, outcome, err := call.exchangeWith(server, maxIdle, head, true)
	if err != nil {
		call.ended(outcome != lwtretry.Rejected && call.context.Err() == nil)
		if outcome != lwtretry.NotSent {
			call.handle = ""
		}
		call.excluded[server.ID] = true
		return call.failure(outcome, "run", err)
	}
	call.answer = answer
	status := answer.Header.StatusCode()
	message := lwtrequestflow.ResponseStarted{
		Status: status, NotRun: call.gateway.wire.NotRun(&answer.Header), Misdirected: status == fasthttp.StatusMisdirectedRequest,
	}
	if message.NotRun {
		call.discard(message.Misdirected)
		// A server that refuses fast has little in work and would be chosen again
		// and again: it is full, or its stage is being changed by an order that this
		// daemon does not know.
		call.ended(true)
		return message
	}
	call.handle = ""
	if message.Status < fasthttp.StatusMultipleChoices && !call.gateway.wire.Signed(&answer.Header) {
		call.ended(true)
		call.excluded[server.ID] = true
		return lwtrequestflow.Failed{Outcome: lwtretry.Unknown, Reason: "run-unsealed"}
	}
	if message.Status >= fasthttp.StatusInternalServerError && call.route.RetryPolicy == lwtroutetable.RetryAlways {
		// The next attempt goes to another server.
		call.excluded[server.ID] = true
	}
	return message
}

// prefillEnded notes that the engine which runs the request has prefilled its prompt.
func (call *call) prefillEnded() {
	if !call.prefilling {
		return
	}
	call.prefilling = false
	call.gateway.view.onEngines(call.service, func(model *lwtqueueplacement.EnginePool) { model.PrefillEnded(call.request, call.place.choice, 0) })
}

// discard reads the body of a refusal, so that the connection can be kept.
func (call *call) discard(misdirected bool) {
	if !call.place.engine || call.handle == "" || misdirected {
		call.excluded[call.place.server.ID] = true
	}
	call.answer.SetDeadline(time.Now().Add(refusalBodyTime))
	if _, err := call.answer.ReadAll(maxControlBody); err != nil {
		call.gateway.metrics.Count("refusal-broken")
	}
	if !misdirected {
		call.freeHandle()
	}
}

func (call *call) runHeaders(head []byte) []byte {
	if call.handle != "" {
		head = call.gateway.wire.AppendKVCache(head, call.place.choice.Prefill.Address, call.handle)
	}
	if event := call.course.LastEventID(); event != "" {
		head = call.gateway.wire.AppendResumeAfter(head, event)
	}
	return head
}

// started and ended note the request at the server that runs it.
func (call *call) started() {
	id := call.place.server.ID
	call.running = true
	if call.place.engine {
		call.gateway.view.onEngines(call.service, func(model *lwtqueueplacement.EnginePool) {
			model.DecodeStarted(id)
			if call.place.choice.Prefill.ID == "" {
				model.PrefillStarted(time.Now(), call.request, call.place.choice)
				call.prefilling = true
			}
		})
		if call.prefilling {
			call.gateway.exchange.promptSent()
		}
		return
	}
	call.gateway.view.onPool(call.service, func(pool *lwtqueueplacement.ServerPool) { pool.RequestStarted(time.Now(), id) })
}

func (call *call) ended(failed bool) {
	id, now := call.place.server.ID, time.Now()
	call.prefillEnded()
	call.running = false
	if !call.place.engine {
		call.gateway.view.onPool(call.service, func(pool *lwtqueueplacement.ServerPool) { pool.RequestEnded(now, id, failed, rand.Float64()) })
		return
	}
	call.gateway.view.onEngines(call.service, func(model *lwtqueueplacement.EnginePool) {
		model.DecodeEnded(id)
		if failed {
			model.RecordFailure(now, id)
		} else {
			model.RecordSuccess(id)
		}
	})
}

// failure names what ended an attempt.
func (call *call) failure(outcome lwtretry.Outcome, where string, err error) any {
	switch {
	case call.exchange.Context().Err() != nil:
		return lwtrequestflow.CallerGone{}
	case call.context.Err() != nil, lwthttp.IsTimeout(err) && !time.Now().Before(call.course.Deadline()):
		return lwtrequestflow.TimedOut{PartiallyDelivered: call.exchange.ResponseBegun()}
	}
	server := call.place.server.ID
	if where == "prefill" {
		server = call.place.choice.Prefill.ID
	}
	lwtlog.Info(call.gateway.logger, "attempt-failed", "request", call.request.ID, "server", server, "step", where,
		"outcome", outcome.String(), "begun", call.exchange.ResponseBegun(), "err", err)
	return lwtrequestflow.Failed{
		Outcome: outcome, PartiallyDelivered: call.exchange.ResponseBegun(), Reason: where + "-" + outcome.String(),
	}
}

// deleteHandle frees a KV cache.
func (gateway *Gateway) deleteHandle(ctx context.Context, address, handle string) {
	head := []byte("DELETE " + gateway.wire.KVHandlePath(handle) + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n")
	if _, _, err := gateway.control(ctx, address, head, nil); err != nil {
		gateway.metrics.Count("handle-not-freed")
	}
}

// control makes a call of the daemon's own to a server. Its answer names no request,
// so it gets a connection of its own on which no other answer can arrive.
func (gateway *Gateway) control(ctx context.Context, address string, head, body []byte) (status int, content []byte, err error) {
	server, listed := gateway.view.serverAt(address)
	if listed && gateway.view.paused(time.Now(), server) {
		return 0, nil, errPaused
	}
	conn, err := gateway.pool.Dial(ctx, address)
	if err != nil {
		return 0, nil, err
	}
	deadline := time.Now().Add(controlTimeout)
	answer, err := conn.RoundTrip(ctx, head, body, deadline, func(*fasthttp.ResponseHeader) lwthttp.ResponseMatch { return lwthttp.OwnResponse })
	if err != nil {
		return 0, nil, err
	}
	defer answer.CloseConnection()
	if listed {
		gateway.noteAnswer(server, "", &answer.Header)
	}
	content, err = answer.ReadAll(maxControlBody)
	return answer.Header.StatusCode(), content, err
}

// errPaused reports a call that was not made because its server wants none now.
var errPaused = fmt.Errorf("the server wants no request now")

// controlTimeout bounds a call of the daemon's own to a server.
const controlTimeout = time.Second

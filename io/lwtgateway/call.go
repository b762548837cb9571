package lwtgateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtqueueplacement"
	"lacewingtide/core/lwtrequestflow"
	"lacewingtide/core/lwtroutetable"
	"lacewingtide/io/lwthttp"
	"lacewingtide/io/lwtlog"
)

// call is one request of a caller on its way.
type call struct {
	gateway  *Gateway
	exchange *lwthttp.Exchange
	context  context.Context
	cancel   context.CancelFunc
	route    lwtroutetable.Route
	request  lwtroutetable.Request
	service  string
	course   lwtrequestflow.Flow
	// head holds the header lines that every server gets.
	head []byte
	// place is where the current attempt goes.
	place    place
	excluded map[string]bool
	// handle names the KV cache that a prefill engine holds for this request.
	handle string
	answer *lwthttp.Response
	// delivered is the status of the server's answer that the caller got whole.
	delivered int
	// running says that the request is counted at the server that runs it.
	running bool
	// prefilling says that the engine which runs the request still prefills it.
	prefilling bool
}

// handle answers one request of a caller.
func (gateway *Gateway) handle(exchange *lwthttp.Exchange) {
	config, known := gateway.view.configuration()
	if !known || !gateway.view.ready() {
		gateway.refuseEarly(exchange, "no-configuration")
		return
	}
	path, _, _ := strings.Cut(string(exchange.Header.RequestURI()), "?")
	route, found := config.Route(string(exchange.Header.Host()), path)
	request := gateway.wire.DecodeRequest(&exchange.Header)
	if !found {
		gateway.metrics.Count("unknown-route")
		lwtlog.Info(gateway.logger, "request-without-route", "request", request.ID, "host", string(exchange.Header.Host()),
			"path", path, "config", config.Version, "status", fasthttp.StatusNotFound)
		gateway.answerPlain(exchange, fasthttp.StatusNotFound, 0)
		return
	}
	if !gateway.leaveState().takes(exchange.Arrived, lwtrequestflow.Timeout(route, request)) {
		gateway.refuseEarly(exchange, "daemon-leaving")
		return
	}
	call := &call{
		gateway: gateway, exchange: exchange, route: route, request: request,
		service: route.ChooseService(rand.Float64()), excluded: map[string]bool{},
	}
	budget := budget{view: gateway.view, service: call.service}
	budget.request(exchange.Arrived)
	call.course = lwtrequestflow.New(exchange.Arrived, route, request, budget)
	call.context, call.cancel = context.WithDeadline(exchange.Context(), call.course.Deadline())
	defer call.cancel()
	call.head = exchange.ForwardHeaders(func(name string) bool {
		return gateway.wire.IsReservedHeader(name) || gateway.wire.IsResumeHeader(name)
	})
	call.run()
}

// run carries out the steps of the request's course.
func (call *call) run() {
	var step lwtrequestflow.Step
	call.course, step = call.course.Start(call.exchange.Arrived)
	for {
		var message any
		switch step {
		case lwtrequestflow.Place:
			message = call.choose()
		case lwtrequestflow.Prefill:
			message = call.prefill()
		case lwtrequestflow.Run:
			message = call.send()
		case lwtrequestflow.Deliver:
			message = call.deliver()
		default:
			call.finish(step)
			return
		}
		call.course, step = call.course.Update(time.Now(), step, message)
		if call.answer != nil && step != lwtrequestflow.Deliver {
			call.settle(message)
		}
	}
}

// choose asks the view for servers.
func (call *call) choose() any {
	now := time.Now()
	demand := lwtqueueplacement.PlacementRequest{
		Request: call.request, TimeToObjective: call.objectiveLeft(now), TimeToDeadline: call.course.Deadline().Sub(now),
		SingleEngine: call.course.SingleEngine(), Excluded: call.excluded,
	}
	if call.course.HasKVCache() {
		demand.KVCacheHolder = call.place.choice.Prefill
	} else {
		call.freeHandle()
	}
	place, refusal := call.gateway.view.pick(now, call.service, demand)
	if refusal != nil {
		if !call.course.HasKVCache() {
			// The estimates that decided are logged with the refusal.
			call.place.choice = place.choice
		}
		return lwtrequestflow.NotPlaced{Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}
	}
	call.place = place
	return lwtrequestflow.Placed{SeparatePrefill: place.engine && place.choice.Prefill.ID != "" && !call.course.HasKVCache()}
}

// objectiveLeft returns the time left until the answer would be late. What the
// caller has spent on earlier attempts shows in its deadline.
func (call *call) objectiveLeft(now time.Time) time.Duration {
	spent := now.Sub(call.exchange.Arrived) + call.gateway.deadlines.spent(call.route.Name, call.request.Timeout)
	return call.route.Objective - spent
}

// settle ends the exchange with the server whose answer is not delivered, or was.
func (call *call) settle(message any) {
	if _, answered := message.(lwtrequestflow.ResponseStarted); answered && call.running {
		call.ended(true)
	}
	call.answer.Release(time.Now())
	call.answer = nil
}

// freeHandle frees the KV cache of a prefill engine that no run has taken.
func (call *call) freeHandle() {
	if call.handle == "" {
		return
	}
	address, handle := call.place.choice.Prefill.Address, call.handle
	call.handle = ""
	call.gateway.background(func(ctx context.Context) { call.gateway.deleteHandle(ctx, address, handle) })
}

// finish ends the request.
func (call *call) finish(step lwtrequestflow.Step) {
	call.freeHandle()
	status := call.delivered
	switch step {
	case lwtrequestflow.Reject:
		status = fasthttp.StatusServiceUnavailable
		call.gateway.answerPlain(call.exchange, status, call.course.RetryAfter())
	case lwtrequestflow.Fail:
		status = call.course.Status()
		call.gateway.answerPlain(call.exchange, status, 0)
	case lwtrequestflow.Abort:
		call.exchange.SetConnectionClose()
	}
	call.log(step, status)
}

var stepNames = map[lwtrequestflow.Step]string{
	lwtrequestflow.Reject: "refused", lwtrequestflow.Fail: "failed", lwtrequestflow.Abort: "cut", lwtrequestflow.Stop: "ended",
}

func (call *call) log(step lwtrequestflow.Step, status int) {
	now := time.Now()
	took := now.Sub(call.exchange.Arrived)
	call.gateway.metrics.Count(stepNames[step] + "-" + call.course.Reason())
	call.gateway.metrics.Observe("request", took)
	lwtlog.Info(call.gateway.logger, "request-"+stepNames[step], "request", call.request.ID, "route", call.route.Name,
		"reason", call.course.Reason(), "status", status, "took", took.Round(time.Microsecond),
		"server", call.place.server.ID, "prefill", call.place.choice.Prefill.ID,
		"waiting", call.place.choice.QueueTime.Round(time.Millisecond), "prefill-time", call.place.choice.PrefillTime.Round(time.Millisecond),
		"cached", call.place.choice.PrefixCached, "sent", call.course.Attempts(), "tokens", call.request.PromptTokens,
		"retry-after", call.course.RetryAfter().Round(time.Millisecond))
}

// refuseEarly refuses a request before a route is known.
func (gateway *Gateway) refuseEarly(exchange *lwthttp.Exchange, reason string) {
	gateway.metrics.Count("refused-" + reason)
	lwtlog.Info(gateway.logger, "request-refused", "request", gateway.wire.DecodeRequest(&exchange.Header).ID, "reason", reason)
	gateway.answerPlain(exchange, fasthttp.StatusServiceUnavailable, noServerRetry)
}

// answerPlain sends an answer of the daemon's own. Retry says when to come
// back; zero means that nothing is said.
func (gateway *Gateway) answerPlain(exchange *lwthttp.Exchange, status int, retry time.Duration) {
	var head []byte
	if retry > 0 {
		head = fmt.Appendf(head, "Retry-After: %s\r\n", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
	}
	if err := exchange.Respond(status, head, nil); err != nil {
		lwtlog.Debug(gateway.logger, "answer-not-sent", "status", status, "err", err)
	}
}

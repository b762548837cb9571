package lwtgateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtquarantine"
	"lacewingtide/core/lwtqueueplacement"
	"lacewingtide/core/lwtrequestflow"
	"lacewingtide/core/lwtroutetable"
	"lacewingtide/io/lwthttp"
	"lacewingtide/io/lwtlog"
)

// call is the state of a caller's request while the daemon forwards it.
type call struct {
	gateway  *Gateway
	exchange *lwthttp.Exchange
	context  context.Context
	cancel   context.CancelFunc
	route    lwtroutetable.Route
	request  lwtroutetable.Request
	service  string
	flow     lwtrequestflow.Flow
	// forwardedHeaders holds the caller's header lines that are sent to every server.
	forwardedHeaders []byte
	// target holds the servers of the current attempt.
	target          target
	excludedServers map[string]bool
	// usedConns holds the connections that have carried the request.
	usedConns []*lwthttp.Conn
	// kvHandle identifies the KV cache that a prefill engine holds for this request.
	kvHandle string
	response *lwthttp.Response
	// sentAt is when the current attempt began. attemptEvents is the number of events that it has
	// delivered, and firstEventAt is when it delivered the first one.
	sentAt        time.Time
	attemptEvents int
	firstEventAt  time.Time
	// lastEventAt is when the caller has received the last events.
	lastEventAt time.Time
	// version is the software version that has begun the stream, if versionFixed is set: it may go
	// on only there. versionUnknown says that no daemon knows it, though several versions serve.
	version        string
	versionFixed   bool
	versionUnknown bool
	// quarantined is the segment or the fingerprint because of which the request was rejected, or
	// empty.
	quarantined string
	// probing says that the request is sent to find out whether it crashes a server.
	probing bool
	// crashChecked is closed when it is known whether the server of the last attempt has crashed,
	// or nil.
	crashChecked <-chan struct{}
	// deliveredStatus is the status of the response that was delivered completely, or 0.
	deliveredStatus int
	// countedAtServer is true while the request is counted in the pending load of its
	// server.
	countedAtServer bool
	// prefillCounted is true while the prefill is counted in the pending load of the engine
	// that also decodes the request.
	prefillCounted bool
}

// handleRequest routes a caller's request and forwards it until it ends.
func (gateway *Gateway) handleRequest(exchange *lwthttp.Exchange) {
	config, known := gateway.view.configuration()
	if !known || !gateway.view.ready() {
		gateway.rejectEarly(exchange, "no-configuration")
		return
	}
	path, _, _ := strings.Cut(string(exchange.Header.RequestURI()), "?")
	route, found := config.Route(string(exchange.Header.Host()), path)
	request := gateway.protocol.DecodeRequest(&exchange.Header)
	if !found {
		gateway.metrics.Count("unknown-route")
		lwtlog.Info(gateway.logger, "request-without-route", "request", request.ID, "host", string(exchange.Header.Host()),
			"path", path, "config", config.Version, "status", fasthttp.StatusNotFound)
		gateway.respondStatus(exchange, fasthttp.StatusNotFound, 0)
		return
	}
	if !gateway.drainState().accepts(exchange.Arrived, lwtrequestflow.Timeout(route, request)) {
		gateway.rejectEarly(exchange, "daemon-leaving")
		return
	}
	call := &call{
		gateway: gateway, exchange: exchange, route: route, request: request,
		service: route.ChooseService(rand.Float64()), excludedServers: map[string]bool{},
	}
	call.request.Fingerprint = requestContent(exchange, request).Fingerprint()
	call.resume()
	retryBudget := retryBudget{view: gateway.view, service: call.service}
	retryBudget.recordRequest(exchange.Arrived)
	call.flow = lwtrequestflow.New(exchange.Arrived, route, request, retryBudget)
	call.context, call.cancel = context.WithDeadline(exchange.Context(), call.flow.Deadline())
	defer call.cancel()
	call.forwardedHeaders = exchange.ForwardHeaders(func(name string) bool {
		return gateway.protocol.IsReservedHeader(name) || gateway.protocol.IsResumeHeader(name)
	})
	call.run()
}

func requestContent(exchange *lwthttp.Exchange, request lwtroutetable.Request) lwtroutetable.Content {
	header := &exchange.Header
	return lwtroutetable.Content{
		Method: header.Method(), Host: header.Host(), Target: header.RequestURI(),
		Credentials: lwthttp.Field(header, fasthttp.HeaderAuthorization), Model: request.Model, Body: exchange.Body,
	}
}

// run executes the steps of the request's flow.
func (call *call) run() {
	var step lwtrequestflow.Step
	call.flow, step = call.flow.Start(call.exchange.Arrived)
	for {
		var message any
		switch step {
		case lwtrequestflow.Place:
			message = call.chooseServers()
		case lwtrequestflow.Prefill:
			message = call.prefill()
		case lwtrequestflow.Send:
			message = call.sendRequest()
		case lwtrequestflow.Deliver:
			message = call.deliverResponse()
		default:
			call.finish(step)
			return
		}
		call.flow, step = call.flow.Update(time.Now(), step, message)
		if call.response != nil && step != lwtrequestflow.Deliver {
			call.releaseResponse(message)
		}
	}
}

// chooseServers places the request on the servers of the next attempt.
func (call *call) chooseServers() any {
	call.awaitCrashCheck()
	now := time.Now()
	call.attemptEvents = 0
	entry, admitted := call.gateway.view.admitRequest(now, call.service, call.request)
	if !admitted {
		call.quarantined = entry.ID
		return lwtrequestflow.NotPlaced{
			Reason: entry.Kind.String() + "-quarantined", RetryAfter: quarantineRetryAfter(now, entry),
		}
	}
	call.probing = entry != lwtquarantine.Entry{}
	if call.versionUnknown {
		return lwtrequestflow.NotPlaced{Reason: "stream-version-unknown", RetryAfter: unknownStreamRetryAfter}
	}
	request := call.placementRequest()
	request.TimeToObjective, request.TimeToDeadline = call.timeToObjective(now), call.flow.Deadline().Sub(now)
	if call.flow.HasKVCache() {
		request.KVCacheHolder = call.target.placement.Prefill
	} else {
		call.freeKVCache()
	}
	target, rejection := call.place(now, request)
	if rejection != nil {
		if !call.flow.HasKVCache() {
			// The estimates that led to the rejection are logged with it.
			call.target.placement = target.placement
		}
		return lwtrequestflow.NotPlaced{Reason: rejection.Reason, RetryAfter: rejection.RetryAfter}
	}
	call.target = target
	return lwtrequestflow.Placed{
		SeparatePrefill: target.isEngine && target.placement.Prefill.ID != "" && !call.flow.HasKVCache(),
	}
}

// place places the request. A stream that goes on, and for which an engine is changing its stage, waits for it
// as long as its caller waits for the next event: after a rejection, many callers do not come back.
func (call *call) place(now time.Time, request lwtqueueplacement.PlacementRequest) (target, *lwtqueueplacement.Rejection) {
	waitStart, until := now, call.nextEventDue().Add(-firstEventMargin)
	for {
		target, rejection := call.gateway.view.placeRequest(now, call.service, request)
		waiting := now.After(waitStart)
		if !mayWait(now, until, rejection, waiting) || !sleep(call.context, placeInterval) {
			if waiting {
				lwtlog.Info(call.gateway.logger, "stream-waited", "request", call.request.ID, "version", call.version,
					"took", now.Sub(waitStart).Round(time.Millisecond), "placed", rejection == nil)
			}
			return target, rejection
		}
		elapsed := time.Since(now)
		now = now.Add(elapsed)
		request.TimeToObjective, request.TimeToDeadline = request.TimeToObjective-elapsed, request.TimeToDeadline-elapsed
	}
}

// mayWait reports whether a request may wait for another attempt to place it until a time. It begins to wait only
// if an engine is expected to be ready by then.
func mayWait(now, until time.Time, rejection *lwtqueueplacement.Rejection, waiting bool) bool {
	if rejection == nil || rejection.ReadyIn <= 0 {
		return false
	}
	if waiting {
		return now.Add(placeInterval).Before(until)
	}
	return now.Add(rejection.ReadyIn).Before(until)
}

// nextEventDue returns when the caller of a stream gives up if it has not received another event.
func (call *call) nextEventDue() time.Time {
	lastEventAt := call.exchange.Arrived
	if call.lastEventAt.After(lastEventAt) {
		lastEventAt = call.lastEventAt
	}
	return lastEventAt.Add(call.route.EventGapTimeout)
}

const (
	// placeInterval is the time between two attempts to place a stream that waits for an engine.
	placeInterval = 20 * time.Millisecond
	// firstEventMargin is the time from the placement of a stream that goes on to its next event.
	firstEventMargin = 200 * time.Millisecond
)

func (call *call) placementRequest() lwtqueueplacement.PlacementRequest {
	return lwtqueueplacement.PlacementRequest{
		Request: call.request, SingleEngine: call.flow.SingleEngine(), Excluded: call.excludedServers,
		Continues: call.flow.LastEventID() != "", Version: call.version, VersionFixed: call.versionFixed,
	}
}

// timeToObjective returns the time left until the response would miss the route's
// objective. Time that the caller spent on earlier submissions is deducted; it is estimated
// from the timeout that the caller sent.
func (call *call) timeToObjective(now time.Time) time.Duration {
	elapsed := now.Sub(call.exchange.Arrived) + call.gateway.timeouts.elapsedBefore(call.route.Name, call.request.Timeout)
	return call.route.Objective - elapsed
}

// releaseResponse releases the server's response after it was delivered or discarded.
func (call *call) releaseResponse(message any) {
	if _, started := message.(lwtrequestflow.ResponseStarted); started && call.countedAtServer {
		call.recordEnd(true)
	}
	call.response.Release(time.Now())
	call.response = nil
}

// freeKVCache frees, in the background, a KV cache on a prefill engine that no decode
// engine has fetched.
func (call *call) freeKVCache() {
	if call.kvHandle == "" {
		return
	}
	address, handle := call.target.placement.Prefill.Address, call.kvHandle
	call.kvHandle = ""
	call.gateway.runInBackground(func(ctx context.Context) { call.gateway.deleteKVCache(ctx, address, handle) })
}

// finish sends the daemon's own response, if the flow requires one, and logs the outcome.
func (call *call) finish(step lwtrequestflow.Step) {
	call.freeKVCache()
	call.gateway.view.endProbe(time.Now(), call.request.ID)
	status := call.deliveredStatus
	switch step {
	case lwtrequestflow.Reject:
		status = fasthttp.StatusServiceUnavailable
		call.gateway.respondStatus(call.exchange, status, call.flow.RetryAfter())
	case lwtrequestflow.Fail:
		status = call.flow.Status()
		call.gateway.respondStatus(call.exchange, status, 0)
	case lwtrequestflow.Abort:
		call.exchange.SetConnectionClose()
	}
	call.logOutcome(step, status)
}

// stepNames holds the names of the final steps in metrics and log events.
var stepNames = map[lwtrequestflow.Step]string{
	lwtrequestflow.Reject: "refused", lwtrequestflow.Fail: "failed", lwtrequestflow.Abort: "cut",
	lwtrequestflow.Stop: "ended",
}

func (call *call) logOutcome(step lwtrequestflow.Step, status int) {
	now := time.Now()
	duration := now.Sub(call.exchange.Arrived)
	call.gateway.metrics.Count(stepNames[step] + "-" + call.flow.Reason())
	call.gateway.metrics.Observe("request", duration)
	lwtlog.Info(call.gateway.logger, "request-"+stepNames[step], "request", call.request.ID, "route", call.route.Name,
		"reason", call.flow.Reason(), "status", status, "took", duration.Round(time.Microsecond),
		"server", call.target.server.ID, "prefill", call.target.placement.Prefill.ID,
		"waiting", call.target.placement.QueueTime.Round(time.Millisecond),
		"prefill-time", call.target.placement.PrefillTime.Round(time.Millisecond),
		"cached", call.target.placement.PrefixCached, "sent", call.flow.Attempts(), "tokens", call.request.PromptTokens,
		"quarantined", call.quarantined, "retry-after", call.flow.RetryAfter().Round(time.Millisecond))
}

// rejectEarly rejects a request with status 503 before it is placed.
func (gateway *Gateway) rejectEarly(exchange *lwthttp.Exchange, reason string) {
	gateway.metrics.Count("refused-" + reason)
	lwtlog.Info(gateway.logger, "request-refused", "request", gateway.protocol.DecodeRequest(&exchange.Header).ID,
		"reason", reason)
	gateway.respondStatus(exchange, fasthttp.StatusServiceUnavailable, defaultRetryAfter)
}

// respondStatus sends a response of the daemon itself, without a body. A retryAfter above
// zero is sent as the Retry-After header.
func (gateway *Gateway) respondStatus(exchange *lwthttp.Exchange, status int, retryAfter time.Duration) {
	var head []byte
	if retryAfter > 0 {
		head = fmt.Appendf(head, "Retry-After: %s\r\n", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if err := exchange.Respond(status, head, nil); err != nil {
		lwtlog.Debug(gateway.logger, "answer-not-sent", "status", status, "err", err)
	}
}

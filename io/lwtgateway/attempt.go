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
	// maxIdleIfNotRetryable is the maximum idle time of a connection that is reused for a
	// request which must not run twice. If the server closed the idle connection at that
	// moment, the outcome of the request would be unknown.
	maxIdleIfNotRetryable = 300 * time.Millisecond
	// maxIdleIfRetryable is the maximum idle time for a request that may be retried. It is
	// long enough that every open connection can be reused.
	maxIdleIfRetryable = time.Minute
	// maxControlBodyBytes is the maximum body size of responses that the daemon itself
	// consumes: those to prefill and control calls, and rejections.
	maxControlBodyBytes = 64 << 10
	// rejectionBodyTimeout is the timeout for reading the body of a rejection. Reading it
	// delays the next attempt and only saves a connection.
	rejectionBodyTimeout = 50 * time.Millisecond
	// basePriority is the engine priority of requests of the most urgent route. A higher
	// number is less urgent.
	basePriority = 2
	// overflowPriority is the engine priority of long prompts that a decode engine prefills.
	overflowPriority = 9
)

// requestHeadFor returns the request line and headers of the request to one server.
// Finish appends the headers that are specific to the kind of call.
func (call *call) requestHeadFor(serverID string, finish func(head []byte) []byte) []byte {
	protocol := call.gateway.protocol
	head := call.exchange.AppendRequestHead(make([]byte, 0, len(call.forwardedHeaders)+512))
	head = append(head, call.forwardedHeaders...)
	head = protocol.AppendDeadline(head, time.Until(call.flow.Deadline()))
	head = protocol.AppendExpectedServer(head, serverID)
	if call.target.isEngine {
		head = protocol.AppendPriority(head, call.priority())
	}
	return append(finish(head), "\r\n"...)
}

// priority returns the priority of the request at an engine. A long prompt that a decode
// engine prefills in addition to its decode work has the lowest priority.
func (call *call) priority() int {
	if call.target.placement.PrefillOverflow {
		return overflowPriority
	}
	return min(basePriority+call.route.Priority, overflowPriority-1)
}

// prefill sends the prompt to the prefill engine of the placement and chooses the decode
// engine when the prefill is complete.
func (call *call) prefill() any {
	placement, start := call.target.placement, time.Now()
	view := call.gateway.view
	if err := call.admit(start, placement.Prefill); err != nil {
		call.excludedServers[placement.Prefill.ID] = true
		return call.attemptFailure(lwtretry.NotSent, "prefill", err)
	}
	view.withEnginePool(call.service, func(enginePool *lwtqueueplacement.EnginePool) {
		enginePool.PrefillStarted(start, call.request, placement)
	})
	call.gateway.loadExchange.reportSoon()
	handle, outcome, err := call.sendPrefill()
	now := time.Now()
	prefillTime := now.Sub(start)
	view.withEnginePool(call.service, func(enginePool *lwtqueueplacement.EnginePool) {
		if err == nil {
			enginePool.PrefillEnded(call.request, placement, prefillTime)
			call.setDecodeTarget(enginePool.ChooseDecode(now, call.placementRequest(), placement))
			return
		}
		enginePool.PrefillEnded(call.request, placement, 0)
		if outcome != lwtretry.Rejected && call.context.Err() == nil {
			enginePool.RecordFailure(now, placement.Prefill.ID)
		}
	})
	if err != nil {
		call.excludedServers[placement.Prefill.ID] = true
		if outcome == lwtretry.Unknown {
			call.suspectCrash(placement.Prefill, err)
		}
		return call.attemptFailure(outcome, "prefill", err)
	}
	call.kvHandle = handle
	call.gateway.metrics.Observe("prefill", prefillTime)
	lwtlog.Info(call.gateway.logger, "prefill-ended", "request", call.request.ID,
		"took", prefillTime.Round(time.Microsecond), "waiting", placement.QueueTime.Round(time.Microsecond),
		"prefill-time", placement.PrefillTime.Round(time.Microsecond),
		"server", placement.Prefill.ID, "tokens", call.request.PromptTokens, "shared", call.request.SharedPrefixTokens(),
		"cached", placement.PrefixCached)
	return lwtrequestflow.Prefilled{}
}

func (call *call) setDecodeTarget(placement lwtqueueplacement.Placement) {
	call.target.placement, call.target.server = placement, placement.Decode
}

func (call *call) sendPrefill() (handle string, outcome lwtretry.Outcome, err error) {
	server := call.target.placement.Prefill
	head := call.requestHeadFor(server.ID, call.gateway.protocol.AppendPrefill)
	response, outcome, err := call.roundTrip(server, maxIdleIfRetryable, head, false)
	if err != nil {
		return "", outcome, err
	}
	defer func() { response.Release(time.Now()) }()
	body, err := response.ReadAll(maxControlBodyBytes)
	if err != nil {
		return "", lwtretry.Unknown, err
	}
	if response.Header.StatusCode() != fasthttp.StatusOK {
		return "", lwtretry.Rejected, newStatusError(response.Header.StatusCode())
	}
	handle, err = call.gateway.protocol.DecodePrefill(body)
	return handle, lwtretry.Unknown, err
}

// roundTrip sends the request to a server and reads the head of the response. Signed says
// that a successful response must carry the server's signature.
func (call *call) roundTrip(
	server lwtdiscovery.Server, maxIdle time.Duration, head []byte, signed bool,
) (*lwthttp.Response, lwtretry.Outcome, error) {
	conn, err := call.gateway.connPool.Get(call.context, server.Address, call.usedConns, maxIdle)
	if err != nil {
		return nil, lwtretry.NotSent, err
	}
	call.usedConns = append(call.usedConns, conn)
	match := func(header *fasthttp.ResponseHeader) lwthttp.ResponseMatch {
		return call.matchResponse(header, signed, conn.Reused)
	}
	sentAt := time.Now()
	response, err := conn.RoundTrip(call.context, head, call.exchange.Body, call.flow.Deadline(), match)
	if err == nil {
		call.gateway.recordResponse(server, call.request.ID, sentAt, &response.Header)
	}
	switch {
	case errors.Is(err, lwthttp.ErrNotSent):
		return nil, lwtretry.NotSent, err
	case err != nil:
		return nil, lwtretry.Unknown, err
	}
	return response, lwtretry.Done, nil
}

// matchResponse reports which request a response belongs to. A server's rejection may lack
// a request ID; on a connection that carried an earlier request, it may be the response to
// that one.
func (call *call) matchResponse(header *fasthttp.ResponseHeader, signed, reused bool) lwthttp.ResponseMatch {
	id := call.gateway.protocol.ResponseRequestID(header)
	switch {
	case id == call.request.ID:
		return lwthttp.OwnResponse
	case id != "" || signed && header.StatusCode() < fasthttp.StatusMultipleChoices:
		return lwthttp.StaleResponse
	case reused:
		return lwthttp.AmbiguousResponse
	}
	return lwthttp.OwnResponse
}

// sendRequest sends the request to the server that runs it.
func (call *call) sendRequest() any {
	server := call.target.server
	if err := call.admit(time.Now(), server); err != nil {
		call.excludedServers[server.ID] = true
		return call.attemptFailure(lwtretry.NotSent, "run", err)
	}
	call.recordStart()
	call.logResume(server)
	head := call.requestHeadFor(server.ID, call.appendSendHeaders)
	maxIdle := maxIdleIfNotRetryable
	if call.route.RetryPolicy == lwtroutetable.RetryAlways {
		maxIdle = maxIdleIfRetryable
	}
	response, outcome, err := call.roundTrip(server, maxIdle, head, true)
	if err != nil {
		call.recordEnd(outcome != lwtretry.Rejected && call.context.Err() == nil)
		if outcome != lwtretry.NotSent {
			call.kvHandle = ""
			call.suspectCrash(server, err)
		}
		call.excludedServers[server.ID] = true
		return call.attemptFailure(outcome, "run", err)
	}
	call.response = response
	return call.checkResponse(server)
}

// checkResponse returns what the head of the response says about the request. Only a server's own
// statement is evidence that the request has not run, and only its signature that a success is its own.
func (call *call) checkResponse(server lwtdiscovery.Server) any {
	header := &call.response.Header
	status := header.StatusCode()
	message := lwtrequestflow.ResponseStarted{
		Status: status, NotRun: call.gateway.protocol.NotRun(header),
		Misdirected: status == fasthttp.StatusMisdirectedRequest, PromisesNotRun: call.gateway.protocol.PromisesNotRun(status),
	}
	if message.NotRun && status < fasthttp.StatusBadRequest {
		call.recordEnd(true)
		call.kvHandle = ""
		call.excludedServers[server.ID] = true
		return call.attemptFailure(lwtretry.Unknown, "run", errContradictoryResponse)
	}
	if message.NotRun {
		call.discardRejection(message.Misdirected)
		// Record a failure: a server that rejects requests quickly has a low pending load
		// and would be chosen again and again. It is full, or its stage is being changed
		// by an order that this daemon has not received.
		call.recordEnd(true)
		return message
	}
	call.kvHandle = ""
	if message.PromisesNotRun {
		call.excludedServers[server.ID] = true
		lwtlog.Info(call.gateway.logger, "attempt-failed", "request", call.request.ID, "server", server.ID, "step", "run",
			"outcome", lwtretry.Unknown.String(), "status", status, "err", errUnprovenPromise)
		return message
	}
	if message.Status < fasthttp.StatusMultipleChoices && !call.gateway.protocol.Signed(header) {
		call.recordEnd(true)
		call.excludedServers[server.ID] = true
		return lwtrequestflow.Failed{Outcome: lwtretry.Unknown, Reason: "run-unsealed"}
	}
	if message.Status >= fasthttp.StatusInternalServerError && call.route.RetryPolicy == lwtroutetable.RetryAlways {
		// Retry on another server.
		call.excludedServers[server.ID] = true
	}
	return message
}

// errUnprovenPromise reports a status that tells callers that the request has not run, from a server
// that does not say so itself.
var errUnprovenPromise = fmt.Errorf("the server does not state that the request has not run, as its status promises")

// errContradictoryResponse reports a response that states that the request has not run, and whose
// status says that it has.
var errContradictoryResponse = fmt.Errorf("the server responds with success, and states that the request has not run")

// logResume logs that a stream goes on at a server, if the request resumes one.
func (call *call) logResume(server lwtdiscovery.Server) {
	event := call.flow.LastEventID()
	if event == "" {
		return
	}
	lwtlog.Info(call.gateway.logger, "stream-resumed", "request", call.request.ID, "begun-by", call.request.BegunBy,
		"begun", call.exchange.ResponseBegun(), "begun-version", call.version, "last-event", event,
		"server", server.ID, "version", server.Version)
}

// recordPrefillEnd records that the engine which runs the request has completed its
// prefill.
func (call *call) recordPrefillEnd() {
	if !call.prefillCounted {
		return
	}
	call.prefillCounted = false
	call.gateway.view.withEnginePool(call.service, func(enginePool *lwtqueueplacement.EnginePool) {
		enginePool.PrefillEnded(call.request, call.target.placement, 0)
	})
}

// discardRejection reads the body of a rejection, so that the connection can be reused.
func (call *call) discardRejection(misdirected bool) {
	if !call.target.isEngine || call.kvHandle == "" || misdirected {
		call.excludedServers[call.target.server.ID] = true
	}
	call.response.SetDeadline(time.Now().Add(rejectionBodyTimeout))
	if _, err := call.response.ReadAll(maxControlBodyBytes); err != nil {
		call.gateway.metrics.Count("refusal-broken")
	}
	if !misdirected {
		call.freeKVCache()
	}
}

func (call *call) appendSendHeaders(head []byte) []byte {
	if call.kvHandle != "" {
		head = call.gateway.protocol.AppendKVCache(head, call.target.placement.Prefill.Address, call.kvHandle)
	}
	if event := call.flow.LastEventID(); event != "" {
		head = call.gateway.protocol.AppendResumeAfter(head, event)
	}
	return head
}

// recordStart and recordEnd count the request in the pending load of the server that runs
// it.
func (call *call) recordStart() {
	id := call.target.server.ID
	call.countedAtServer, call.sentAt = true, time.Now()
	if call.target.isEngine {
		call.gateway.view.withEnginePool(call.service, func(enginePool *lwtqueueplacement.EnginePool) {
			enginePool.DecodeStarted(id)
			if call.target.placement.Prefill.ID == "" {
				enginePool.PrefillStarted(time.Now(), call.request, call.target.placement)
				call.prefillCounted = true
			}
		})
		if call.prefillCounted {
			call.gateway.loadExchange.reportSoon()
		}
		return
	}
	call.gateway.view.withServerPool(call.service, func(serverPool *lwtqueueplacement.ServerPool) {
		serverPool.RequestStarted(time.Now(), id)
	})
}

func (call *call) recordEnd(failed bool) {
	id, now := call.target.server.ID, time.Now()
	call.recordPrefillEnd()
	call.countedAtServer = false
	if !call.target.isEngine {
		call.gateway.view.withServerPool(call.service, func(serverPool *lwtqueueplacement.ServerPool) {
			serverPool.RequestEnded(now, id, failed, rand.Float64())
		})
		return
	}
	call.gateway.view.withEnginePool(call.service, func(enginePool *lwtqueueplacement.EnginePool) {
		enginePool.DecodeEnded(id)
		if failed {
			enginePool.RecordFailure(now, id)
		} else {
			enginePool.RecordSuccess(id)
		}
	})
}

// attemptFailure returns the flow message for an attempt that failed in a step. It logs the
// attempt unless the caller has disconnected or the deadline has passed.
func (call *call) attemptFailure(outcome lwtretry.Outcome, step string, err error) any {
	switch {
	case call.exchange.Context().Err() != nil:
		return lwtrequestflow.CallerDisconnected{}
	case call.context.Err() != nil, lwthttp.IsTimeout(err) && !time.Now().Before(call.flow.Deadline()):
		return lwtrequestflow.TimedOut{PartiallyDelivered: call.exchange.ResponseBegun()}
	}
	serverID := call.target.server.ID
	if step == "prefill" {
		serverID = call.target.placement.Prefill.ID
	}
	lwtlog.Info(call.gateway.logger, "attempt-failed", "request", call.request.ID, "server", serverID, "step", step,
		"outcome", outcome.String(), "begun", call.exchange.ResponseBegun(), "events", call.attemptEvents,
		"segments", sharedSegmentIDs(call.request), "fingerprint", call.request.Fingerprint, "err", err)
	return lwtrequestflow.Failed{
		Outcome: outcome, PartiallyDelivered: call.exchange.ResponseBegun(), Reason: step + "-" + outcome.String(),
		// A probe that is retried could crash a second server.
		NotRetryable: call.probing && outcome == lwtretry.Unknown,
	}
}

// maxLoggedNames bounds the segments or fingerprints in a log line.
const maxLoggedNames = 16

// sharedSegmentIDs returns the comma-separated IDs of the prompt segments that a request shares
// with others, for logs.
func sharedSegmentIDs(request lwtroutetable.Request) string {
	shared := request.SharedSegments()
	ids := make([]string, 0, len(shared))
	for _, segment := range shared {
		ids = append(ids, segment.ID)
	}
	return firstNames(ids)
}

// deleteKVCache asks an engine to free a KV cache.
func (gateway *Gateway) deleteKVCache(ctx context.Context, address, handle string) {
	head := []byte("DELETE " + gateway.protocol.KVHandlePath(handle) + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n")
	if _, _, err := gateway.callServer(ctx, address, head, nil); err != nil {
		gateway.metrics.Count("handle-not-freed")
	}
}

// callServer sends a control request of the daemon to a server. The response carries no
// request ID, so the call uses a new connection, on which no stale response can arrive.
func (gateway *Gateway) callServer(
	ctx context.Context, address string, head, body []byte,
) (status int, content []byte, err error) {
	server, listed := gateway.view.serverAt(address)
	if listed && gateway.view.inBackoff(time.Now(), server) {
		return 0, nil, fmt.Errorf("%w: server %s at %s", errServerBackoff, server.ID, address)
	}
	conn, err := gateway.connPool.Dial(ctx, address)
	if err != nil {
		return 0, nil, err
	}
	sentAt := time.Now()
	if listed {
		gateway.view.chargeSend(sentAt, server)
	}
	response, err := conn.RoundTrip(ctx, head, body, sentAt.Add(controlTimeout), lwthttp.MatchAny)
	if err != nil {
		return 0, nil, err
	}
	defer response.CloseConnection()
	if listed {
		gateway.recordResponse(server, "", sentAt, &response.Header)
	}
	content, err = response.ReadAll(maxControlBodyBytes)
	return response.Header.StatusCode(), content, err
}

// errServerLeaving reports that a request was not sent because the server drains or is gone.
var errServerLeaving = fmt.Errorf("request not sent to a server that drains or is gone")

// errServerBackoff reports that a call was not sent because the server has requested a
// backoff.
var errServerBackoff = fmt.Errorf("request not sent during the backoff that the server requested")

// controlTimeout is the timeout of a control request to a server.
const controlTimeout = time.Second

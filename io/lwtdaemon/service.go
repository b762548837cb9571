package lwtdaemon

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtclaim"
	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtretry"
	"lacewingtide/io/lwtentry"
	"lacewingtide/io/lwtlog"
)

const (
	maxKeyBytes = 255
	// headerReplayed marks the stored answer to an earlier request.
	headerReplayed     = "Lacewingtide-Replayed"
	claimRetryAfter    = 5 * time.Second
	progressRetryAfter = time.Second
)

var errNoBackend = errors.New("the service has no backend server that takes work")

// forwarder passes calls on to plain services.
type forwarder struct {
	logger   log.Logger
	claims   *claims
	pool     *servicePool
	backends *backends
}

func newForwarder(claims *claims, zone string, leaving func(address string) bool, logger log.Logger) *forwarder {
	return &forwarder{logger: logger, claims: claims, pool: newServicePool(), backends: newBackends(zone, leaving)}
}

// Forward implements lwtentry.Forwarder.
func (forwarder *forwarder) Forward(
	ctx *fasthttp.RequestCtx, requestID string, caller lwtdeclaredstate.Caller, service lwtdeclaredstate.Service, path string,
) {
	call := newServiceCall(ctx, requestID, caller, service, path)
	began := time.Now()
	var outcome lwtretry.Outcome
	var err error
	if call.idempotent || call.key == "" {
		outcome, err = forwarder.call(ctx, call)
	} else {
		outcome, err = forwarder.callOnce(ctx, call)
	}
	lwtlog.Info(forwarder.logger, "service-call-ended", "request", requestID, "caller", caller.Name,
		"service", service.Name, "outcome", outcome, "whole", time.Since(began), "err", err)
}

// call runs a call that needs no claim.
func (forwarder *forwarder) call(ctx *fasthttp.RequestCtx, call *serviceCall) (lwtretry.Outcome, error) {
	result := forwarder.perform(ctx, call)
	forwarder.write(ctx, result)
	return result.outcome, result.err
}

// perform runs a call. A caller that disconnects ends work that may be
// repeated; other work runs on, so that its outcome becomes known.
func (forwarder *forwarder) perform(ctx *fasthttp.RequestCtx, call *serviceCall) attempt {
	aborter := newAborter()
	if call.idempotent {
		stop := lwtentry.WatchDisconnect(ctx.Conn(), aborter.abort)
		defer stop()
	}
	return forwarder.run(call, aborter)
}

// callOnce runs a call under the claim of its key.
func (forwarder *forwarder) callOnce(ctx *fasthttp.RequestCtx, call *serviceCall) (lwtretry.Outcome, error) {
	if !validKey(call.key) {
		failKey(ctx)
		return lwtretry.NotSent, nil
	}
	row := lwtclaim.RowKey(call.caller.Name, call.key)
	answer := forwarder.claims.Open(context.Background(), time.Now(), row, call.id, call.hash())
	switch answer.Decision {
	case lwtclaim.Granted:
	case lwtclaim.Replay:
		return forwarder.replay(ctx, answer.Response)
	default:
		failClaim(ctx, answer.Decision)
		if answer.Decision == lwtclaim.InProgress {
			return lwtretry.Unknown, nil
		}
		return lwtretry.NotSent, nil
	}
	result := forwarder.perform(ctx, call)
	switch {
	case !result.outcome.MayHaveRun():
		forwarder.claims.Release(row, call.id)
	case result.outcome == lwtretry.Unknown:
		forwarder.claims.Send(lwtclaim.LeaveOpen{Key: row, Nonce: call.id})
	default:
		forwarder.claims.Finish(row, call.id, outcomeOf(result.response))
	}
	forwarder.write(ctx, result)
	return result.outcome, result.err
}

func outcomeOf(response *fasthttp.Response) lwtclaim.Response {
	return lwtclaim.Response{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Body:        append([]byte(nil), response.Body()...),
	}
}

// replay answers with the stored outcome of an earlier request.
func (forwarder *forwarder) replay(
	ctx *fasthttp.RequestCtx, outcome lwtclaim.Response,
) (lwtretry.Outcome, error) {
	body, err := forwarder.claims.Body(outcome)
	if err != nil {
		failClaim(ctx, lwtclaim.InProgress)
		return lwtretry.Unknown, err
	}
	ctx.SetStatusCode(outcome.Status)
	ctx.SetContentType(outcome.ContentType)
	ctx.Response.Header.Set(headerReplayed, "true")
	if outcome.Status >= fasthttp.StatusInternalServerError {
		ctx.Response.Header.Set(lwtentry.HeaderOutcome, lwtentry.OutcomeUnknown)
	}
	ctx.SetBody(body)
	return lwtretry.Done, nil
}

// write answers with the result of a call.
func (forwarder *forwarder) write(ctx *fasthttp.RequestCtx, result attempt) {
	if result.outcome == lwtretry.Done {
		writeResponse(ctx, result.response)
		return
	}
	answer := lwtentry.APIError{
		Status: fasthttp.StatusBadGateway, Type: "server_error", Code: "service_failed",
		Message: "the backend server refused the call", Outcome: result.outcome.String(), RetryAfter: progressRetryAfter,
	}
	if result.err != nil {
		answer.Message = result.err.Error()
	}
	if result.outcome != lwtretry.Unknown {
		answer.Status = fasthttp.StatusServiceUnavailable
	}
	answer.Write(ctx)
}

func validKey(key string) bool {
	for _, char := range []byte(key) {
		if char <= ' ' || char > '~' {
			return false
		}
	}
	return len(key) <= maxKeyBytes
}

func failKey(ctx *fasthttp.RequestCtx) {
	lwtentry.APIError{
		Status: fasthttp.StatusBadRequest, Type: "invalid_request_error", Code: "invalid_key",
		Message: "Idempotency-Key must have 1 to 255 visible ASCII characters", Param: "Idempotency-Key",
		Outcome: lwtentry.OutcomeNotRun,
	}.Write(ctx)
}

func failClaim(ctx *fasthttp.RequestCtx, verdict lwtclaim.Decision) {
	answer := lwtentry.APIError{
		Status: fasthttp.StatusServiceUnavailable, Type: "server_error", Code: "claim_unavailable",
		Message: "the store that keeps requests from running twice gives no answer; this request did not run",
		Outcome: lwtentry.OutcomeNotRun, RetryAfter: claimRetryAfter,
	}
	switch verdict {
	case lwtclaim.InProgress:
		answer.Status, answer.Code, answer.Outcome = fasthttp.StatusConflict, "in_progress", lwtentry.OutcomeUnknown
		answer.Message = "a request with this Idempotency-Key may be running or may have run"
		answer.RetryAfter = progressRetryAfter
	case lwtclaim.Mismatch:
		answer.Status, answer.Code = fasthttp.StatusUnprocessableEntity, "key_reused"
		answer.Type, answer.Param = "invalid_request_error", "Idempotency-Key"
		answer.Message = "this Idempotency-Key belongs to a different request; this request did not run"
		answer.RetryAfter = 0
	}
	answer.Write(ctx)
}

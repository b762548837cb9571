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
	"lacewingtide/io/lwthttp"
	"lacewingtide/io/lwtlog"
)

const (
	maxIdempotencyKeyBytes = 255
	// headerReplayed marks the stored response to an earlier request.
	headerReplayed             = "Lacewingtide-Replayed"
	claimUnavailableRetryAfter = 5 * time.Second
	inProgressRetryAfter       = time.Second
)

var errNoBackend = errors.New("the service has no backend server that takes work")

// forwarder forwards calls to services other than engines.
type forwarder struct {
	logger   log.Logger
	claims   *claims
	pool     *lwthttp.Pool
	backends *backends
}

func newForwarder(claims *claims, zone string, isLeaving func(address string) bool, logger log.Logger) *forwarder {
	return &forwarder{logger: logger, claims: claims, pool: newServicePool(), backends: newBackends(zone, isLeaving)}
}

// Forward implements lwtentry.Forwarder.
func (forwarder *forwarder) Forward(
	ctx *fasthttp.RequestCtx, requestID string, caller lwtdeclaredstate.Caller, service lwtdeclaredstate.Service,
	path string,
) {
	call := newServiceCall(ctx, requestID, caller, service, path)
	start := time.Now()
	var outcome lwtretry.Outcome
	var err error
	if call.idempotent || call.idempotencyKey == "" {
		outcome, err = forwarder.forwardUnclaimed(ctx, call)
	} else {
		outcome, err = forwarder.forwardClaimed(ctx, call)
	}
	lwtlog.Info(forwarder.logger, "service-call-ended", "request", requestID, "caller", caller.Name,
		"service", service.Name, "outcome", outcome, "whole", time.Since(start), "err", err)
}

// forwardUnclaimed executes a call that is idempotent or has no Idempotency-Key
// and therefore needs no claim.
func (forwarder *forwarder) forwardUnclaimed(ctx *fasthttp.RequestCtx, call *serviceCall) (lwtretry.Outcome, error) {
	result := forwarder.execute(ctx, call)
	forwarder.writeResult(ctx, result)
	return result.outcome, result.err
}

// execute runs the attempts of a call. An idempotent call is aborted when the
// caller disconnects. Any other call continues, so that its outcome becomes
// known.
func (forwarder *forwarder) execute(ctx *fasthttp.RequestCtx, call *serviceCall) attempt {
	aborter := newAborter()
	if call.idempotent {
		stop := lwtentry.WatchDisconnect(ctx.Conn(), aborter.abort)
		defer stop()
	}
	return forwarder.runAttempts(call, aborter)
}

// forwardClaimed executes a call under the claim of its Idempotency-Key, or
// replays the stored response if an earlier request has completed.
func (forwarder *forwarder) forwardClaimed(ctx *fasthttp.RequestCtx, call *serviceCall) (lwtretry.Outcome, error) {
	if !isValidKey(call.idempotencyKey) {
		writeInvalidKey(ctx)
		return lwtretry.NotSent, nil
	}
	row := lwtclaim.RowKey(call.caller.Name, call.idempotencyKey)
	openResult := forwarder.claims.Open(context.Background(), time.Now(), row, call.requestID, call.hash())
	switch openResult.Decision {
	case lwtclaim.Granted:
	case lwtclaim.Replay:
		return forwarder.replay(ctx, openResult.Response)
	default:
		writeClaimError(ctx, openResult.Decision)
		if openResult.Decision == lwtclaim.InProgress {
			return lwtretry.Unknown, nil
		}
		return lwtretry.NotSent, nil
	}
	result := forwarder.execute(ctx, call)
	switch {
	case !result.outcome.MayHaveRun():
		forwarder.claims.Release(row, call.requestID)
	case result.outcome == lwtretry.Unknown:
		forwarder.claims.Send(lwtclaim.LeaveOpen{Key: row, Nonce: call.requestID})
	default:
		forwarder.claims.Finish(row, call.requestID, newClaimResponse(result.response))
	}
	forwarder.writeResult(ctx, result)
	return result.outcome, result.err
}

func newClaimResponse(response *fasthttp.Response) lwtclaim.Response {
	return lwtclaim.Response{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Body:        append([]byte(nil), response.Body()...),
	}
}

// replay responds with the stored response to an earlier request.
func (forwarder *forwarder) replay(
	ctx *fasthttp.RequestCtx, response lwtclaim.Response,
) (lwtretry.Outcome, error) {
	body, err := forwarder.claims.Body(response)
	if err != nil {
		writeClaimError(ctx, lwtclaim.InProgress)
		return lwtretry.Unknown, err
	}
	ctx.SetStatusCode(response.Status)
	ctx.SetContentType(response.ContentType)
	ctx.Response.Header.Set(headerReplayed, "true")
	if response.Status >= fasthttp.StatusInternalServerError {
		ctx.Response.Header.Set(lwtentry.HeaderOutcome, lwtentry.OutcomeUnknown)
	}
	ctx.SetBody(body)
	return lwtretry.Done, nil
}

// writeResult writes the backend server's response, or an error if there is none.
func (forwarder *forwarder) writeResult(ctx *fasthttp.RequestCtx, result attempt) {
	if result.outcome == lwtretry.Done {
		writeResponse(ctx, result.response)
		return
	}
	apiError := lwtentry.APIError{
		Status: fasthttp.StatusBadGateway, Type: "server_error", Code: "service_failed",
		Message: "the backend server refused the call", Outcome: result.outcome.String(), RetryAfter: inProgressRetryAfter,
	}
	if result.err != nil {
		apiError.Message = result.err.Error()
	}
	if result.outcome != lwtretry.Unknown {
		apiError.Status = fasthttp.StatusServiceUnavailable
	}
	apiError.Write(ctx)
}

func isValidKey(key string) bool {
	for _, char := range []byte(key) {
		if char <= ' ' || char > '~' {
			return false
		}
	}
	return len(key) <= maxIdempotencyKeyBytes
}

func writeInvalidKey(ctx *fasthttp.RequestCtx) {
	lwtentry.APIError{
		Status: fasthttp.StatusBadRequest, Type: "invalid_request_error", Code: "invalid_key",
		Message: "Idempotency-Key must have 1 to 255 visible ASCII characters", Param: "Idempotency-Key",
		Outcome: lwtentry.OutcomeNotRun,
	}.Write(ctx)
}

func writeClaimError(ctx *fasthttp.RequestCtx, decision lwtclaim.Decision) {
	apiError := lwtentry.APIError{
		Status: fasthttp.StatusServiceUnavailable, Type: "server_error", Code: "claim_unavailable",
		Message: "the store that keeps requests from running twice gives no answer; this request did not run",
		Outcome: lwtentry.OutcomeNotRun, RetryAfter: claimUnavailableRetryAfter,
	}
	switch decision {
	case lwtclaim.InProgress:
		apiError.Status, apiError.Code, apiError.Outcome = fasthttp.StatusConflict, "in_progress", lwtentry.OutcomeUnknown
		apiError.Message = "a request with this Idempotency-Key may be running or may have run"
		apiError.RetryAfter = inProgressRetryAfter
	case lwtclaim.Mismatch:
		apiError.Status, apiError.Code = fasthttp.StatusUnprocessableEntity, "key_reused"
		apiError.Type, apiError.Param = "invalid_request_error", "Idempotency-Key"
		apiError.Message = "this Idempotency-Key belongs to a different request; this request did not run"
		apiError.RetryAfter = 0
	}
	apiError.Write(ctx)
}

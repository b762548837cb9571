package lwtentry

import (
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtretry"
	"lacewingtide/core/lwtscorerouter"
	"lacewingtide/core/lwtstream"
	"lacewingtide/io/lwtengine"
)

const (
	defaultOutputTokens = 256
	bytesPerToken       = 4
	// placementRetryWindow is the time after which a request that engines reject or fail
	// is not sent to another engine.
	placementRetryWindow = 10 * time.Second
)

// completion is the state of one chat completion request.
type completion struct {
	id      string
	caller  lwtdeclaredstate.Caller
	request lwtscorerouter.Request
	choice  lwtscorerouter.Choice
	// placed is set while the router counts the request as in flight on the chosen engine.
	placed       bool
	address      atomic.Pointer[string]
	body         []byte
	streamed     bool
	startedAt    time.Time
	firstTokenAt time.Time
	releaseLimit func()
}

// isIdempotent reports whether the request may run more than once. All classes but
// orders may.
func (completion *completion) isIdempotent() bool {
	return completion.request.Class != lwtdeclaredstate.ClassOrder
}

func (completion *completion) setAddress(address string) { completion.address.Store(&address) }

// engineAddress returns the address of the engine that the request was sent to, or ""
// before it is placed.
func (completion *completion) engineAddress() string {
	if address := completion.address.Load(); address != nil {
		return *address
	}
	return ""
}

type completionBody struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	Stream              bool              `json:"stream"`
	Seed                *int64            `json:"seed"`
	MaxTokens           *int              `json:"max_tokens"`
	MaxCompletionTokens *int              `json:"max_completion_tokens"`
}

func (server *Server) handleCompletion(
	ctx *fasthttp.RequestCtx, state lwtdeclaredstate.State, caller lwtdeclaredstate.Caller,
) {
	if id := ctx.Request.Header.Peek("Last-Event-ID"); len(id) > 0 {
		server.handleResume(ctx, state, caller, string(id))
		return
	}
	completion, failure := server.newCompletion(ctx, state, caller, server.requestIDs.next())
	if failure != nil {
		writeError(ctx, *failure)
		return
	}
	releaseLimit, err := server.dependencies.Limiter.Acquire(completion.startedAt, caller)
	if err != nil {
		server.recordResult(completion, OutcomeNotRun, err)
		writeError(ctx, rejectionError(err))
		return
	}
	completion.releaseLimit = releaseLimit
	server.retryBudget.recordRequest()
	events, failure := server.place(state, completion)
	if failure != nil {
		releaseLimit()
		server.recordResult(completion, failure.Outcome, errors.New(failure.Message))
		writeError(ctx, *failure)
		return
	}
	relay := server.newRelay(completion, events, lwtstream.NewSequence(completion.id, 0))
	if completion.streamed {
		relay.stream(ctx)
	} else {
		relay.collect(ctx)
	}
}

func (server *Server) newCompletion(
	ctx *fasthttp.RequestCtx, state lwtdeclaredstate.State, caller lwtdeclaredstate.Caller, id string,
) (*completion, *APIError) {
	if !ctx.IsPost() {
		return nil, &errUnknownPath
	}
	body, failure := parseCompletion(ctx.PostBody())
	if failure != nil {
		return nil, failure
	}
	if _, found := state.Models[body.Model]; !found || !contains(caller.Models, body.Model) {
		apiError := unknownModel(body.Model)
		return nil, &apiError
	}
	class, failure := requestClass(ctx)
	if failure != nil {
		return nil, failure
	}
	deadline, failure := requestDeadline(ctx)
	if failure != nil {
		return nil, failure
	}
	if class == lwtdeclaredstate.ClassOrder && len(ctx.Request.Header.Peek("Idempotency-Key")) > 0 {
		apiError := invalidField("Idempotency-Key",
			"completions are not claimed by key; send the order to a service, or without a key")
		return nil, &apiError
	}
	return &completion{
		id:     id,
		caller: caller,
		request: lwtscorerouter.Request{
			Model:            body.Model,
			Class:            class,
			Deadline:         deadline,
			PromptTokens:     body.promptTokens(),
			OutputTokens:     body.outputTokens(),
			PrefixHashes:     lwtscorerouter.PrefixHashes(body.Model, body.Messages),
			AvailabilityZone: server.dependencies.AvailabilityZone,
		},
		// withSeed copies the body: fasthttp reuses the buffer of ctx, possibly before a retry.
		body:      withSeed(ctx.PostBody(), body, id),
		streamed:  body.Stream,
		startedAt: time.Now(),
	}, nil
}

func parseCompletion(raw []byte) (completionBody, *APIError) {
	var body completionBody
	if err := json.Unmarshal(raw, &body); err != nil {
		var typeError *json.UnmarshalTypeError
		field := "body"
		if errors.As(err, &typeError) && typeError.Field != "" {
			field = typeError.Field
		}
		apiError := invalidField(field, "the body is not valid: "+err.Error())
		return body, &apiError
	}
	if body.Model == "" {
		apiError := invalidField("model", "model is missing")
		return body, &apiError
	}
	if len(body.Messages) == 0 {
		apiError := invalidField("messages", "messages is empty")
		return body, &apiError
	}
	if body.MaxTokens != nil && *body.MaxTokens < 1 {
		apiError := invalidField("max_tokens", "max_tokens must be at least 1")
		return body, &apiError
	}
	if body.MaxCompletionTokens != nil && *body.MaxCompletionTokens < 1 {
		apiError := invalidField("max_completion_tokens", "max_completion_tokens must be at least 1")
		return body, &apiError
	}
	return body, nil
}

func (completionBody completionBody) promptTokens() int {
	size := 0
	for _, message := range completionBody.Messages {
		size += len(message)
	}
	return max(1, size/bytesPerToken)
}

func (completionBody completionBody) outputTokens() int {
	switch {
	case completionBody.MaxCompletionTokens != nil:
		return *completionBody.MaxCompletionTokens
	case completionBody.MaxTokens != nil:
		return *completionBody.MaxTokens
	}
	return defaultOutputTokens
}

// requestDeadline returns the maximum end-to-end latency that the caller asked for, or 0
// if it set none.
func requestDeadline(ctx *fasthttp.RequestCtx) (time.Duration, *APIError) {
	text := string(ctx.Request.Header.Peek("Lacewingtide-Deadline"))
	if text == "" {
		return 0, nil
	}
	deadline, err := time.ParseDuration(text)
	if err != nil || deadline <= 0 {
		apiError := invalidField("Lacewingtide-Deadline", "must be a time above 0, such as 800ms")
		return 0, &apiError
	}
	return deadline, nil
}

func requestClass(ctx *fasthttp.RequestCtx) (lwtdeclaredstate.Class, *APIError) {
	class := lwtdeclaredstate.Class(ctx.Request.Header.Peek("Lacewingtide-Class"))
	switch class {
	case "":
		return lwtdeclaredstate.ClassChat, nil
	case lwtdeclaredstate.ClassChat, lwtdeclaredstate.ClassMatch, lwtdeclaredstate.ClassPlan, lwtdeclaredstate.ClassOrder,
		lwtdeclaredstate.ClassLookup:
		return class, nil
	}
	apiError := invalidField("Lacewingtide-Class", "no such class")
	return "", &apiError
}

// place sends the request to an engine and returns its event stream. After a failure, it
// tries another engine if the request is known not to have run or is idempotent.
func (server *Server) place(state lwtdeclaredstate.State, completion *completion) (*lwtengine.Stream, *APIError) {
	outcome, deadline := lwtretry.NotSent, time.Now().Add(placementRetryWindow)
	var previous []lwtscorerouter.Choice
	for attempt := 1; ; attempt++ {
		choice, err := server.dependencies.Router.Pick(time.Now(), completion.request)
		if err != nil {
			apiError := rejectionError(err)
			apiError.Outcome = outcome.String()
			return nil, &apiError
		}
		completion.choice = choice
		completion.setAddress(state.Engines[choice.Engine].Address)
		events, err := server.dependencies.Engines.Complete(completion.engineAddress(), lwtengine.CompletionRequest{
			StreamID: completion.id, Priority: completion.request.Class.Priority(), Body: completion.body,
			FreshConnection: !completion.isIdempotent(),
		})
		if err == nil {
			completion.placed = true
			server.recordLoad(choice, events)
			server.cancelPrevious(state, completion, previous)
			return events, nil
		}
		previous = append(previous, choice)
		// Reporting the failure makes the router prefer other engines.
		server.dependencies.Router.RecordDone(time.Now(), completion.request, choice, true)
		server.log(completion.id, "engine-attempt-failed", "engine", choice.Engine, "err", err)
		failedAttempt := lwtretry.Attempt{
			Outcome: attemptOutcome(err), Idempotent: completion.isIdempotent(), Number: attempt, Deadline: deadline,
		}
		outcome = outcome.Combine(failedAttempt.Outcome)
		if !server.retryBudget.shouldRetry(time.Now(), failedAttempt) {
			apiError := engineError(outcome.String(), err)
			return nil, &apiError
		}
	}
}

// cancelPrevious cancels a request on the engines where earlier attempts failed but may
// still be running.
func (server *Server) cancelPrevious(
	state lwtdeclaredstate.State, completion *completion, previous []lwtscorerouter.Choice,
) {
	for _, choice := range previous {
		address := state.Engines[choice.Engine].Address
		if address == "" || address == completion.engineAddress() {
			continue
		}
		go func() {
			// The engine may be unreachable or may never have received the request.
			_ = server.dependencies.Engines.Cancel(address, completion.id)
		}()
	}
}

// recordDone reports to the router that the request is no longer in flight on its engine.
func (server *Server) recordDone(completion *completion, failed bool) {
	if completion.placed {
		server.dependencies.Router.RecordDone(time.Now(), completion.request, completion.choice, failed)
	}
	completion.placed = false
}

func attemptOutcome(err error) lwtretry.Outcome {
	switch {
	case errors.Is(err, lwtengine.ErrNotSent):
		return lwtretry.NotSent
	case errors.Is(err, lwtengine.ErrRejected):
		return lwtretry.Rejected
	}
	return lwtretry.Unknown
}

// recordLoad passes the load report in an engine's response headers to the router.
func (server *Server) recordLoad(choice lwtscorerouter.Choice, events *lwtengine.Stream) {
	if load, found := events.Load(); found {
		server.dependencies.Router.RecordLoad(time.Now(), choice.Engine, load)
	}
}

// recordResult passes the outcome and latencies of a request to the observer and logs them.
func (server *Server) recordResult(completion *completion, outcome string, err error) {
	now := time.Now()
	result := RequestResult{
		Caller: completion.caller.Name, Class: completion.request.Class, Engine: completion.choice.Engine,
		EndToEndLatency: now.Sub(completion.startedAt), Outcome: outcome,
	}
	if !completion.firstTokenAt.IsZero() {
		result.TimeToFirstToken = completion.firstTokenAt.Sub(completion.startedAt)
	}
	server.dependencies.Observer.Observe(now, result)
	server.log(completion.id, "request-ended", "caller", result.Caller, "class", result.Class,
		"model", completion.request.Model, "engine", result.Engine, "outcome", outcome,
		"first-token", result.TimeToFirstToken, "whole", result.EndToEndLatency, "err", err)
}

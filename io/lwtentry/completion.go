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
	charactersPerToken  = 4
	// attemptPatience is the time in which a request that no engine takes is
	// still tried elsewhere.
	attemptPatience = 10 * time.Second
)

// completion is one chat completion on its way through the daemon.
type completion struct {
	id      string
	caller  lwtdeclaredstate.Caller
	request lwtscorerouter.Request
	choice  lwtscorerouter.Choice
	// placed says that the router counts the request on the chosen engine.
	placed  bool
	address atomic.Pointer[string]
	body    []byte
	stream  bool
	began   time.Time
	first   time.Time
	release func()
}

// repeatable reports whether the request may run more than once.
func (call *completion) repeatable() bool { return call.request.Class != lwtdeclaredstate.ClassOrder }

func (call *completion) setAddress(address string) { call.address.Store(&address) }

// engineAddress returns the address of the engine that has the request.
func (call *completion) engineAddress() string {
	if address := call.address.Load(); address != nil {
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

func (server *Server) handleCompletion(ctx *fasthttp.RequestCtx, state lwtdeclaredstate.State, caller lwtdeclaredstate.Caller) {
	if id := ctx.Request.Header.Peek("Last-Event-ID"); len(id) > 0 {
		server.handleResume(ctx, state, caller, string(id))
		return
	}
	call, failure := server.newCompletion(ctx, state, caller, server.ids.next())
	if failure != nil {
		writeError(ctx, *failure)
		return
	}
	release, err := server.dependencies.Limiter.Acquire(call.began, caller)
	if err != nil {
		server.finish(call, OutcomeNotRun, err)
		writeError(ctx, rejectionError(err))
		return
	}
	call.release = release
	server.retries.request()
	events, failure := server.place(state, call)
	if failure != nil {
		release()
		server.finish(call, failure.Outcome, errors.New(failure.Message))
		writeError(ctx, *failure)
		return
	}
	relay := server.newRelay(call, events, lwtstream.NewSequence(call.id, 0))
	if call.stream {
		relay.stream(ctx)
	} else {
		relay.collect(ctx)
	}
}

func (server *Server) newCompletion(
	ctx *fasthttp.RequestCtx, state lwtdeclaredstate.State, caller lwtdeclaredstate.Caller, id string,
) (*completion, *APIError) {
	if !ctx.IsPost() {
		return nil, &errPath
	}
	body, failure := parseCompletion(ctx.PostBody())
	if failure != nil {
		return nil, failure
	}
	if _, found := state.Models[body.Model]; !found || !contains(caller.Models, body.Model) {
		answer := unknownModel(body.Model)
		return nil, &answer
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
		answer := invalidField("Idempotency-Key",
			"completions are not claimed by key; send the order to a service, or without a key")
		return nil, &answer
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
		// The request's buffer returns to a pool with ctx, which may end before a retry.
		body:   withSeed(ctx.PostBody(), body, id),
		stream: body.Stream,
		began:  time.Now(),
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
		answer := invalidField(field, "the body is not valid: "+err.Error())
		return body, &answer
	}
	if body.Model == "" {
		answer := invalidField("model", "model is missing")
		return body, &answer
	}
	if len(body.Messages) == 0 {
		answer := invalidField("messages", "messages is empty")
		return body, &answer
	}
	if body.MaxTokens != nil && *body.MaxTokens < 1 {
		answer := invalidField("max_tokens", "max_tokens must be at least 1")
		return body, &answer
	}
	if body.MaxCompletionTokens != nil && *body.MaxCompletionTokens < 1 {
		answer := invalidField("max_completion_tokens", "max_completion_tokens must be at least 1")
		return body, &answer
	}
	return body, nil
}

func (body completionBody) promptTokens() int {
	size := 0
	for _, message := range body.Messages {
		size += len(message)
	}
	return max(1, size/charactersPerToken)
}

func (body completionBody) outputTokens() int {
	switch {
	case body.MaxCompletionTokens != nil:
		return *body.MaxCompletionTokens
	case body.MaxTokens != nil:
		return *body.MaxTokens
	}
	return defaultOutputTokens
}

// requestDeadline returns the caller's bound on the whole answer, such as
// "800ms"; 0 if it gives none.
func requestDeadline(ctx *fasthttp.RequestCtx) (time.Duration, *APIError) {
	text := string(ctx.Request.Header.Peek("Lacewingtide-Deadline"))
	if text == "" {
		return 0, nil
	}
	deadline, err := time.ParseDuration(text)
	if err != nil || deadline <= 0 {
		answer := invalidField("Lacewingtide-Deadline", "must be a time above 0, such as 800ms")
		return 0, &answer
	}
	return deadline, nil
}

func requestClass(ctx *fasthttp.RequestCtx) (lwtdeclaredstate.Class, *APIError) {
	class := lwtdeclaredstate.Class(ctx.Request.Header.Peek("Lacewingtide-Class"))
	switch class {
	case "":
		return lwtdeclaredstate.ClassChat, nil
	case lwtdeclaredstate.ClassChat, lwtdeclaredstate.ClassMatch, lwtdeclaredstate.ClassPlan, lwtdeclaredstate.ClassOrder, lwtdeclaredstate.ClassLookup:
		return class, nil
	}
	answer := invalidField("Lacewingtide-Class", "no such class")
	return "", &answer
}

// place has an engine run the request. It tries another engine when the first
// certainly did not run it, or when the request may run more than once.
func (server *Server) place(state lwtdeclaredstate.State, call *completion) (*lwtengine.Stream, *APIError) {
	outcome, deadline := lwtretry.NotSent, time.Now().Add(attemptPatience)
	var left []lwtscorerouter.Choice
	for number := 1; ; number++ {
		choice, err := server.dependencies.Router.Pick(time.Now(), call.request)
		if err != nil {
			answer := rejectionError(err)
			answer.Outcome = outcome.String()
			return nil, &answer
		}
		call.choice = choice
		call.setAddress(state.Engines[choice.Engine].Address)
		events, err := server.dependencies.Engines.Complete(call.engineAddress(), lwtengine.CompletionRequest{
			StreamID: call.id, Priority: call.request.Class.Priority(), Body: call.body, FreshConnection: !call.repeatable(),
		})
		if err == nil {
			call.placed = true
			server.learn(choice, events)
			server.abandon(state, call, left)
			return events, nil
		}
		left = append(left, choice)
		// The router prefers other engines from now on.
		server.dependencies.Router.RecordDone(time.Now(), call.request, choice, true)
		server.log(call.id, "engine-attempt-failed", "engine", choice.Engine, "err", err)
		ended := lwtretry.Attempt{
			Outcome: attemptOutcome(err), Idempotent: call.repeatable(), Number: number, Deadline: deadline,
		}
		outcome = outcome.Combine(ended.Outcome)
		if !server.retries.again(time.Now(), ended) {
			answer := engineError(outcome.String(), err)
			return nil, &answer
		}
	}
}

// abandon cancels what other engines may still run of a request that has moved.
func (server *Server) abandon(state lwtdeclaredstate.State, call *completion, left []lwtscorerouter.Choice) {
	for _, choice := range left {
		address := state.Engines[choice.Engine].Address
		if address == "" || address == call.engineAddress() {
			continue
		}
		go func() {
			// The engine may be gone or may never have had the request.
			_ = server.dependencies.Engines.Cancel(address, call.id)
		}()
	}
}

// leave tells the router that the request has left its engine.
func (server *Server) leave(call *completion, failed bool) {
	if call.placed {
		server.dependencies.Router.RecordDone(time.Now(), call.request, call.choice, failed)
	}
	call.placed = false
}

func attemptOutcome(err error) lwtretry.Outcome {
	switch {
	case errors.Is(err, lwtengine.ErrNotSent):
		return lwtretry.NotSent
	case errors.Is(err, lwtengine.ErrRefused):
		return lwtretry.Rejected
	}
	return lwtretry.Unknown
}

func (server *Server) learn(choice lwtscorerouter.Choice, events *lwtengine.Stream) {
	if load, found := events.Load(); found {
		server.dependencies.Router.RecordLoad(time.Now(), choice.Engine, load)
	}
}

func (server *Server) finish(call *completion, outcome string, err error) {
	now := time.Now()
	result := RequestResult{
		Caller: call.caller.Name, Class: call.request.Class, Engine: call.choice.Engine,
		EndToEndLatency: now.Sub(call.began), Outcome: outcome,
	}
	if !call.first.IsZero() {
		result.TimeToFirstToken = call.first.Sub(call.began)
	}
	server.dependencies.Observer.Observe(now, result)
	server.log(call.id, "request-ended", "caller", result.Caller, "class", result.Class, "model", call.request.Model,
		"engine", result.Engine, "outcome", outcome, "first-token", result.TimeToFirstToken, "whole", result.EndToEndLatency, "err", err)
}

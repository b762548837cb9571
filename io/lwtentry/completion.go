package lwtentry

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtrouter"
	"lacewingtide/core/lwtstate"
	"lacewingtide/core/lwtstream"
	"lacewingtide/io/lwtengine"
)

const (
	defaultOutputTokens = 256
	charactersPerToken  = 4
	maxAttempts         = 3
)

// completion is one chat completion on its way through the daemon.
type completion struct {
	id      string
	caller  lwtstate.Caller
	request lwtrouter.Request
	choice  lwtrouter.Choice
	address string
	body    []byte
	stream  bool
	usage   bool
	began   time.Time
	first   time.Time
	release func()
}

type completionBody struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	Stream              bool              `json:"stream"`
	MaxTokens           *int              `json:"max_tokens"`
	MaxCompletionTokens *int              `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (server *Server) handleCompletion(ctx *fasthttp.RequestCtx, state lwtstate.State, caller lwtstate.Caller) {
	if id := ctx.Request.Header.Peek("Last-Event-ID"); len(id) > 0 {
		server.handleResume(ctx, state, caller, string(id))
		return
	}
	call, failure := server.newCompletion(ctx, state, caller)
	if failure != nil {
		writeError(ctx, *failure)
		return
	}
	release, err := server.dependencies.Limiter.Take(call.began, caller)
	if err != nil {
		server.finish(call, OutcomeNotRun, err)
		writeError(ctx, rejectionError(err))
		return
	}
	call.release = release
	events, failure := server.open(state, call)
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
	ctx *fasthttp.RequestCtx, state lwtstate.State, caller lwtstate.Caller,
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
	return &completion{
		id:     server.ids.next(),
		caller: caller,
		request: lwtrouter.Request{
			Model:            body.Model,
			Class:            class,
			PromptTokens:     body.promptTokens(),
			OutputTokens:     body.outputTokens(),
			AvailabilityZone: server.dependencies.AvailabilityZone,
		},
		// The request's buffer returns to a pool with ctx, which may end before a retry.
		body:   append([]byte(nil), ctx.PostBody()...),
		stream: body.Stream,
		usage:  body.StreamOptions.IncludeUsage,
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

func requestClass(ctx *fasthttp.RequestCtx) (lwtstate.Class, *APIError) {
	class := lwtstate.Class(ctx.Request.Header.Peek("Lacewingtide-Class"))
	switch class {
	case "":
		return lwtstate.ClassChat, nil
	case lwtstate.ClassChat, lwtstate.ClassMatch, lwtstate.ClassPlan, lwtstate.ClassOrder, lwtstate.ClassLookup:
		return class, nil
	}
	answer := invalidField("Lacewingtide-Class", "no such class")
	return "", &answer
}

// open places the request on an engine. It tries another engine only when the
// first one certainly did not run the request.
func (server *Server) open(state lwtstate.State, call *completion) (*lwtengine.Stream, *APIError) {
	var last error
	for range maxAttempts {
		choice, err := server.dependencies.Router.Pick(time.Now(), call.request)
		if err != nil {
			answer := rejectionError(err)
			return nil, &answer
		}
		call.choice, call.address = choice, state.Engines[choice.Engine].Address
		events, err := server.dependencies.Engines.Complete(call.address, lwtengine.Call{
			Stream: call.id, Priority: priority(call.request.Class), Body: call.body,
		})
		if err == nil {
			server.learn(choice, events)
			return events, nil
		}
		server.dependencies.Router.Done(time.Now(), call.request, choice, true)
		server.log(call.id, "engine-attempt-failed", "engine", choice.Engine, "err", err)
		if errors.Is(err, lwtengine.ErrUnknown) {
			answer := engineError(OutcomeUnknown, err)
			return nil, &answer
		}
		last = err
	}
	answer := engineError(OutcomeNotRun, last)
	return nil, &answer
}

func (server *Server) learn(choice lwtrouter.Choice, events *lwtengine.Stream) {
	if load, found := events.Load(); found {
		server.dependencies.Router.Report(time.Now(), choice.Engine, load)
	}
}

// priority orders the classes at an engine; a higher one goes first.
func priority(class lwtstate.Class) int {
	switch class {
	case lwtstate.ClassLookup, lwtstate.ClassOrder:
		return 3
	case lwtstate.ClassChat:
		return 2
	case lwtstate.ClassMatch:
		return 1
	default:
		return 0
	}
}

func (server *Server) finish(call *completion, outcome string, err error) {
	now := time.Now()
	result := Result{
		Caller: call.caller.Name, Class: call.request.Class, Engine: call.choice.Engine,
		Whole: now.Sub(call.began), Outcome: outcome,
	}
	if !call.first.IsZero() {
		result.FirstToken = call.first.Sub(call.began)
	}
	server.dependencies.Observer.Observe(now, result)
	server.log(call.id, "request-ended", "caller", result.Caller, "class", result.Class, "model", call.request.Model,
		"engine", result.Engine, "outcome", outcome, "first-token", result.FirstToken, "whole", result.Whole, "err", err)
}

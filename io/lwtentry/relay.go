package lwtentry

import (
	"bufio"
	"bytes"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtstate"
	"lacewingtide/core/lwtstream"
	"lacewingtide/io/lwtengine"
)

const maxResumes = 3

var (
	errGap  = errors.New("the engine left out events of the stream")
	endMark = []byte("[DONE]")
)

// relay copies the events of one engine stream to one caller.
type relay struct {
	server   *Server
	call     *completion
	events   *lwtengine.Stream
	sequence lwtstream.Sequence
	signer   *lwtstream.Signer
	id       []byte
	resumes  int
}

func (server *Server) newRelay(call *completion, events *lwtengine.Stream, sequence lwtstream.Sequence) *relay {
	return &relay{
		server:   server,
		call:     call,
		events:   events,
		sequence: sequence,
		signer:   lwtstream.NewSigner(server.dependencies.StreamKey, call.caller.Name),
	}
}

// stream relays the events as server-sent events.
func (relay *relay) stream(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		err := relay.each(func(event lwtengine.Event) error { return relay.write(w, event) })
		if err != nil {
			relay.writeFailure(w, err)
		}
		relay.end(err)
	})
}

// each calls deliver with each event exactly once and in order, until the end
// mark. It resumes a broken stream on the same engine.
func (relay *relay) each(deliver func(lwtengine.Event) error) error {
	for {
		event, err := relay.events.Next()
		if err != nil {
			if err = relay.resume(err); err != nil {
				return err
			}
			continue
		}
		next, verdict := relay.sequence.Accept(event.Stream, event.Offset)
		if verdict == lwtstream.Gap {
			return errGap
		}
		if verdict != lwtstream.Deliver {
			continue
		}
		relay.sequence = next
		if err := deliver(event); err != nil {
			return &callerGoneError{err}
		}
		if bytes.Equal(event.Data, endMark) {
			return nil
		}
	}
}

func (relay *relay) resume(cause error) error {
	if relay.resumes == maxResumes {
		return cause
	}
	relay.resumes++
	relay.server.log(relay.call.id, "stream-resumed", "engine", relay.call.choice.Engine,
		"offset", relay.sequence.Next(), "err", cause)
	events, err := relay.server.dependencies.Engines.Resume(relay.call.address, relay.call.id, relay.sequence.Next())
	if err != nil {
		return err
	}
	relay.events.Close()
	relay.events = events
	return nil
}

func (relay *relay) write(w *bufio.Writer, event lwtengine.Event) error {
	if relay.call.first.IsZero() {
		relay.call.first = time.Now()
	}
	relay.id = relay.signer.AppendID(relay.id[:0], lwtstream.Position{
		Engine: relay.call.choice.Engine, Stream: relay.call.id, Offset: relay.sequence.Next(),
	})
	// A write error shows at the flush.
	_, _ = w.WriteString("id: ")
	_, _ = w.Write(relay.id)
	_, _ = w.WriteString("\ndata: ")
	_, _ = w.Write(event.Data)
	_, _ = w.WriteString("\n\n")
	if relay.events.Buffered() {
		return nil
	}
	return w.Flush()
}

func (relay *relay) writeFailure(w *bufio.Writer, err error) {
	var gone *callerGoneError
	if errors.As(err, &gone) {
		return
	}
	// The caller sees a lost connection if this can't be written.
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(engineError(OutcomeUnknown, err).Body())
	_, _ = w.WriteString("\n\n")
	_ = w.Flush()
}

// end closes the engine's stream, and cancels it when the caller has gone.
func (relay *relay) end(err error) {
	relay.events.Close()
	server, call := relay.server, relay.call
	var gone *callerGoneError
	if errors.As(err, &gone) && call.request.Class != lwtstate.ClassOrder {
		if err := server.dependencies.Engines.Cancel(call.address, call.id); err != nil {
			server.log(call.id, "cancel-failed", "engine", call.choice.Engine, "err", err)
		}
	}
	server.dependencies.Router.Done(time.Now(), call.request, call.choice, err != nil && gone == nil)
	call.release()
	outcome := OutcomeDone
	if err != nil {
		outcome = OutcomeUnknown
	}
	server.finish(call, outcome, err)
}

// callerGoneError reports that the caller's connection broke.
type callerGoneError struct{ cause error }

func (gone *callerGoneError) Error() string {
	return "the caller's connection broke: " + gone.cause.Error()
}

func (gone *callerGoneError) Unwrap() error { return gone.cause }

// handleResume continues a stream after the event that the caller names.
func (server *Server) handleResume(
	ctx *fasthttp.RequestCtx, state lwtstate.State, caller lwtstate.Caller, eventID string,
) {
	signer := lwtstream.NewSigner(server.dependencies.StreamKey, caller.Name)
	position, err := signer.Open(eventID)
	if err != nil {
		writeError(ctx, errEventID)
		return
	}
	engine, found := state.Engines[position.Engine]
	if !found {
		writeError(ctx, errStreamGone)
		return
	}
	events, err := server.dependencies.Engines.Resume(engine.Address, position.Stream, position.Offset)
	if err != nil {
		answer := errStreamGone
		if !errors.Is(err, lwtengine.ErrNoStream) {
			answer = engineError(OutcomeUnknown, err)
		}
		writeError(ctx, answer)
		return
	}
	call := &completion{id: position.Stream, caller: caller, address: engine.Address, began: time.Now(), stream: true}
	call.choice.Engine = engine.Name
	call.release = func() {}
	server.newRelay(call, events, lwtstream.NewSequence(position.Stream, position.Offset)).stream(ctx)
}

package lwtentry

import (
	"bytes"
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
	// maxResumes bounds the resumes between two delivered events.
	maxResumes = 3
	// maxHeld bounds the events held while an earlier one is missing.
	maxHeld = 32
	// resumePause keeps the resumes of a stream from following each other at once.
	resumePause = 50 * time.Millisecond
)

var (
	errGap  = errors.New("the engine left out events of the stream")
	errGone = errors.New("connection closed")
	endMark = []byte("[DONE]")
)

// relay copies the events of one engine stream to one caller.
type relay struct {
	server   *Server
	call     *completion
	events   *lwtengine.Stream
	sequence lwtstream.Sequence
	signer   *lwtstream.Signer
	resumes  int
	// held are events that came before an earlier one, by offset.
	held map[uint64][]byte
	// dropped counts events of other streams and repeated ones.
	dropped int
	// gone is set when the caller has disconnected.
	gone atomic.Bool
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

// callerGone ends the work of a caller that has disconnected, unless the work
// may not be repeated: that runs on, and any daemon can still read it.
func (relay *relay) callerGone() {
	if !relay.call.repeatable() {
		return
	}
	relay.gone.Store(true)
	relay.cancel()
}

func (relay *relay) cancel() {
	address := relay.call.engineAddress()
	if err := relay.server.dependencies.Engines.Cancel(address, relay.call.id); err != nil {
		relay.server.log(relay.call.id, "cancel-failed", "address", address, "err", err)
	}
}

// each calls deliver with each event exactly once and in order, until the end
// mark.
func (relay *relay) each(deliver func(lwtengine.Event) error) error {
	for {
		event, err := relay.receive()
		if err != nil {
			return err
		}
		if event.KeepAlive {
			continue
		}
		if err := deliver(event); err != nil {
			return err
		}
		if bytes.Equal(event.Data, endMark) {
			return nil
		}
	}
}

// receive returns the next event to deliver, or the engine's keep-alive. It
// takes up a broken stream.
func (relay *relay) receive() (lwtengine.Event, error) {
	for {
		event, err := relay.next()
		if relay.gone.Load() {
			return event, &callerGoneError{errGone}
		}
		if err == nil {
			return event, nil
		}
		if err = relay.recover(err); err != nil {
			return event, err
		}
	}
}

// next returns the next event of the sequence. It holds events that come too
// early, and drops those of other streams and those delivered already.
func (relay *relay) next() (lwtengine.Event, error) {
	for {
		offset := relay.sequence.Next()
		if data, found := relay.held[offset]; found {
			delete(relay.held, offset)
			relay.sequence, _ = relay.sequence.Accept(relay.call.id, offset)
			return lwtengine.Event{StreamID: relay.call.id, Offset: offset, Data: data}, nil
		}
		event, err := relay.events.Next()
		if err != nil || event.KeepAlive {
			return event, err
		}
		next, verdict := relay.sequence.Accept(event.StreamID, event.Offset)
		switch verdict {
		case lwtstream.InOrder:
			relay.sequence, relay.resumes = next, 0
			return event, nil
		case lwtstream.Gap:
			if len(relay.held) == maxHeld {
				return event, errGap
			}
			if relay.held == nil {
				relay.held = map[uint64][]byte{}
			}
			relay.held[event.Offset] = bytes.Clone(event.Data)
		default:
			relay.dropped++
		}
	}
}

// recover takes up a broken stream: on its engine from the next event on, or,
// for work that may be repeated, from the start on another engine. The events
// that the caller has are skipped then, which is right because the answer is
// deterministic.
func (relay *relay) recover(cause error) error {
	relay.events.Close()
	relay.events = lwtengine.EndedStream()
	clear(relay.held)
	if relay.resumes == maxResumes {
		return cause
	}
	relay.resumes++
	if relay.resumes > 1 {
		time.Sleep(resumePause)
	}
	call, server := relay.call, relay.server
	server.log(call.id, "stream-resumed", "engine", call.choice.Engine, "offset", relay.sequence.Next(), "err", cause)
	events, err := server.dependencies.Engines.Resume(call.engineAddress(), call.id, relay.sequence.Next())
	if err == nil {
		relay.events = events
		return nil
	}
	if !call.repeatable() {
		if errors.Is(err, lwtengine.ErrStreamNotFound) {
			return err
		}
		return nil // the next round tries the engine again
	}
	return relay.restart(err)
}

// restart runs the request on another engine.
func (relay *relay) restart(cause error) error {
	call, server := relay.call, relay.server
	if len(call.body) == 0 || !server.retries.again(time.Now(), lwtretry.Attempt{
		Outcome: lwtretry.Unknown, Idempotent: true, Number: 1, Deadline: time.Now().Add(time.Second),
	}) {
		return cause
	}
	state, _ := server.dependencies.StateSource.State()
	left := []lwtscorerouter.Choice{call.choice}
	server.leave(call, true)
	events, failure := server.place(state, call)
	if failure != nil {
		return errors.New(failure.Message)
	}
	server.abandon(state, call, left)
	server.log(call.id, "stream-restarted", "engine", call.choice.Engine, "skip", relay.sequence.Next(), "err", cause)
	relay.events = events
	return nil
}

// end closes the engine's stream, and cancels it when the caller has gone.
func (relay *relay) end(err error) {
	relay.events.Close()
	server, call := relay.server, relay.call
	var gone *callerGoneError
	if errors.As(err, &gone) && call.repeatable() && !relay.gone.Load() {
		relay.cancel()
	}
	if err == nil {
		relay.markAnswered()
	}
	server.leave(call, err != nil && gone == nil)
	call.release()
	outcome := OutcomeDone
	if err != nil {
		outcome = OutcomeUnknown
	}
	if relay.dropped > 0 {
		server.log(call.id, "events-dropped", "engine", call.choice.Engine, "count", relay.dropped)
	}
	server.finish(call, outcome, err)
}

// callerGoneError reports that the caller's connection broke.
type callerGoneError struct{ cause error }

func (gone *callerGoneError) Error() string {
	return "the caller's connection broke: " + gone.cause.Error()
}

func (gone *callerGoneError) Unwrap() error { return gone.cause }

// handleResume continues a stream after the event that the caller names. A
// caller that sends its request again with the event's id has it run anew when
// no engine holds the stream any more; the events that it has are skipped.
func (server *Server) handleResume(
	ctx *fasthttp.RequestCtx, state lwtdeclaredstate.State, caller lwtdeclaredstate.Caller, eventID string,
) {
	signer := lwtstream.NewSigner(server.dependencies.StreamKey, caller.Name)
	position, err := signer.Verify(eventID)
	if err != nil {
		writeError(ctx, errEventID)
		return
	}
	call := &completion{id: position.Stream, caller: caller, began: time.Now(), stream: true, release: func() {}}
	if len(ctx.PostBody()) > 0 {
		again, failure := server.newCompletion(ctx, state, caller, position.Stream)
		if failure != nil {
			writeError(ctx, *failure)
			return
		}
		again.release = call.release
		call = again
	}
	events, failure := server.reopen(state, call, position)
	if failure != nil {
		writeError(ctx, *failure)
		return
	}
	server.newRelay(call, events, lwtstream.NewSequence(call.id, position.Offset)).stream(ctx)
}

// reopen finds the stream on its engine, or runs the request again.
func (server *Server) reopen(
	state lwtdeclaredstate.State, call *completion, position lwtstream.Position,
) (*lwtengine.Stream, *APIError) {
	answer := errStreamGone
	if engine, found := state.Engines[position.Engine]; found {
		call.choice.Engine = engine.Name
		call.setAddress(engine.Address)
		events, err := server.dependencies.Engines.Resume(engine.Address, position.Stream, position.Offset)
		if err == nil {
			return events, nil
		}
		if !errors.Is(err, lwtengine.ErrStreamNotFound) {
			answer = engineError(OutcomeUnknown, err)
		}
	}
	if len(call.body) == 0 || !call.repeatable() {
		return nil, &answer
	}
	// Another daemon may still run the request under its first name, and cancel
	// that name because its caller has gone.
	call.id = rerunName(call.id, server.ids.next())
	return server.place(state, call)
}

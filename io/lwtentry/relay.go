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
	// maxResumes is the maximum number of resumes without an event delivered in between.
	maxResumes = 3
	// maxOutOfOrder is the maximum number of events buffered while an earlier one is missing.
	maxOutOfOrder = 32
	// resumeDelay is the delay before each resume after the first.
	resumeDelay = 50 * time.Millisecond
)

var (
	errMissingEvents    = errors.New("the engine left out events of the stream")
	errConnectionClosed = errors.New("connection closed")
	doneMarker          = []byte("[DONE]")
)

// relay copies the events of one engine stream to one caller.
type relay struct {
	server     *Server
	completion *completion
	events     *lwtengine.Stream
	sequence   lwtstream.Sequence
	signer     *lwtstream.Signer
	resumes    int
	// outOfOrder buffers events that arrived before an earlier one, by offset.
	outOfOrder map[uint64][]byte
	// droppedEvents counts duplicate events and events of other streams.
	droppedEvents      int
	callerDisconnected atomic.Bool
}

func (server *Server) newRelay(completion *completion, events *lwtengine.Stream, sequence lwtstream.Sequence) *relay {
	return &relay{
		server:     server,
		completion: completion,
		events:     events,
		sequence:   sequence,
		signer:     lwtstream.NewSigner(server.dependencies.StreamKey, completion.caller.Name),
	}
}

// handleDisconnect cancels the stream of a caller that has disconnected. A non-idempotent
// request keeps running, so that its stream can still be resumed through any daemon.
func (relay *relay) handleDisconnect() {
	if !relay.completion.isIdempotent() {
		return
	}
	relay.callerDisconnected.Store(true)
	relay.cancel()
}

func (relay *relay) cancel() {
	address := relay.completion.engineAddress()
	if err := relay.server.dependencies.Engines.Cancel(address, relay.completion.id); err != nil {
		relay.server.log(relay.completion.id, "cancel-failed", "address", address, "err", err)
	}
}

// forEachEvent calls deliver with each event exactly once and in order, up to and including
// the [DONE] event.
func (relay *relay) forEachEvent(deliver func(lwtengine.Event) error) error {
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
		if bytes.Equal(event.Data, doneMarker) {
			return nil
		}
	}
}

// receive returns the next event to deliver or a keep-alive of the engine. It recovers
// broken streams.
func (relay *relay) receive() (lwtengine.Event, error) {
	for {
		event, err := relay.nextInOrder()
		if relay.callerDisconnected.Load() {
			return event, &callerDisconnectedError{errConnectionClosed}
		}
		if err == nil {
			return event, nil
		}
		if err = relay.recoverStream(err); err != nil {
			return event, err
		}
	}
}

// nextInOrder returns the next event of the sequence. It buffers events that arrive early
// and drops duplicates and events of other streams.
func (relay *relay) nextInOrder() (lwtengine.Event, error) {
	for {
		offset := relay.sequence.Next()
		if data, found := relay.outOfOrder[offset]; found {
			delete(relay.outOfOrder, offset)
			relay.sequence, _ = relay.sequence.Accept(relay.completion.id, offset)
			return lwtengine.Event{StreamID: relay.completion.id, Offset: offset, Data: data}, nil
		}
		event, err := relay.events.Next()
		if err != nil || event.KeepAlive {
			return event, err
		}
		next, class := relay.sequence.Accept(event.StreamID, event.Offset)
		switch class {
		case lwtstream.InOrder:
			relay.sequence, relay.resumes = next, 0
			return event, nil
		case lwtstream.Gap:
			if len(relay.outOfOrder) == maxOutOfOrder {
				return event, errMissingEvents
			}
			if relay.outOfOrder == nil {
				relay.outOfOrder = map[uint64][]byte{}
			}
			relay.outOfOrder[event.Offset] = bytes.Clone(event.Data)
		default:
			relay.droppedEvents++
		}
	}
}

// recoverStream resumes a broken stream on its engine from the next event. If that fails
// and the request is idempotent, it reruns the request on another engine and skips the
// events that the caller already has. This is correct because the seed makes the response
// deterministic.
func (relay *relay) recoverStream(cause error) error {
	relay.events.Close()
	relay.events = lwtengine.EndedStream()
	clear(relay.outOfOrder)
	if relay.resumes == maxResumes {
		return cause
	}
	relay.resumes++
	if relay.resumes > 1 {
		time.Sleep(resumeDelay)
	}
	completion, server := relay.completion, relay.server
	server.log(completion.id, "stream-resumed", "engine", completion.choice.Engine, "offset", relay.sequence.Next(),
		"err", cause)
	events, err := server.dependencies.Engines.Resume(completion.engineAddress(), completion.id, relay.sequence.Next())
	if err == nil {
		relay.events = events
		return nil
	}
	if !completion.isIdempotent() {
		if errors.Is(err, lwtengine.ErrStreamNotFound) {
			return err
		}
		return nil // the next call to receive tries the same engine again
	}
	return relay.restart(err)
}

// restart reruns the request on another engine, if the retry budget allows it.
func (relay *relay) restart(cause error) error {
	completion, server := relay.completion, relay.server
	if len(completion.body) == 0 || !server.retryBudget.shouldRetry(time.Now(), lwtretry.Attempt{
		Outcome: lwtretry.Unknown, Idempotent: true, Number: 1, Deadline: time.Now().Add(time.Second),
	}) {
		return cause
	}
	state, _ := server.dependencies.StateSource.State()
	previous := []lwtscorerouter.Choice{completion.choice}
	server.recordDone(completion, true)
	events, failure := server.place(state, completion)
	if failure != nil {
		return errors.New(failure.Message)
	}
	server.cancelPrevious(state, completion, previous)
	server.log(completion.id, "stream-restarted", "engine", completion.choice.Engine, "skip", relay.sequence.Next(),
		"err", cause)
	relay.events = events
	return nil
}

// finish closes the engine's stream, cancels it if the caller has disconnected, and records
// the outcome.
func (relay *relay) finish(err error) {
	relay.events.Close()
	server, completion := relay.server, relay.completion
	var disconnected *callerDisconnectedError
	if errors.As(err, &disconnected) && completion.isIdempotent() && !relay.callerDisconnected.Load() {
		relay.cancel()
	}
	if err == nil {
		relay.recordCompletion()
	}
	server.recordDone(completion, err != nil && disconnected == nil)
	completion.releaseLimit()
	outcome := OutcomeDone
	if err != nil {
		outcome = OutcomeUnknown
	}
	if relay.droppedEvents > 0 {
		server.log(completion.id, "events-dropped", "engine", completion.choice.Engine, "count", relay.droppedEvents)
	}
	server.recordResult(completion, outcome, err)
}

// callerDisconnectedError reports that the caller's connection was lost.
type callerDisconnectedError struct{ cause error }

func (disconnected *callerDisconnectedError) Error() string {
	return "the caller's connection broke: " + disconnected.cause.Error()
}

func (disconnected *callerDisconnectedError) Unwrap() error { return disconnected.cause }

// handleResume resumes a stream after the event named by the caller's Last-Event-ID. If the
// caller sends the request body again and the engine no longer holds the stream, an
// idempotent request is rerun and the events that the caller already has are skipped.
func (server *Server) handleResume(
	ctx *fasthttp.RequestCtx, state lwtdeclaredstate.State, caller lwtdeclaredstate.Caller, eventID string,
) {
	signer := lwtstream.NewSigner(server.dependencies.StreamKey, caller.Name)
	position, err := signer.Verify(eventID)
	if err != nil {
		writeError(ctx, errInvalidEventID)
		return
	}
	completion := &completion{
		id: position.Stream, caller: caller, startedAt: time.Now(), streamed: true, releaseLimit: func() {},
	}
	if len(ctx.PostBody()) > 0 {
		rerun, failure := server.newCompletion(ctx, state, caller, position.Stream)
		if failure != nil {
			writeError(ctx, *failure)
			return
		}
		rerun.releaseLimit = completion.releaseLimit
		completion = rerun
	}
	events, failure := server.resumeOrRerun(state, completion, position)
	if failure != nil {
		writeError(ctx, *failure)
		return
	}
	server.newRelay(completion, events, lwtstream.NewSequence(completion.id, position.Offset)).stream(ctx)
}

// resumeOrRerun resumes the stream on its engine, or reruns the request if it is idempotent
// and its body was sent.
func (server *Server) resumeOrRerun(
	state lwtdeclaredstate.State, completion *completion, position lwtstream.Position,
) (*lwtengine.Stream, *APIError) {
	apiError := errStreamNotFound
	if engine, found := state.Engines[position.Engine]; found {
		completion.choice.Engine = engine.Name
		completion.setAddress(engine.Address)
		events, err := server.dependencies.Engines.Resume(engine.Address, position.Stream, position.Offset)
		if err == nil {
			return events, nil
		}
		if !errors.Is(err, lwtengine.ErrStreamNotFound) {
			apiError = engineError(OutcomeUnknown, err)
		}
	}
	if len(completion.body) == 0 || !completion.isIdempotent() {
		return nil, &apiError
	}
	// The rerun needs a new ID: another daemon may still be running the request under the
	// original one, and cancels that ID when it notices that the caller has disconnected.
	completion.id = rerunID(completion.id, server.requestIDs.next())
	return server.place(state, completion)
}

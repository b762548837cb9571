package lwtentry

import (
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtstream"
	"lacewingtide/io/lwtengine"
)

var keepAliveSSE = []byte(": keep-alive\n\n")

// maxBatchBytes is the size of a batch of events above which no further event is added to it.
const maxBatchBytes = 16 << 10

// sseBody is a response body of server-sent events. The server reads it on the goroutine
// that writes to the caller, so that events pass from the engine's connection to the
// caller's without switching goroutines.
type sseBody struct {
	relay     *relay
	stopWatch func()
	buffer    []byte
	pending   []byte
	ended     bool
	closed    bool
	err       error
}

// stream sends the events to the caller as server-sent events.
func (relay *relay) stream(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	sseBody := &sseBody{relay: relay, stopWatch: WatchDisconnect(ctx.Conn(), relay.handleDisconnect)}
	ctx.SetBodyStream(sseBody, -1)
}

// Read implements io.Reader. It returns the events that have arrived and blocks only if
// there are none.
func (sseBody *sseBody) Read(buffer []byte) (int, error) {
	if len(sseBody.pending) == 0 {
		if sseBody.ended {
			return 0, io.EOF
		}
		sseBody.fill()
	}
	n := copy(buffer, sseBody.pending)
	sseBody.pending = sseBody.pending[n:]
	return n, nil
}

// fill encodes the events that have arrived into the buffer. It blocks until there is at
// least one.
func (sseBody *sseBody) fill() {
	sseBody.buffer = sseBody.buffer[:0]
	for {
		event, err := sseBody.relay.receive()
		switch {
		case err != nil:
			sseBody.fail(err)
		case event.KeepAlive:
			sseBody.buffer = append(sseBody.buffer, keepAliveSSE...)
		default:
			sseBody.buffer = sseBody.relay.appendEvent(sseBody.buffer, event)
			sseBody.ended = bytes.Equal(event.Data, doneMarker)
		}
		if sseBody.ended || !sseBody.relay.events.Buffered() || len(sseBody.buffer) > maxBatchBytes {
			break
		}
	}
	sseBody.pending = sseBody.buffer
}

// fail ends the body with an event that holds the error and the outcome of the request. It
// sends nothing if the caller has disconnected.
func (sseBody *sseBody) fail(err error) {
	sseBody.err, sseBody.ended = err, true
	var disconnected *callerDisconnectedError
	if errors.As(err, &disconnected) {
		return
	}
	sseBody.buffer = append(sseBody.buffer, "data: "...)
	sseBody.buffer = append(sseBody.buffer, engineError(OutcomeUnknown, err).Body()...)
	sseBody.buffer = append(sseBody.buffer, "\n\n"...)
}

// Close implements io.Closer. The server calls it when the whole body has been read or the
// caller's connection is lost.
func (sseBody *sseBody) Close() error {
	if sseBody.closed {
		return nil
	}
	sseBody.closed = true
	sseBody.stopWatch()
	if !sseBody.ended || len(sseBody.pending) > 0 {
		sseBody.err = errors.Join(sseBody.err, &callerDisconnectedError{errConnectionClosed})
	}
	sseBody.relay.finish(sseBody.err)
	return nil
}

// appendEvent appends an event with a signed ID, from which any daemon can resume.
func (relay *relay) appendEvent(dst []byte, event lwtengine.Event) []byte {
	relay.recordFirstToken()
	dst = append(dst, "id: "...)
	dst = relay.signer.AppendID(dst, lwtstream.Position{
		Engine: relay.completion.choice.Engine, Stream: relay.completion.id, Offset: relay.sequence.Next(),
	})
	dst = append(dst, "\ndata: "...)
	dst = append(dst, event.Data...)
	return append(dst, "\n\n"...)
}

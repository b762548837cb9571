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

// maxPendingBytes bounds the events that are put together for one write.
const maxPendingBytes = 16 << 10

// eventBody is the body of a streamed answer: server-sent events. The server
// reads it on the goroutine that writes to the caller, so that an event passes
// from the engine's connection to the caller's without a change of goroutine.
type eventBody struct {
	relay   *relay
	stop    func()
	buffer  []byte
	pending []byte
	ended   bool
	closed  bool
	err     error
}

// stream relays the events as server-sent events.
func (relay *relay) stream(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	body := &eventBody{relay: relay, stop: WatchDisconnect(ctx.Conn(), relay.callerGone)}
	ctx.SetBodyStream(body, -1)
}

// Read implements io.Reader. It returns what has arrived and waits only when
// nothing has.
func (body *eventBody) Read(buffer []byte) (int, error) {
	if len(body.pending) == 0 {
		if body.ended {
			return 0, io.EOF
		}
		body.fill()
	}
	n := copy(buffer, body.pending)
	body.pending = body.pending[n:]
	return n, nil
}

// fill takes the events that have arrived, at least one.
func (body *eventBody) fill() {
	body.buffer = body.buffer[:0]
	for {
		event, err := body.relay.receive()
		switch {
		case err != nil:
			body.fail(err)
		case event.KeepAlive:
			body.buffer = append(body.buffer, keepAliveSSE...)
		default:
			body.buffer = body.relay.appendEvent(body.buffer, event)
			body.ended = bytes.Equal(event.Data, endMark)
		}
		if body.ended || !body.relay.events.Buffered() || len(body.buffer) > maxPendingBytes {
			break
		}
	}
	body.pending = body.buffer
}

// fail ends the body with an event that says what became of the request.
func (body *eventBody) fail(err error) {
	body.err, body.ended = err, true
	var gone *callerGoneError
	if errors.As(err, &gone) {
		return
	}
	body.buffer = append(body.buffer, "data: "...)
	body.buffer = append(body.buffer, engineError(OutcomeUnknown, err).Body()...)
	body.buffer = append(body.buffer, "\n\n"...)
}

// Close implements io.Closer. The server calls it when the body has been read,
// or when the caller's connection broke before.
func (body *eventBody) Close() error {
	if body.closed {
		return nil
	}
	body.closed = true
	body.stop()
	if !body.ended || len(body.pending) > 0 {
		body.err = errors.Join(body.err, &callerGoneError{errGone})
	}
	body.relay.end(body.err)
	return nil
}

func (relay *relay) appendEvent(dst []byte, event lwtengine.Event) []byte {
	relay.markFirst()
	dst = append(dst, "id: "...)
	dst = relay.signer.AppendID(dst, lwtstream.Position{
		Engine: relay.call.choice.Engine, Stream: relay.call.id, Offset: relay.sequence.Next(),
	})
	dst = append(dst, "\ndata: "...)
	dst = append(dst, event.Data...)
	return append(dst, "\n\n"...)
}

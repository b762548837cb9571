package lwtgateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtcourse"
	"lacewingtide/core/lwtretry"
	"lacewingtide/io/lwthttp"
)

// wholeBody bounds the answers that are read whole before they are passed on.
// Larger ones are passed on in pieces.
const wholeBody = 256 << 10

type statusError int

func (status statusError) Error() string { return fmt.Sprintf("status %d", int(status)) }

func errStatus(status int) error { return statusError(status) }

// deliver passes the server's answer on to the caller.
func (call *call) deliver() any {
	status := call.answer.Header.StatusCode()
	message := call.passOn()
	_, delivered := message.(lwtcourse.Delivered)
	if delivered {
		call.delivered = status
	} else {
		call.excluded[call.place.server.ID] = true
	}
	// A server that answers with errors answers fast and would get ever more work.
	call.ended(!delivered && call.context.Err() == nil || delivered && status >= fasthttp.StatusInternalServerError)
	return message
}

func (call *call) passOn() any {
	status := call.answer.Header.StatusCode()
	if call.exchange.Begun() && status != fasthttp.StatusOK {
		return lwtcourse.Failed{Outcome: lwtretry.Unknown, Begun: true, Reason: "resume-failed"}
	}
	if call.route.Streaming && status == fasthttp.StatusOK {
		return call.passEvents()
	}
	body, err := call.answer.Drain(wholeBody)
	switch {
	case errors.Is(err, lwthttp.ErrBodyTooLarge):
		return call.passPieces(status, body)
	case err != nil:
		return call.broken(err, "")
	}
	if err := call.exchange.Answer(status, call.answer.ForwardHead(), body); err != nil {
		return lwtcourse.CallerGone{}
	}
	return lwtcourse.Delivered{}
}

func (call *call) broken(err error, event string) any {
	message := call.failure(lwtretry.Unknown, "answer", err)
	if failed, ok := message.(lwtcourse.Failed); ok {
		failed.LastEvent = event
		return failed
	}
	return message
}

// passPieces passes on a large body. Start is what was read of it.
func (call *call) passPieces(status int, start []byte) any {
	if call.exchange.Begin(status, call.answer.ForwardHead()) != nil || call.exchange.Write(start) != nil {
		return lwtcourse.CallerGone{}
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := call.answer.Read(buffer)
		if n > 0 && call.exchange.Write(buffer[:n]) != nil {
			return lwtcourse.CallerGone{}
		}
		if errors.Is(err, io.EOF) && call.answer.Complete() {
			return call.end()
		}
		if err != nil {
			return call.broken(err, "")
		}
	}
}

func (call *call) end() any {
	if call.exchange.End() != nil {
		return lwtcourse.CallerGone{}
	}
	return lwtcourse.Delivered{}
}

// maxEventBytes bounds the bytes of one event.
const maxEventBytes = 1 << 20

// passEvents passes on a series of events, each only when it is whole, so that
// another server can go on after the last one.
func (call *call) passEvents() any {
	var pending []byte
	last := ""
	buffer := make([]byte, 4<<10)
	for {
		n, err := call.answer.Read(buffer)
		pending = append(pending, buffer[:n]...)
		complete := errors.Is(err, io.EOF) && call.answer.Complete()
		whole := bytes.LastIndex(pending, []byte("\n\n")) + len("\n\n")
		if whole < len("\n\n") {
			whole = 0
		}
		if complete {
			whole = len(pending)
		}
		if whole > 0 {
			if !call.passEvent(pending[:whole]) {
				return lwtcourse.CallerGone{}
			}
			last = lastEventID(pending[:whole], last)
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case complete:
			return call.endEvents()
		case err != nil:
			return call.broken(err, last)
		case len(pending) > maxEventBytes:
			return call.broken(lwthttp.ErrBodyTooLarge, last)
		}
	}
}

func (call *call) endEvents() any {
	if !call.exchange.Begun() && !call.begin() {
		return lwtcourse.CallerGone{}
	}
	return call.end()
}

// begin sends the head of the first server's answer.
func (call *call) begin() bool {
	return call.exchange.Begin(call.answer.Header.StatusCode(), call.answer.ForwardHead()) == nil
}

func (call *call) passEvent(events []byte) bool {
	call.prefillEnded()
	if !call.exchange.Begun() {
		call.gateway.metrics.Observe("first-event", time.Since(call.exchange.Arrived))
		if !call.begin() {
			return false
		}
	}
	return call.exchange.Write(events) == nil
}

// lastEventID returns the id of the last event, or before if none has one.
func lastEventID(events []byte, before string) string {
	last := before
	for line := range bytes.Lines(events) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			last = string(bytes.TrimSpace(value))
		}
	}
	return last
}

package lwtgateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtrequestflow"
	"lacewingtide/core/lwtretry"
	"lacewingtide/io/lwthttp"
)

// Bounds of answers. A server in trouble may send bytes without end.
const (
	// wholeBody bounds the answers that are read whole before they are passed on.
	// Larger ones are passed on in pieces.
	wholeBody = 256 << 10
	// maxAnswerBytes bounds an answer: far more than any known one, and less than
	// the link of a small VM carries within a caller's deadline.
	maxAnswerBytes = 8 << 20
	// spareEvents is the number of events beyond one for each token that a stream
	// may have.
	spareEvents = 64
)

type statusError int

func (status statusError) Error() string { return fmt.Sprintf("status %d", int(status)) }

func errStatus(status int) error { return statusError(status) }

// deliver passes the server's answer on to the caller.
func (call *call) deliver() any {
	status := call.answer.Header.StatusCode()
	message := call.passOn()
	_, delivered := message.(lwtrequestflow.Delivered)
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
	if call.exchange.ResponseBegun() && status != fasthttp.StatusOK {
		return lwtrequestflow.Failed{Outcome: lwtretry.Unknown, PartiallyDelivered: true, Reason: "resume-failed"}
	}
	if call.route.Streaming && status == fasthttp.StatusOK {
		return call.passEvents()
	}
	body, err := call.answer.ReadAll(wholeBody)
	switch {
	case errors.Is(err, lwthttp.ErrBodyTooLarge):
		return call.passPieces(status, body)
	case err != nil:
		return call.broken(err, "")
	}
	if err := call.exchange.Respond(status, call.answer.ForwardHeaders(), body); err != nil {
		return lwtrequestflow.CallerGone{}
	}
	return lwtrequestflow.Delivered{}
}

func (call *call) broken(err error, event string) any {
	message := call.failure(lwtretry.Unknown, "answer", err)
	if failed, ok := message.(lwtrequestflow.Failed); ok {
		failed.LastEventID = event
		if errors.Is(err, errEndless) {
			failed.Reason, failed.NotResumable = "answer-without-end", failed.PartiallyDelivered
		}
		return failed
	}
	return message
}

// errEndless reports an answer that is longer than any sound one.
var errEndless = fmt.Errorf("answer without end")

// passPieces passes on a large body. Start is what was read of it.
func (call *call) passPieces(status int, start []byte) any {
	if call.exchange.BeginResponse(status, call.answer.ForwardHeaders()) != nil || call.exchange.Write(start) != nil {
		return lwtrequestflow.CallerGone{}
	}
	buffer := make([]byte, 32<<10)
	for passed := len(start); ; {
		n, err := call.answer.Read(buffer)
		if passed += n; passed > maxAnswerBytes {
			return call.broken(errEndless, "")
		}
		if n > 0 && call.exchange.Write(buffer[:n]) != nil {
			return lwtrequestflow.CallerGone{}
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
	if call.exchange.EndResponse() != nil {
		return lwtrequestflow.CallerGone{}
	}
	return lwtrequestflow.Delivered{}
}

// maxEventBytes bounds the bytes of one event.
const maxEventBytes = 1 << 20

// passEvents passes on a series of events, each only when it is whole, so that
// another server can go on after the last one.
func (call *call) passEvents() any {
	var pending []byte
	last := ""
	events, passed := 0, 0
	buffer := make([]byte, 4<<10)
	for {
		n, err := call.answer.Read(buffer)
		searched := max(len(pending)-1, 0)
		pending = append(pending, buffer[:n]...)
		complete := errors.Is(err, io.EOF) && call.answer.Complete()
		whole := wholeEvents(pending, searched)
		if complete {
			whole = len(pending)
		}
		if whole > 0 {
			events += bytes.Count(pending[:whole], eventEnd)
			if passed += whole; call.endless(events, passed) {
				return call.broken(errEndless, last)
			}
			if !call.passEvent(pending[:whole]) {
				return lwtrequestflow.CallerGone{}
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
			return call.broken(errEndless, last)
		}
	}
}

// eventEnd ends each event of a stream.
var eventEnd = []byte("\n\n")

// wholeEvents returns the length of the whole events at the start of pending, of
// which no event ends before searched.
func wholeEvents(pending []byte, searched int) int {
	if at := bytes.LastIndex(pending[searched:], eventEnd); at >= 0 {
		return searched + at + len(eventEnd)
	}
	return 0
}

// endless reports whether a stream is longer than the request asked for. Each
// event carries at least one token.
func (call *call) endless(events, bytes int) bool {
	asked := call.request.OutputTokens
	return bytes > maxAnswerBytes || asked > 0 && events > asked+spareEvents
}

func (call *call) endEvents() any {
	if !call.exchange.ResponseBegun() && !call.begin() {
		return lwtrequestflow.CallerGone{}
	}
	return call.end()
}

// begin sends the head of the first server's answer.
func (call *call) begin() bool {
	return call.exchange.BeginResponse(call.answer.Header.StatusCode(), call.answer.ForwardHeaders()) == nil
}

func (call *call) passEvent(events []byte) bool {
	call.prefillEnded()
	if !call.exchange.ResponseBegun() {
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

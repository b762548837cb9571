package lwtgateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtrequestflow"
	"lacewingtide/core/lwtretry"
	"lacewingtide/io/lwthttp"
)

// Limits of responses. A faulty server may send bytes without end.
const (
	// maxBufferedBodyBytes is the maximum size of a body that is buffered completely before
	// it is forwarded. Larger bodies are streamed.
	maxBufferedBodyBytes = 256 << 10
	// unreservedBodyBytes is the size of a body that needs no memory besides that of its request.
	unreservedBodyBytes = 8 << 10
	// maxResponseBytes is the maximum size of a response. It is far above any known response
	// size, and a small VM's link can transfer it within a caller's deadline.
	maxResponseBytes = 8 << 20
	// extraEvents is how many events a stream may have in addition to one per output token.
	extraEvents = 64
)

// statusError is the unexpected HTTP status of a response.
type statusError int

func (status statusError) Error() string { return fmt.Sprintf("unexpected status %d", int(status)) }

func newStatusError(status int) error { return statusError(status) }

// deliverResponse forwards the server's response to the caller.
func (call *call) deliverResponse() any {
	status := call.response.Header.StatusCode()
	message := call.forwardResponse()
	_, delivered := message.(lwtrequestflow.Delivered)
	if delivered {
		call.deliveredStatus = status
		call.endStream()
		if status < fasthttp.StatusMultipleChoices {
			call.recordAnswer()
		}
	} else {
		call.excludedServers[call.target.server.ID] = true
	}
	// Server errors count as failures: a server that fails requests quickly has a low
	// pending load and would be sent ever more of them.
	call.recordEnd(!delivered && call.context.Err() == nil || delivered && status >= fasthttp.StatusInternalServerError)
	return message
}

func (call *call) forwardResponse() any {
	status := call.response.Header.StatusCode()
	if call.exchange.ResponseBegun() && (status != fasthttp.StatusOK || !call.isEventStream()) {
		return lwtrequestflow.Failed{Outcome: lwtretry.Unknown, PartiallyDelivered: true, Reason: "resume-failed"}
	}
	if call.route.Streaming && status == fasthttp.StatusOK {
		return call.forwardEvents()
	}
	body, err := call.response.ReadAll(call.bufferedBodyLimit())
	switch {
	case errors.Is(err, lwthttp.ErrBodyTooLarge):
		return call.forwardBody(status, body)
	case err != nil:
		return call.deliveryFailure(err, "")
	}
	if err := call.exchange.Respond(status, call.response.ForwardHeaders(), body); err != nil {
		return lwtrequestflow.CallerDisconnected{}
	}
	return lwtrequestflow.Delivered{}
}

// bufferedBodyLimit returns the size up to which the body is buffered before it is forwarded. Without memory
// for it, the body is forwarded as it arrives: what a server has run is never given up for lack of memory.
func (call *call) bufferedBodyLimit() int {
	needed := maxBufferedBodyBytes
	if length := call.response.Length(); length >= 0 {
		needed = min(length, needed)
	}
	if needed <= unreservedBodyBytes || call.exchange.ReserveMemory(needed) {
		return maxBufferedBodyBytes
	}
	return unreservedBodyBytes
}

func (call *call) deliveryFailure(err error, lastEventID string) any {
	call.suspectCrash(call.target.server, err)
	message := call.attemptFailure(lwtretry.Unknown, "answer", err)
	if failed, ok := message.(lwtrequestflow.Failed); ok {
		failed.LastEventID = lastEventID
		if errors.Is(err, errResponseTooLong) {
			failed.Reason, failed.NotResumable = "answer-without-end", failed.PartiallyDelivered
		}
		return failed
	}
	return message
}

// errResponseTooLong reports a response beyond the size or event limit.
var errResponseTooLong = fmt.Errorf("response exceeds the limit of its bytes or events")

// forwardBody streams a large body to the caller. Prefix is the part already read.
func (call *call) forwardBody(status int, prefix []byte) any {
	if call.exchange.BeginResponse(status, call.response.ForwardHeaders()) != nil || call.exchange.Write(prefix) != nil {
		return lwtrequestflow.CallerDisconnected{}
	}
	buffer := make([]byte, 32<<10)
	for forwarded := len(prefix); ; {
		n, err := call.response.Read(buffer)
		if forwarded += n; forwarded > maxResponseBytes {
			return call.deliveryFailure(errResponseTooLong, "")
		}
		if n > 0 && call.exchange.Write(buffer[:n]) != nil {
			return lwtrequestflow.CallerDisconnected{}
		}
		if errors.Is(err, io.EOF) && call.response.Complete() {
			return call.endResponse()
		}
		if err != nil {
			return call.deliveryFailure(err, "")
		}
	}
}

func (call *call) endResponse() any {
	if call.exchange.EndResponse() != nil {
		return lwtrequestflow.CallerDisconnected{}
	}
	return lwtrequestflow.Delivered{}
}

// maxEventBytes is the maximum size of a single event.
const maxEventBytes = 1 << 20

// forwardEvents forwards a stream of events. Only complete events are forwarded, so that
// another server can resume the stream after the last one.
func (call *call) forwardEvents() any {
	var pending []byte
	lastID := ""
	forwarded := 0
	buffer := make([]byte, 4<<10)
	memory := eventShare{memory: call.gateway.eventMemory}
	defer memory.resize(0)
	for {
		n, err := call.response.Read(buffer)
		searched := max(len(pending)-maxTerminatorBytes+1, 0)
		var enough bool
		if pending, enough = memory.append(pending, buffer[:n]); !enough {
			return call.deliveryFailure(errEventMemoryExhausted, lastID)
		}
		complete := errors.Is(err, io.EOF) && call.response.Complete()
		completeLength := completeEventsLength(pending, searched)
		if complete && (len(bytes.TrimSpace(pending[completeLength:])) == 0 || !call.isEventStream()) {
			completeLength = len(pending)
		}
		if completeLength > 0 {
			forwarded += completeLength
			if failure := call.forwardCompleteEvents(pending[:completeLength], forwarded, lastID); failure != nil {
				return failure
			}
			lastID = lastEventID(pending[:completeLength], lastID)
			pending = keepIncomplete(pending, completeLength)
			memory.resize(cap(pending))
		}
		switch {
		case complete && len(pending) > 0:
			return call.deliveryFailure(errEndInsideEvent, lastID)
		case complete:
			return call.endEventStream()
		case err != nil:
			return call.deliveryFailure(err, lastID)
		case len(pending) > maxEventBytes:
			return call.deliveryFailure(errResponseTooLong, lastID)
		}
	}
}

// keepIncomplete returns the bytes after the complete events. A buffer that has grown for a long event is
// replaced.
func keepIncomplete(pending []byte, completeLength int) []byte {
	if cap(pending) > ownEventBytes {
		return bytes.Clone(pending[completeLength:])
	}
	return append(pending[:0], pending[completeLength:]...)
}

// forwardCompleteEvents forwards complete events. It returns the result of the delivery if this fails,
// otherwise nil. Forwarded is the number of bytes of the response including these, lastID the ID of the
// last event before.
func (call *call) forwardCompleteEvents(events []byte, forwarded int, lastID string) any {
	if call.attemptEvents == 0 {
		if !followsEvent(firstEventID(events), call.flow.LastEventID()) {
			return call.deliveryFailure(errEventRepeated, lastID)
		}
		call.firstEventAt = time.Now()
	}
	call.attemptEvents += countEvents(events)
	if call.exceedsLimits(forwarded) {
		return call.deliveryFailure(errResponseTooLong, lastID)
	}
	if !call.writeEvents(events) {
		return lwtrequestflow.CallerDisconnected{}
	}
	return nil
}

// errEndInsideEvent reports a stream of events that ended inside an event. The server has broken it
// off, whatever its framing says.
var errEndInsideEvent = fmt.Errorf("stream ended inside an event")

// isEventStream reports whether the response says that it is a stream of events.
func (call *call) isEventStream() bool {
	return bytes.HasPrefix(bytes.ToLower(call.response.Header.ContentType()), []byte("text/event-stream"))
}

// eventTerminators holds the byte sequences that end an event of a stream, the longest of
// maxTerminatorBytes.
var eventTerminators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\r\r")}

const maxTerminatorBytes = 4

// completeEventsLength returns the length in bytes of the complete events at the start of
// pending. The bytes before searched are known to contain no event terminator.
func completeEventsLength(pending []byte, searched int) (length int) {
	for _, terminator := range eventTerminators {
		if at := bytes.LastIndex(pending[searched:], terminator); at >= 0 {
			length = max(length, searched+at+len(terminator))
		}
	}
	return length
}

func countEvents(events []byte) (count int) {
	for _, terminator := range eventTerminators {
		count += bytes.Count(events, terminator)
	}
	return count
}

// exceedsLimits reports whether a stream exceeds the byte limit or has more events than the
// requested output tokens allow. Each event carries at least one token.
func (call *call) exceedsLimits(bytes int) bool {
	outputTokens := call.request.OutputTokens
	return bytes > maxResponseBytes || outputTokens > 0 && call.attemptEvents > outputTokens+extraEvents
}

func (call *call) endEventStream() any {
	if !call.exchange.ResponseBegun() && !call.beginResponse() {
		return lwtrequestflow.CallerDisconnected{}
	}
	return call.endResponse()
}

// beginResponse sends the status and headers of the first server's response.
func (call *call) beginResponse() bool {
	return call.exchange.BeginResponse(call.response.Header.StatusCode(), call.response.ForwardHeaders()) == nil
}

func (call *call) writeEvents(events []byte) bool {
	call.recordPrefillEnd()
	if !call.exchange.ResponseBegun() {
		call.beginStream()
		call.gateway.metrics.Observe("first-event", time.Since(call.exchange.Arrived))
		if !call.beginResponse() {
			return false
		}
	}
	call.lastEventAt = time.Now()
	return call.exchange.Write(events) == nil
}

// errEventRepeated reports a response that does not go on after the last event of the stream.
var errEventRepeated = fmt.Errorf("stream goes on at an event that its caller has already received")

// followsEvent reports whether an event with an ID may follow one with the ID previous. IDs that are not
// numbers tell nothing.
func followsEvent(id, previous string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true
	}
	previousNumber, err := strconv.ParseUint(previous, 10, 64)
	return err != nil || number > previousNumber
}

// firstEventID returns the ID of the first event that has one, or "".
func firstEventID(events []byte) string {
	for line := range bytes.Lines(events) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// lastEventID returns the ID of the last event that has one, or previous if none has.
func lastEventID(events []byte, previous string) string {
	last := previous
	for line := range bytes.Lines(events) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			last = string(bytes.TrimSpace(value))
		}
	}
	return last
}

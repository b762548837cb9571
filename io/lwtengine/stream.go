package lwtengine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"
)

// Event is one event of an engine's stream.
type Event struct {
	StreamID string
	// Offset is the number of the event in its stream, from 0.
	Offset uint64
	// Data is valid until the next call of Next.
	Data []byte
	// KeepAlive is set for a keep-alive, which has no other fields.
	KeepAlive bool
}

// Stream reads the events of one response. It is not safe for concurrent use.
type Stream struct {
	// load is the load report in the response's fields, in JSON.
	load []byte
	// release ends the exchange.
	release   func(now time.Time)
	reader    *bufio.Reader
	eventID   []byte
	eventData []byte
	streamID  string
	// longLine holds a line that is longer than the reader's buffer.
	longLine []byte
	// keepAlive is set by a comment line, which engines send as a keep-alive.
	keepAlive bool
}

const maxEventBytes = 256 << 10

var errEventTooLarge = fmt.Errorf("an event is over %d bytes", maxEventBytes)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

func newStream(body io.Reader, load []byte, release func(now time.Time)) *Stream {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(body)
	return &Stream{load: load, release: release, reader: reader}
}

// Load returns the load report in the response headers, or false if there is no valid one.
func (stream *Stream) Load() (Load, bool) {
	var load Load
	err := json.Unmarshal(stream.load, &load)
	return load, err == nil
}

// EndedStream returns a stream that is already closed.
func EndedStream() *Stream { return &Stream{} }

// Buffered reports whether unread bytes of the response have arrived. The stream must be open.
func (stream *Stream) Buffered() bool { return stream.reader.Buffered() > 0 }

// Close closes the stream. The engine keeps generating the response unless it is cancelled.
func (stream *Stream) Close() {
	if stream.reader == nil {
		return
	}
	stream.release(time.Now())
	stream.reader.Reset(nil)
	readers.Put(stream.reader)
	stream.reader = nil
}

// Next returns the next event. It returns ErrOutcomeUnknown if the connection is closed, makes
// no progress for ProgressTimeout, or sends an invalid event.
func (stream *Stream) Next() (Event, error) {
	if stream.reader == nil {
		return Event{}, fmt.Errorf("%w: the stream is closed", ErrOutcomeUnknown)
	}
	stream.eventID, stream.eventData, stream.keepAlive = stream.eventID[:0], stream.eventData[:0], false
	for {
		line, err := stream.readLine()
		if err != nil {
			return Event{}, fmt.Errorf("%w: read event: %w", ErrOutcomeUnknown, err)
		}
		switch {
		case len(line) > 0:
			stream.parseField(line)
			if len(stream.eventData) > maxEventBytes {
				return Event{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, errEventTooLarge)
			}
		case len(stream.eventData) > 0:
			return stream.buildEvent()
		case stream.keepAlive:
			return Event{KeepAlive: true}, nil
		}
	}
}

// readLine returns the next line without its line ending. Only lines longer than the reader's
// buffer are copied.
func (stream *Stream) readLine() ([]byte, error) {
	stream.longLine = stream.longLine[:0]
	for {
		chunk, err := stream.reader.ReadSlice('\n')
		complete := err == nil
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if complete && len(stream.longLine) == 0 {
			return bytes.TrimRight(chunk, "\r\n"), nil
		}
		if stream.longLine = append(stream.longLine, chunk...); len(stream.longLine) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if complete {
			return bytes.TrimRight(stream.longLine, "\r\n"), nil
		}
	}
}

func (stream *Stream) parseField(line []byte) {
	if id, found := bytes.CutPrefix(line, []byte("id: ")); found {
		stream.eventID = append(stream.eventID[:0], id...)
	} else if data, found := bytes.CutPrefix(line, []byte("data: ")); found {
		stream.eventData = append(stream.eventData, data...)
	} else if line[0] == ':' {
		stream.keepAlive = true
	}
}

// buildEvent splits the event ID, STREAM/OFFSET, and returns the event.
func (stream *Stream) buildEvent() (Event, error) {
	slash := bytes.LastIndexByte(stream.eventID, '/')
	if slash < 0 {
		return Event{}, fmt.Errorf("%w: event without id", ErrOutcomeUnknown)
	}
	offset, err := strconv.ParseUint(string(stream.eventID[slash+1:]), 10, 64)
	if err != nil {
		return Event{}, fmt.Errorf("%w: event id %q", ErrOutcomeUnknown, stream.eventID)
	}
	if stream.streamID != string(stream.eventID[:slash]) {
		stream.streamID = string(stream.eventID[:slash])
	}
	return Event{StreamID: stream.streamID, Offset: offset, Data: stream.eventData}, nil
}

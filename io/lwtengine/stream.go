package lwtengine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"
)

// Event is one event of an engine's stream. Data is valid until the next call
// of Next.
type Event struct {
	StreamID string
	Offset   uint64
	Data     []byte
	// KeepAlive says that the event is only a keep-alive of the engine.
	KeepAlive bool
}

// Stream reads the events of one answer.
type Stream struct {
	response *fasthttp.Response
	reader   *bufio.Reader
	id       []byte
	data     []byte
	stream   string
	// long holds a line that exceeds the reader's buffer.
	long []byte
	// alive is set by a comment, which engines send as a keep-alive.
	alive bool
}

const maxEventBytes = 256 << 10

var errEventSize = fmt.Errorf("an event is over %d bytes", maxEventBytes)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

func newStream(response *fasthttp.Response) *Stream {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(response.BodyStream())
	return &Stream{response: response, reader: reader}
}

// Load returns the load report that came with the answer.
func (stream *Stream) Load() (Load, bool) {
	var load Load
	err := json.Unmarshal(stream.response.Header.Peek("Engine-Load"), &load)
	return load, err == nil
}

// EndedStream returns a stream that has ended.
func EndedStream() *Stream { return &Stream{} }

// Buffered reports whether more of the answer has arrived already.
func (stream *Stream) Buffered() bool { return stream.reader.Buffered() > 0 }

// Close ends the reading. The engine goes on with the answer unless cancelled.
func (stream *Stream) Close() {
	if stream.reader == nil {
		return
	}
	closeResponse(stream.response)
	stream.reader.Reset(nil)
	readers.Put(stream.reader)
	stream.reader = nil
}

// Next returns the next event. It returns ErrUnknown when the connection ends
// or stays silent for ProgressTimeout.
func (stream *Stream) Next() (Event, error) {
	if stream.reader == nil {
		return Event{}, fmt.Errorf("%w: the stream is closed", ErrOutcomeUnknown)
	}
	stream.id, stream.data, stream.alive = stream.id[:0], stream.data[:0], false
	for {
		line, err := stream.readLine()
		if err != nil {
			return Event{}, fmt.Errorf("%w: read event: %w", ErrOutcomeUnknown, err)
		}
		switch {
		case len(line) > 0:
			stream.field(line)
			if len(stream.data) > maxEventBytes {
				return Event{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, errEventSize)
			}
		case len(stream.data) > 0:
			return stream.event()
		case stream.alive:
			return Event{KeepAlive: true}, nil
		}
	}
}

// readLine returns the next line without its end. Only lines longer than the
// reader's buffer are copied.
func (stream *Stream) readLine() ([]byte, error) {
	stream.long = stream.long[:0]
	for {
		part, err := stream.reader.ReadSlice('\n')
		whole := err == nil
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if whole && len(stream.long) == 0 {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		if stream.long = append(stream.long, part...); len(stream.long) > maxEventBytes {
			return nil, errEventSize
		}
		if whole {
			return bytes.TrimRight(stream.long, "\r\n"), nil
		}
	}
}

func (stream *Stream) field(line []byte) {
	if id, found := bytes.CutPrefix(line, []byte("id: ")); found {
		stream.id = append(stream.id[:0], id...)
	} else if data, found := bytes.CutPrefix(line, []byte("data: ")); found {
		stream.data = append(stream.data, data...)
	} else if line[0] == ':' {
		stream.alive = true
	}
}

func (stream *Stream) event() (Event, error) {
	slash := bytes.LastIndexByte(stream.id, '/')
	if slash < 0 {
		return Event{}, fmt.Errorf("%w: event without id", ErrOutcomeUnknown)
	}
	offset, err := strconv.ParseUint(string(stream.id[slash+1:]), 10, 64)
	if err != nil {
		return Event{}, fmt.Errorf("%w: event id %q", ErrOutcomeUnknown, stream.id)
	}
	if stream.stream != string(stream.id[:slash]) {
		stream.stream = string(stream.id[:slash])
	}
	return Event{StreamID: stream.stream, Offset: offset, Data: stream.data}, nil
}

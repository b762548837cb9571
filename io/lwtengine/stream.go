package lwtengine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"
)

// Event is one event of an engine's stream. Data is valid until the next call
// of Next.
type Event struct {
	Stream string
	Offset uint64
	Data   []byte
}

// Stream reads the events of one answer.
type Stream struct {
	response *fasthttp.Response
	reader   *bufio.Reader
	id       []byte
	data     []byte
	stream   string
	// keepAlive is called at each comment, which engines send as a sign of life.
	keepAlive func()
}

const maxEventBytes = 256 << 10

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

// NoStream returns a stream that has ended.
func NoStream() *Stream { return &Stream{} }

// SetKeepAlive sets what Next calls at each sign of life of the engine.
func (stream *Stream) SetKeepAlive(keepAlive func()) { stream.keepAlive = keepAlive }

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
		return Event{}, fmt.Errorf("%w: the stream is closed", ErrUnknown)
	}
	stream.id, stream.data = stream.id[:0], stream.data[:0]
	for {
		line, err := stream.reader.ReadSlice('\n')
		if err != nil {
			return Event{}, fmt.Errorf("%w: read event: %w", ErrUnknown, err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && len(stream.data) > 0 {
			return stream.event()
		}
		if err := stream.field(line); err != nil {
			return Event{}, err
		}
	}
}

func (stream *Stream) field(line []byte) error {
	if id, found := bytes.CutPrefix(line, []byte("id: ")); found {
		stream.id = append(stream.id[:0], id...)
	} else if data, found := bytes.CutPrefix(line, []byte("data: ")); found {
		stream.data = append(stream.data, data...)
	} else if len(line) > 0 && line[0] == ':' && stream.keepAlive != nil {
		stream.keepAlive()
	}
	if len(stream.data) > maxEventBytes {
		return fmt.Errorf("%w: event over %d bytes", ErrUnknown, maxEventBytes)
	}
	return nil
}

func (stream *Stream) event() (Event, error) {
	slash := bytes.LastIndexByte(stream.id, '/')
	if slash < 0 {
		return Event{}, fmt.Errorf("%w: event without id", ErrUnknown)
	}
	offset, err := strconv.ParseUint(string(stream.id[slash+1:]), 10, 64)
	if err != nil {
		return Event{}, fmt.Errorf("%w: event id %q", ErrUnknown, stream.id)
	}
	if stream.stream != string(stream.id[:slash]) {
		stream.stream = string(stream.id[:slash])
	}
	return Event{Stream: stream.stream, Offset: offset, Data: stream.data}, nil
}

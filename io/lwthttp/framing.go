// Package lwthttp is an HTTP/1.1 server for callers and a client with a connection pool for
// backend servers. It validates the framing of every message completely and detects when
// either side disconnects. Headers are parsed by fasthttp.
package lwthttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// Errors of reading messages.
var (
	// ErrMalformed reports bytes that are not a valid HTTP message.
	ErrMalformed = fmt.Errorf("malformed message")
	// ErrBodyTooLarge reports a body above the size limit.
	ErrBodyTooLarge = fmt.Errorf("body too large")
	// ErrIncomplete reports a body that ended earlier than its framing specifies.
	ErrIncomplete = fmt.Errorf("incomplete body")
)

// framing says how the end of a body is determined.
type framing struct {
	// length is the size of the body in bytes, lengthChunked or lengthUntilClose.
	length int
}

const (
	lengthChunked    = -1
	lengthUntilClose = -2
	// maxTrailerBytes is the maximum size of the trailer after the last chunk.
	maxTrailerBytes = 4096
)

// requestFraming determines the framing of a request from its raw field lines. Ambiguous framing
// is an error, because a backend server could parse the request differently from this daemon
// (request smuggling).
func requestFraming(raw []byte) (framing, error) {
	var fields framingFields
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		if err := fields.addLine(line); err != nil {
			return framing{}, err
		}
	}
	return fields.framing(0)
}

// framingFields holds the values of the fields that determine the framing of a message.
type framingFields struct{ lengths, encodings []string }

// addLine validates a field line and keeps its value if it determines the framing. A name with
// whitespace or control characters, or a folded line, is an error: recipients differ in how they
// read them.
func (fields *framingFields) addLine(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return fmt.Errorf("%w: invalid name in field line %q", ErrMalformed, excerpt(line))
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return fmt.Errorf("%w: control character in field line %q", ErrMalformed, excerpt(line))
	}
	switch {
	case strings.EqualFold(string(name), fasthttp.HeaderContentLength):
		fields.lengths = append(fields.lengths, string(bytes.Trim(value, " \t")))
	case strings.EqualFold(string(name), fasthttp.HeaderTransferEncoding):
		fields.encodings = append(fields.encodings, strings.ToLower(string(bytes.Trim(value, " \t"))))
	}
	return nil
}

// framing returns the framing that the fields declare, or the length undeclared if there are none.
func (fields *framingFields) framing(undeclared int) (framing, error) {
	switch {
	case len(fields.lengths)+len(fields.encodings) > 1:
		return framing{}, fmt.Errorf("%w: more than one Content-Length or Transfer-Encoding field", ErrMalformed)
	case len(fields.encodings) == 1 && fields.encodings[0] != "chunked":
		return framing{}, fmt.Errorf("%w: unsupported Transfer-Encoding %q", ErrMalformed, excerpt(fields.encodings[0]))
	case len(fields.encodings) == 1:
		return framing{length: lengthChunked}, nil
	case len(fields.lengths) == 0:
		return framing{length: undeclared}, nil
	}
	length, err := strconv.ParseUint(fields.lengths[0], 10, 31)
	if err != nil {
		return framing{}, fmt.Errorf("%w: invalid Content-Length %q", ErrMalformed, excerpt(fields.lengths[0]))
	}
	return framing{length: int(length)}, nil
}

// maxExcerptBytes is the maximum size of a peer's bytes in an error.
const maxExcerptBytes = 64

func excerpt[Text ~string | ~[]byte](text Text) Text { return text[:min(len(text), maxExcerptBytes)] }

// minChunkedBodyBytes is the size of the first buffer for a body in chunks.
const minChunkedBodyBytes = 4 << 10

// readBody reads a whole body. It returns ErrBodyTooLarge if the body has more than limit bytes. The
// memory for a body with a length has been reserved; for one in chunks, it is reserved as the body grows.
func readBody(source *body, limit int, memory *reservation) ([]byte, error) {
	length := source.framing.length
	switch {
	case length == 0:
		return nil, nil
	case length > limit:
		return nil, ErrBodyTooLarge
	case length > 0:
		content := make([]byte, length)
		if _, err := io.ReadFull(source, content); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		return content, nil
	}
	var content []byte
	for {
		if len(content) == cap(content) {
			grown := min(max(2*cap(content), minChunkedBodyBytes), limit+1)
			if !memory.grow(grown - cap(content)) {
				return nil, ErrMemoryExhausted
			}
			content = append(make([]byte, 0, grown), content...)
		}
		n, err := source.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch {
		case len(content) > limit:
			return nil, ErrBodyTooLarge
		case errors.Is(err, io.EOF) && source.complete:
			return content, nil
		case err != nil:
			return nil, err
		}
	}
}

// body reads the body of one message. It returns io.EOF only if the body is complete.
type body struct {
	reader    *bufio.Reader
	framing   framing
	chunks    io.Reader
	remaining int
	complete  bool
}

func newBody(reader *bufio.Reader, framing framing) *body {
	body := &body{reader: reader, framing: framing, remaining: framing.length}
	if framing.length == lengthChunked {
		body.chunks = httputil.NewChunkedReader(reader)
	}
	return body
}

// Read implements io.Reader.
func (body *body) Read(into []byte) (int, error) {
	switch {
	case body.complete:
		return 0, io.EOF
	case body.framing.length == lengthChunked:
		return body.readChunked(into)
	case body.framing.length == lengthUntilClose:
		n, err := body.reader.Read(into)
		body.complete = errors.Is(err, io.EOF)
		return n, err
	case body.remaining == 0:
		body.complete = true
		return 0, io.EOF
	}
	n, err := body.reader.Read(into[:min(len(into), body.remaining)])
	body.remaining -= n
	if errors.Is(err, io.EOF) {
		return n, ErrIncomplete
	}
	return n, err
}

func (body *body) readChunked(into []byte) (int, error) {
	n, err := body.chunks.Read(into)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := skipTrailer(body.reader); err != nil {
		return n, err
	}
	body.complete = true
	return n, io.EOF
}

// skipTrailer reads the field lines after the last chunk. They are not used, but must be valid.
func skipTrailer(reader *bufio.Reader) error {
	var fields framingFields
	for read := 0; read <= maxTrailerBytes; {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		read += len(line)
		line, found := bytes.CutSuffix(line, []byte("\r\n"))
		switch {
		case !found:
			return fmt.Errorf("%w: trailer line %q does not end with CRLF", ErrMalformed, excerpt(line))
		case len(line) == 0:
			return nil
		}
		if err := fields.addLine(line); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: trailer has more than %d bytes", ErrMalformed, maxTrailerBytes)
}

// AppendChunk appends content as one chunk of a chunked body. Empty content ends the body.
func AppendChunk(into, content []byte) []byte {
	into = strconv.AppendInt(into, int64(len(content)), 16)
	into = append(into, "\r\n"...)
	into = append(into, content...)
	return append(into, "\r\n"...)
}

// isHopByHopHeader reports whether a header must not be forwarded, because it is specific to
// one connection or is set by this package. Name is in lower case.
func isHopByHopHeader(name string) bool {
	switch name {
	case "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "host", "expect":
		return true
	}
	return false
}

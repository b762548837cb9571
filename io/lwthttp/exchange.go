package lwthttp

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Exchange is a caller's request and the response to it. A response is sent either completely
// by Respond, or in parts by BeginResponse, Write and EndResponse.
type Exchange struct {
	Header  fasthttp.RequestHeader
	Body    []byte
	Arrived time.Time

	conn net.Conn
	// memory is what the request has reserved.
	memory *reservation
	// unread is the rest of a body for which there is no memory.
	unread  io.Reader
	context context.Context
	cancel  context.CancelFunc
	// closeAfterResponse says that the connection is closed after the response.
	closeAfterResponse bool
	responseBegun      bool
	responseEnded      bool
	chunked            bool
	scratch            []byte
}

// Context returns the context of the request. It is canceled when the caller disconnects.
func (exchange *Exchange) Context() context.Context { return exchange.context }

// ReserveMemory reports whether there is memory for so many more bytes until the exchange ends, and if
// so reserves them.
func (exchange *Exchange) ReserveMemory(bytes int) bool { return exchange.memory.grow(bytes) }

// ResponseBegun reports whether any part of a response was sent.
func (exchange *Exchange) ResponseBegun() bool { return exchange.responseBegun }

// SetConnectionClose makes the server close the connection after this response.
func (exchange *Exchange) SetConnectionClose() { exchange.closeAfterResponse = true }

// Respond sends a complete response. Head holds the header lines, each ending with CRLF,
// without Transfer-Encoding and, unless the request is a HEAD request, without Content-Length.
func (exchange *Exchange) Respond(status int, head, body []byte) error {
	buffer := exchange.appendHead(exchange.scratch[:0], status, head)
	hasBody := !exchange.Header.IsHead() && !statusHasNoBody(status)
	if hasBody {
		buffer = append(buffer, "Content-Length: "...)
		buffer = strconv.AppendInt(buffer, int64(len(body)), 10)
		buffer = append(buffer, "\r\n"...)
	}
	buffer = append(buffer, "\r\n"...)
	if hasBody {
		buffer = append(buffer, body...)
	}
	exchange.scratch = buffer
	exchange.responseBegun = true
	if err := exchange.write(buffer); err != nil {
		return err
	}
	exchange.responseEnded = true
	return nil
}

// BeginResponse sends the head of a response whose body follows in chunks. Head is as in
// Respond.
func (exchange *Exchange) BeginResponse(status int, head []byte) error {
	buffer := exchange.appendHead(exchange.scratch[:0], status, head)
	exchange.chunked = true
	buffer = append(buffer, "Transfer-Encoding: chunked\r\n\r\n"...)
	exchange.scratch = buffer
	exchange.responseBegun = true
	return exchange.write(buffer)
}

// Write sends a part of the body as one chunk.
func (exchange *Exchange) Write(piece []byte) error {
	if len(piece) == 0 || exchange.Header.IsHead() {
		return nil
	}
	exchange.scratch = AppendChunk(exchange.scratch[:0], piece)
	return exchange.write(exchange.scratch)
}

// EndResponse completes a response that was begun by BeginResponse.
func (exchange *Exchange) EndResponse() error {
	if !exchange.Header.IsHead() {
		exchange.scratch = AppendChunk(exchange.scratch[:0], nil)
		if err := exchange.write(exchange.scratch); err != nil {
			return err
		}
	}
	exchange.responseEnded = true
	return nil
}

func (exchange *Exchange) appendHead(buffer []byte, status int, head []byte) []byte {
	buffer = append(buffer, "HTTP/1.1 "...)
	buffer = strconv.AppendInt(buffer, int64(status), 10)
	buffer = append(buffer, ' ')
	buffer = append(buffer, fasthttp.StatusMessage(status)...)
	buffer = append(buffer, "\r\n"...)
	buffer = append(buffer, head...)
	if exchange.closeAfterResponse {
		buffer = append(buffer, "Connection: close\r\n"...)
	}
	return buffer
}

// writeTimeout is the timeout of one write to a caller, which may not be reading.
const writeTimeout = 10 * time.Second

func (exchange *Exchange) write(buffer []byte) error {
	if err := exchange.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if _, err := exchange.conn.Write(buffer); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// statusHasNoBody reports whether responses with a status never have a body.
func statusHasNoBody(status int) bool { return status == 204 || status == 304 || status < 200 }

// ForwardHeaders returns the header lines to forward to a backend server: all but hop-by-hop
// headers and those for which skip returns true. Skip receives the name in lower case. Each
// line ends with CRLF.
func (exchange *Exchange) ForwardHeaders(skip func(name string) bool) []byte {
	connectionNamed := connectionTokens(Field(&exchange.Header, "Connection"))
	head := make([]byte, 0, len(exchange.Header.RawHeaders())+64)
	for line := range bytes.Lines(exchange.Header.RawHeaders()) {
		name, _, found := bytes.Cut(line, []byte(":"))
		lower := strings.ToLower(string(name))
		if !found || isHopByHopHeader(lower) || connectionNamed[lower] || skip(lower) {
			continue
		}
		head = append(head, bytes.TrimRight(line, "\r\n")...)
		head = append(head, "\r\n"...)
	}
	return head
}

// connectionTokens returns the header names, in lower case, that a Connection header lists.
func connectionTokens(value []byte) map[string]bool {
	if len(value) == 0 {
		return nil
	}
	tokens := map[string]bool{}
	for _, token := range strings.Split(string(value), ",") {
		tokens[strings.ToLower(strings.TrimSpace(token))] = true
	}
	return tokens
}

// AppendRequestHead appends the start of the request to a backend server: the request line,
// Host and, if there may be a body, Content-Length.
func (exchange *Exchange) AppendRequestHead(into []byte) []byte {
	into = append(into, exchange.Header.Method()...)
	into = append(into, ' ')
	into = append(into, exchange.Header.RequestURI()...)
	into = append(into, " HTTP/1.1\r\nHost: "...)
	into = append(into, exchange.Header.Host()...)
	into = append(into, "\r\n"...)
	if len(exchange.Body) > 0 || !methodHasNoBody(exchange.Header.Method()) {
		into = append(into, "Content-Length: "...)
		into = strconv.AppendInt(into, int64(len(exchange.Body)), 10)
		into = append(into, "\r\n"...)
	}
	return into
}

func methodHasNoBody(method []byte) bool {
	return string(method) == fasthttp.MethodGet || string(method) == fasthttp.MethodHead
}

// watchCaller waits for the next byte from the caller or the end of the connection. In the
// latter case, it cancels the context of the exchange. It sends the result to nextByte.
func (exchange *Exchange) watchCaller(reader *bufio.Reader, nextByte chan<- error) {
	_, err := reader.Peek(1)
	if err != nil {
		exchange.cancel()
	}
	nextByte <- err
}

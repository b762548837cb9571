package lwthttp

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Exchange is one request of a caller and the answer to it. An answer is sent
// either whole by Answer, or piece by piece by Begin, Write and End.
type Exchange struct {
	Header  fasthttp.RequestHeader
	Body    []byte
	Arrived time.Time

	conn    net.Conn
	context context.Context
	cancel  context.CancelFunc
	// closing says that the connection is to be closed after the answer.
	closing bool
	begun   bool
	ended   bool
	chunked bool
	scratch []byte
}

// Context ends when the caller leaves.
func (exchange *Exchange) Context() context.Context { return exchange.context }

// ResponseBegun reports whether a part of an answer was sent.
func (exchange *Exchange) ResponseBegun() bool { return exchange.begun }

// SetConnectionClose makes the connection end after this answer.
func (exchange *Exchange) SetConnectionClose() { exchange.closing = true }

// Respond sends a whole answer. Head holds header lines, each with its line end,
// without those that frame the body.
func (exchange *Exchange) Respond(status int, head, body []byte) error {
	buffer := exchange.appendHead(exchange.scratch[:0], status, head)
	if !bodiless(status) {
		buffer = append(buffer, "Content-Length: "...)
		buffer = strconv.AppendInt(buffer, int64(len(body)), 10)
		buffer = append(buffer, "\r\n"...)
	}
	buffer = append(buffer, "\r\n"...)
	if !exchange.Header.IsHead() && !bodiless(status) {
		buffer = append(buffer, body...)
	}
	exchange.scratch = buffer
	exchange.begun = true
	if err := exchange.write(buffer); err != nil {
		return err
	}
	exchange.ended = true
	return nil
}

// BeginResponse sends the head of an answer whose body follows in pieces.
func (exchange *Exchange) BeginResponse(status int, head []byte) error {
	buffer := exchange.appendHead(exchange.scratch[:0], status, head)
	exchange.chunked = true
	buffer = append(buffer, "Transfer-Encoding: chunked\r\n\r\n"...)
	exchange.scratch = buffer
	exchange.begun = true
	return exchange.write(buffer)
}

// Write sends a piece of the body.
func (exchange *Exchange) Write(piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	exchange.scratch = AppendChunk(exchange.scratch[:0], piece)
	return exchange.write(exchange.scratch)
}

// EndResponse completes an answer that was sent in pieces.
func (exchange *Exchange) EndResponse() error {
	exchange.scratch = AppendChunk(exchange.scratch[:0], nil)
	if err := exchange.write(exchange.scratch); err != nil {
		return err
	}
	exchange.ended = true
	return nil
}

func (exchange *Exchange) appendHead(buffer []byte, status int, head []byte) []byte {
	buffer = append(buffer, "HTTP/1.1 "...)
	buffer = strconv.AppendInt(buffer, int64(status), 10)
	buffer = append(buffer, ' ')
	buffer = append(buffer, fasthttp.StatusMessage(status)...)
	buffer = append(buffer, "\r\n"...)
	buffer = append(buffer, head...)
	if exchange.closing {
		buffer = append(buffer, "Connection: close\r\n"...)
	}
	return buffer
}

// writeTimeout bounds one write to a caller that does not read.
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

// bodiless reports whether answers with a status never have a body.
func bodiless(status int) bool { return status == 204 || status == 304 || status < 200 }

// ForwardHeaders returns the header lines that are passed on to a backend server,
// without the request line, the framing, and the headers for which skip
// returns true. Skip gets the name in lower case.
func (exchange *Exchange) ForwardHeaders(skip func(name string) bool) []byte {
	named := connectionTokens(exchange.Header.Peek("Connection"))
	head := make([]byte, 0, len(exchange.Header.RawHeaders())+64)
	for line := range bytes.Lines(exchange.Header.RawHeaders()) {
		name, _, found := bytes.Cut(line, []byte(":"))
		lower := strings.ToLower(string(name))
		if !found || connectionHeader(lower) || named[lower] || skip(lower) {
			continue
		}
		head = append(head, bytes.TrimRight(line, "\r\n")...)
		head = append(head, "\r\n"...)
	}
	return head
}

// connectionTokens returns the headers that a Connection header names.
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

// AppendRequestHead appends the start of a request to a backend server: the request
// line of a caller's request and the framing of its body.
func (exchange *Exchange) AppendRequestHead(into []byte) []byte {
	into = append(into, exchange.Header.Method()...)
	into = append(into, ' ')
	into = append(into, exchange.Header.RequestURI()...)
	into = append(into, " HTTP/1.1\r\nHost: "...)
	into = append(into, exchange.Header.Host()...)
	into = append(into, "\r\n"...)
	if len(exchange.Body) > 0 || !bodilessMethod(exchange.Header.Method()) {
		into = append(into, "Content-Length: "...)
		into = strconv.AppendInt(into, int64(len(exchange.Body)), 10)
		into = append(into, "\r\n"...)
	}
	return into
}

func bodilessMethod(method []byte) bool {
	return string(method) == fasthttp.MethodGet || string(method) == fasthttp.MethodHead
}

// watch cancels the exchange when the caller leaves. It returns when the next
// byte of the caller has arrived or the connection has ended.
func (exchange *Exchange) watch(reader *bufio.Reader, seen chan<- error) {
	_, err := reader.Peek(1)
	if err != nil {
		exchange.cancel()
	}
	seen <- err
}

package lwthttp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// Response is a backend server's response whose head has been read and whose body has not.
type Response struct {
	Header fasthttp.ResponseHeader
	conn   *Conn
	body   *body
	// written receives the result of writing the request concurrently. It is nil if the request
	// was written before the response was read, or if the result has been received.
	written chan writeResult
	// stopCancel stops closing the connection when the context is canceled.
	stopCancel func() bool
	// toHead says that the request has the method HEAD, so that the response has no body.
	toHead bool
	// reusable says that the server keeps the connection open.
	reusable bool
	released bool
}

// writeResult is the result of writing a request.
type writeResult struct {
	bytes int64
	err   error
}

// minConcurrentBodyBytes is the size from which a request body is written while the response
// is read, because a server may respond before it has read the whole body.
const minConcurrentBodyBytes = 32 << 10

// Limits of the stale responses that are skipped before the response to the request.
const (
	// maxStaleResponses is the maximum number of responses to earlier requests.
	maxStaleResponses = 2
	// maxStaleBodyBytes is the maximum size of each one's body. Beyond it, a new connection
	// is cheaper.
	maxStaleBodyBytes = 64 << 10
)

// ErrAmbiguousResponse reports a response that may belong to an earlier request.
var ErrAmbiguousResponse = fmt.Errorf("the response may belong to an earlier request")

// ResponseMatch says which request a response belongs to.
type ResponseMatch int

// Values of ResponseMatch.
const (
	// OwnResponse is the response to the request that was sent.
	OwnResponse ResponseMatch = iota
	// StaleResponse is the response to an earlier request. It is skipped.
	StaleResponse
	// AmbiguousResponse may be either. The outcome of the request is then unknown.
	AmbiguousResponse
)

// MatchAny takes any response for the response to the request. It is for servers whose responses name no
// request and that send none late.
func MatchAny(*fasthttp.ResponseHeader) ResponseMatch { return OwnResponse }

// RoundTrip writes a request and reads the head of its response. The whole exchange must end
// before the deadline. If ctx is canceled before Release, the connection is closed. Match
// reports which request a response belongs to. On an error, the connection is closed; the
// error is ErrNotSent if no byte was written.
func (conn *Conn) RoundTrip(
	ctx context.Context, head, body []byte, deadline time.Time, match func(*fasthttp.ResponseHeader) ResponseMatch,
) (*Response, error) {
	response := &Response{
		conn: conn, stopCancel: context.AfterFunc(ctx, conn.Close), toHead: bytes.HasPrefix(head, []byte(fasthttp.MethodHead+" ")),
	}
	if err := response.roundTrip(head, body, deadline, match); err != nil {
		response.stopCancel()
		conn.Close()
		return nil, err
	}
	return response, nil
}

func (response *Response) roundTrip(
	head, body []byte, deadline time.Time, match func(*fasthttp.ResponseHeader) ResponseMatch,
) error {
	conn := response.conn
	if err := conn.conn.SetDeadline(deadline); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if len(body) < minConcurrentBodyBytes {
		if n, err := conn.conn.Write(append(head, body...)); err != nil {
			return writeError(n, err)
		}
	} else {
		written := make(chan writeResult, 1)
		response.written = written
		go func() {
			n, err := (&net.Buffers{head, body}).WriteTo(conn.conn)
			written <- writeResult{bytes: n, err: err}
		}()
	}
	err := response.readHead(match)
	if err != nil && response.written != nil {
		if result := response.endWrite(); result.bytes == 0 && result.err != nil {
			return writeError(0, result.err)
		}
	}
	return err
}

// endWrite ends a write in progress by closing the connection, and returns its result.
func (response *Response) endWrite() writeResult {
	response.conn.Close()
	result := <-response.written
	response.written = nil
	return result
}

func writeError(written int, err error) error {
	if written == 0 {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("send request: %w", err)
}

func (response *Response) readHead(match func(*fasthttp.ResponseHeader) ResponseMatch) error {
	for range maxStaleResponses + 1 {
		framing, err := response.conn.readHead(&response.Header)
		if err != nil {
			return fmt.Errorf("read response head: %w", err)
		}
		status := response.Header.StatusCode()
		if status < 200 {
			continue
		}
		if response.toHead || statusHasNoBody(status) {
			framing.length = 0
		}
		response.body = newBody(response.conn.reader, framing)
		switch match(&response.Header) {
		case OwnResponse:
			response.reusable = !response.Header.ConnectionClose() && !response.conn.grown
			response.recordKeepAlive()
			return nil
		case AmbiguousResponse:
			return ErrAmbiguousResponse
		}
		if err := response.skipBody(); err != nil {
			return fmt.Errorf("read stale response: %w", err)
		}
	}
	return fmt.Errorf("%w: more than %d stale responses", ErrMalformed, maxStaleResponses)
}

// readHead reads a head. One that exceeds the buffer of the connection gets a larger one.
func (conn *Conn) readHead(header *fasthttp.ResponseHeader) (framing, error) {
	framing, err := readHead(conn.reader, header)
	if errors.Is(err, errHeadTooLarge) && !conn.grown {
		conn.grown = true
		conn.reader = bufio.NewReaderSize(conn.reader, maxHeadBytes)
		return readHead(conn.reader, header)
	}
	return framing, err
}

// skipBody discards the body of a stale response.
func (response *Response) skipBody() error {
	if _, err := io.CopyN(io.Discard, response.body, maxStaleBodyBytes); !errors.Is(err, io.EOF) {
		return errors.Join(ErrBodyTooLarge, err)
	}
	return nil
}

// recordKeepAlive sets the idle timeout of the connection from the Keep-Alive header.
func (response *Response) recordKeepAlive() {
	for _, parameter := range strings.Split(string(Field(&response.Header, "Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" {
			response.conn.keepAlive = max(time.Duration(seconds)*time.Second-serverKeepAliveMargin, 0)
		}
	}
}

// Read reads the body. It returns io.EOF only when the body is complete.
func (response *Response) Read(into []byte) (int, error) {
	n, err := response.body.Read(into)
	if errors.Is(err, io.EOF) && response.body.framing.length == lengthUntilClose {
		if resetErr := response.checkOrderlyEnd(); resetErr != nil {
			response.body.complete = false
			return n, resetErr
		}
	}
	return n, err
}

// checkOrderlyEnd returns ErrIncomplete if the server has reset the connection at whose end of file
// a body without a length ends. The kernel reports a reset once. If the request body is still being
// written, the write may have received the error, and the read then sees an end of file. A write that
// fails after the server has closed its side gets EPIPE.
func (response *Response) checkOrderlyEnd() error {
	if response.written == nil {
		return nil
	}
	err := response.endWrite().err
	if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrIncomplete, err)
}

// Length returns the size of the body in bytes, or -1 if the response does not declare it.
func (response *Response) Length() int { return max(response.body.framing.length, -1) }

// Complete reports whether the whole body has been read.
func (response *Response) Complete() bool { return response.body.complete }

// ReadAll reads the whole body. If it has more than limit bytes, ReadAll returns the first
// limit+1 bytes and ErrBodyTooLarge; the rest can still be read.
func (response *Response) ReadAll(limit int) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(response, int64(limit)+1))
	if err != nil {
		return content, err
	}
	if len(content) > limit {
		return content, ErrBodyTooLarge
	}
	return content, nil
}

// SetDeadline replaces the deadline that was given to RoundTrip.
func (response *Response) SetDeadline(deadline time.Time) {
	// An error means that the connection is closed; the next read returns it.
	_ = response.conn.conn.SetDeadline(deadline)
}

// CloseConnection releases the response and closes the connection.
func (response *Response) CloseConnection() {
	response.reusable = false
	response.Release(time.Time{})
}

// Release ends the exchange. The connection returns to the pool if the request was written and
// the response read completely, nothing follows the response, and the server keeps the
// connection open. Otherwise it is closed. Calls after the first have no effect.
func (response *Response) Release(now time.Time) {
	if response.released {
		return
	}
	response.released = true
	stopped := response.stopCancel()
	if stopped && response.reusable && response.body.complete && response.requestWritten() &&
		response.body.framing.length != lengthUntilClose &&
		response.conn.reader.Buffered() == 0 && response.conn.conn.SetDeadline(time.Time{}) == nil {
		response.conn.returnToPool(now)
		return
	}
	response.conn.Close()
}

// requestWritten reports whether the whole request has been written.
func (response *Response) requestWritten() bool {
	if response.written == nil {
		return true
	}
	select {
	case result := <-response.written:
		return result.err == nil
	default:
		return false
	}
}

// ForwardHeaders returns the header lines to forward: all but hop-by-hop headers. Each line
// ends with CRLF. The length that the response to a HEAD request declares is forwarded.
func (response *Response) ForwardHeaders() []byte {
	connectionNamed := connectionTokens(Field(&response.Header, "Connection"))
	head := make([]byte, 0, 256)
	for name, value := range response.Header.All() {
		lower := strings.ToLower(string(name))
		forwarded := !isHopByHopHeader(lower) || response.toHead && lower == "content-length"
		if !forwarded || connectionNamed[lower] {
			continue
		}
		head = append(head, name...)
		head = append(head, ": "...)
		head = append(head, value...)
		head = append(head, "\r\n"...)
	}
	return head
}

// IsTimeout reports whether an error is a network timeout, such as a deadline that has passed.
func IsTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

package lwthttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Response is the answer of a backend server whose body has not been read yet.
type Response struct {
	Header fasthttp.ResponseHeader
	conn   *Conn
	body   *body
	// sent tells when a body that was written beside the answer is complete.
	sent    chan error
	stop    func() bool
	keep    bool
	settled bool
}

// backgroundBody is the size from which a body is written while the answer is
// read, because a server may answer before it has read all of it.
const backgroundBody = 32 << 10

// Bounds of what is read before the head of the own answer.
const (
	// maxStrayAnswers bounds the answers to earlier requests that are skipped.
	maxStrayAnswers = 2
	// maxStrayBytes bounds the body of one of them. Larger ones are not worth
	// keeping the connection for.
	maxStrayBytes = 64 << 10
)

// ErrAmbiguousResponse reports an answer that may belong to an earlier request.
var ErrAmbiguousResponse = fmt.Errorf("an answer that may belong to an earlier request")

// ResponseMatch says to which request an answer belongs.
type ResponseMatch int

// The verdicts.
const (
	// OwnResponse is the answer to the request that was sent.
	OwnResponse ResponseMatch = iota
	// StaleResponse is the answer to an earlier request. It is skipped.
	StaleResponse
	// AmbiguousResponse is an answer that may be either. Nothing is known of the request.
	AmbiguousResponse
)

// RoundTrip writes a request and reads the head of its answer. The request must be
// answered before the deadline; when ctx ends, the connection is closed. Judge
// says to which request an answer belongs. On an error the
// connection is closed, and ErrNotSent says that no byte was written.
func (conn *Conn) RoundTrip(
	ctx context.Context, head, body []byte, deadline time.Time, judge func(*fasthttp.ResponseHeader) ResponseMatch,
) (*Response, error) {
	answer := &Response{conn: conn, stop: context.AfterFunc(ctx, conn.Close)}
	if err := answer.exchange(head, body, deadline, judge); err != nil {
		answer.stop()
		conn.Close()
		return nil, err
	}
	return answer, nil
}

func (answer *Response) exchange(head, body []byte, deadline time.Time, judge func(*fasthttp.ResponseHeader) ResponseMatch) error {
	conn := answer.conn
	if err := conn.conn.SetDeadline(deadline); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if len(body) < backgroundBody {
		if n, err := conn.conn.Write(append(head, body...)); err != nil {
			return sendError(n, err)
		}
	} else {
		answer.sent = make(chan error, 1)
		go func() {
			_, err := (&net.Buffers{head, body}).WriteTo(conn.conn)
			answer.sent <- err
		}()
	}
	return answer.readHead(judge)
}

func sendError(written int, err error) error {
	if written == 0 {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("send request: %w", err)
}

func (answer *Response) readHead(judge func(*fasthttp.ResponseHeader) ResponseMatch) error {
	for range maxStrayAnswers + 1 {
		answer.Header.Reset()
		answer.Header.DisableNormalizing()
		answer.Header.SetNoDefaultContentType(true)
		if err := answer.Header.Read(answer.conn.reader); err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		if answer.Header.StatusCode() < 200 {
			continue
		}
		if answer.Header.ContentLength() < 0 && len(answer.Header.Peek("Transfer-Encoding")) > 0 && answer.Header.ContentLength() != lengthChunked {
			return fmt.Errorf("%w: transfer encoding of an answer", ErrMalformed)
		}
		answer.body = newBody(answer.conn.reader, framing{length: answer.length()})
		switch judge(&answer.Header) {
		case OwnResponse:
			answer.keep = !answer.Header.ConnectionClose()
			answer.noteKeepAlive()
			return nil
		case AmbiguousResponse:
			return ErrAmbiguousResponse
		}
		if err := answer.skipBody(); err != nil {
			return fmt.Errorf("read stray answer: %w", err)
		}
	}
	return fmt.Errorf("%w: answers of other requests", ErrMalformed)
}

// skipBody reads and drops the body of a stray answer.
func (answer *Response) skipBody() error {
	if _, err := io.CopyN(io.Discard, answer.body, maxStrayBytes); !errors.Is(err, io.EOF) {
		return errors.Join(ErrBodyTooLarge, err)
	}
	return nil
}

func (answer *Response) length() int {
	if bodiless(answer.Header.StatusCode()) {
		return 0
	}
	return max(answer.Header.ContentLength(), lengthUntilClose)
}

// noteKeepAlive reads how long the server keeps the idle connection.
func (answer *Response) noteKeepAlive() {
	for _, term := range strings.Split(string(answer.Header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(term), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" {
			answer.conn.keepAlive = max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
		}
	}
}

// Read reads the body. It returns io.EOF only when the body is complete.
func (answer *Response) Read(into []byte) (int, error) { return answer.body.Read(into) }

// Complete reports whether the whole body was read.
func (answer *Response) Complete() bool { return answer.body.done }

// ReadAll reads a whole body of at most limit bytes.
func (answer *Response) ReadAll(limit int) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(answer, int64(limit)+1))
	if err != nil {
		return content, err
	}
	if len(content) > limit {
		return content, ErrBodyTooLarge
	}
	return content, nil
}

// SetDeadline ends the exchange at a time earlier than the deadline of Send.
func (answer *Response) SetDeadline(deadline time.Time) {
	// A connection that takes no deadline is closed; the next read says so.
	_ = answer.conn.conn.SetDeadline(deadline)
}

// CloseConnection ends the exchange and closes the connection.
func (answer *Response) CloseConnection() {
	answer.keep = false
	answer.Release(time.Time{})
}

// Release ends the exchange. The connection is kept for another request if the
// answer was read to its end, nothing follows it, and the server keeps it.
func (answer *Response) Release(now time.Time) {
	if answer.settled {
		return
	}
	answer.settled = true
	stopped := answer.stop()
	if stopped && answer.keep && answer.body.done && answer.bodySent() && answer.length() != lengthUntilClose &&
		answer.conn.reader.Buffered() == 0 && answer.conn.conn.SetDeadline(time.Time{}) == nil {
		answer.conn.release(now)
		return
	}
	answer.conn.Close()
}

// bodySent reports whether the server was sent the whole request.
func (answer *Response) bodySent() bool {
	if answer.sent == nil {
		return true
	}
	select {
	case err := <-answer.sent:
		return err == nil
	default:
		return false
	}
}

// ForwardHeaders returns the header lines of the answer that are passed on.
func (answer *Response) ForwardHeaders() []byte {
	named := connectionTokens(answer.Header.Peek("Connection"))
	head := make([]byte, 0, 256)
	for name, value := range answer.Header.All() {
		lower := strings.ToLower(string(name))
		if connectionHeader(lower) || named[lower] {
			continue
		}
		head = append(head, name...)
		head = append(head, ": "...)
		head = append(head, value...)
		head = append(head, "\r\n"...)
	}
	return head
}

// IsTimeout reports whether an error says that the deadline was reached.
func IsTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

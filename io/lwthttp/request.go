package lwthttp

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// Request is a request of the daemon itself to a server whose responses name no request.
type Request struct {
	Method string
	// Address is the server's (IP:port). Path includes the query.
	Address, Path string
	// Fields holds field lines, each ending with CRLF.
	Fields []byte
	// Body is a body in JSON, or empty.
	Body []byte
	// MaxIdle is how long the connection may have been idle. Zero asks for a new connection, which is
	// closed after the response.
	MaxIdle time.Duration
}

// appendHead appends the head of the request.
func (request Request) appendHead(into []byte) []byte {
	into = fmt.Appendf(into, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Path, request.Address)
	into = append(into, request.Fields...)
	if request.MaxIdle == 0 {
		into = append(into, "Connection: close\r\n"...)
	}
	if len(request.Body) > 0 || !methodHasNoBody([]byte(request.Method)) {
		into = fmt.Appendf(into, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(request.Body))
	}
	return append(into, "\r\n"...)
}

// Send sends a request and reads the head of its response. The exchange must end before the deadline
// of ctx, if it has one. Errors are those of RoundTrip.
func (pool *Pool) Send(ctx context.Context, request Request) (*Response, error) {
	var conn *Conn
	var err error
	if request.MaxIdle == 0 {
		conn, err = pool.Dial(ctx, request.Address)
	} else {
		conn, err = pool.Get(ctx, request.Address, nil, request.MaxIdle)
	}
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	return conn.RoundTrip(ctx, request.appendHead(nil), request.Body, deadline, MatchAny)
}

// Call is Send for a response whose body has at most limit bytes. The response has been released.
func (pool *Pool) Call(ctx context.Context, request Request, limit int) (*fasthttp.ResponseHeader, []byte, error) {
	response, err := pool.Send(ctx, request)
	if err != nil {
		return nil, nil, err
	}
	defer func() { response.Release(time.Now()) }()
	body, err := response.ReadAll(limit)
	return &response.Header, body, err
}

// Package lwtclient is the client library for callers of lacewingtide. It requests the entry
// addresses, caches them for the time that the daemons allow, and fails over to another
// daemon. It never resends a non-idempotent request that may have run.
package lwtclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/net/http/httpguts"

	"lacewingtide/io/lwthttp"
)

// Outcomes of failed requests.
const (
	// OutcomeNotRun means that the request did not run and can safely be retried.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown = "unknown"
	headerOutcome  = "Lacewingtide-Outcome"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxIdleTime is how long idle connections are kept. It is less than the minimum drain
	// time of a daemon.
	maxIdleTime   = 5 * time.Second
	maxErrorBytes = 64 << 10
	// maxConnections is the maximum number of connections to one daemon.
	maxConnections = 4096
)

// Options configures a Client.
type Options struct {
	// Addresses are the entry addresses (IP:port) that the client asks for the current ones,
	// at first and whenever the cached ones fail.
	Addresses []string
	// Key is the caller's API key.
	Key string
}

// Request is an HTTP request to lacewingtide. The client may send it to several daemons, one
// after the other.
type Request struct {
	Method string
	// Path is the URL path and query, such as "/services/shop/orders".
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent allows the request to run more than once.
	Idempotent bool
	// ReuseConnection allows a non-idempotent request on an existing connection. If the
	// daemon dies, the outcome is unknown more often than on a new connection.
	ReuseConnection bool
}

// Error is the failure of a request.
type Error struct {
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// Outcome is OutcomeNotRun or OutcomeUnknown.
	Outcome string
	// RetryAfter is the value of the Retry-After header, or 0 if there is none.
	RetryAfter time.Duration
	// Body is the response body, up to 64 KiB, or the data of a stream's error event.
	Body  []byte
	cause error
}

// Error implements error.
func (failure *Error) Error() string {
	if failure.cause != nil {
		return fmt.Sprintf("lacewingtide (outcome %s): %v", failure.Outcome, failure.cause)
	}
	return fmt.Sprintf("lacewingtide (outcome %s): status %d: %s", failure.Outcome, failure.Status, failure.Body)
}

// Unwrap returns the underlying error, if there is one.
func (failure *Error) Unwrap() error { return failure.cause }

// Client sends requests to the daemons. It is safe for concurrent use.
type Client struct {
	options   Options
	addresses addressCache
	pool      *lwthttp.Pool
}

// New returns a client without open connections.
func New(options Options) *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{
		options: options,
		addresses: addressCache{
			bootstrap: options.Addresses, failedAt: map[string]time.Time{},
		},
		pool: lwthttp.NewPool(lwthttp.PoolOptions{
			Limit: func(string) int { return maxConnections }, Dial: dialer.DialContext, KeepAlive: maxIdleTime,
		}),
	}
}

// Close closes idle connections.
func (client *Client) Close() {
	client.pool.Sweep(time.Now(), func(string) bool { return false })
}

// Do sends a request and returns the response with its body already read into memory. It
// returns an *Error if the status is 400 or above or if there is no complete response.
func (client *Client) Do(ctx context.Context, request Request) (*http.Response, error) {
	response, err := client.send(ctx, request)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, &Error{Outcome: OutcomeUnknown, cause: fmt.Errorf("read answer: %w", err)}
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

// send tries the addresses in order until a request succeeds. It tries the next one only if
// the request did not run or is idempotent. If no address can be reached, it requests new
// addresses and tries these once.
func (client *Client) send(ctx context.Context, request Request) (*http.Response, error) {
	addresses, err := client.currentAddresses(ctx)
	if err != nil {
		return nil, err
	}
	response, unreachable, err := client.tryAddresses(ctx, addresses, request)
	if !unreachable {
		return response, err
	}
	if addresses, err = client.replaceAddresses(ctx); err != nil {
		return nil, err
	}
	response, _, err = client.tryAddresses(ctx, addresses, request)
	return response, err
}

// tryAddresses sends a request to the addresses in order until it succeeds. Unreachable is set
// if none of them responded and the request may be sent again.
func (client *Client) tryAddresses(
	ctx context.Context, addresses []string, request Request,
) (response *http.Response, unreachable bool, err error) {
	unreachable = true
	for _, address := range addresses {
		if response, err = client.sendTo(ctx, address, request); err == nil {
			return response, false, nil
		}
		var failure *Error
		if !errors.As(err, &failure) || !failure.mayTryNext(request) || ctx.Err() != nil {
			return nil, false, err
		}
		if failure.Status == 0 {
			client.addresses.recordFailure(time.Now(), address)
		} else {
			unreachable = false
		}
	}
	return nil, unreachable, err
}

// mayTryNext reports whether the request may be sent to another daemon. It reports false for
// rejections with a Retry-After time and for client errors, because every daemon would
// respond the same way.
func (failure *Error) mayTryNext(request Request) bool {
	if failure.Status == 0 {
		return failure.Outcome == OutcomeNotRun || request.Idempotent
	}
	return failure.Outcome == OutcomeNotRun && failure.Status == http.StatusBadGateway ||
		failure.Status >= http.StatusInternalServerError && failure.Outcome != OutcomeNotRun && request.Idempotent
}

// sendTo sends a request to one address and returns an *Error if the status is 400 or above.
func (client *Client) sendTo(ctx context.Context, address string, request Request) (*http.Response, error) {
	head, err := client.requestHead(address, request)
	if err != nil {
		return nil, &Error{Outcome: OutcomeNotRun, cause: err}
	}
	response, err := client.roundTrip(ctx, address, head, request)
	if err != nil {
		outcome := OutcomeUnknown
		if errors.Is(err, lwthttp.ErrNotSent) {
			outcome = OutcomeNotRun
		}
		return nil, &Error{Outcome: outcome, cause: err}
	}
	httpResponse := newHTTPResponse(response)
	if httpResponse.StatusCode >= http.StatusBadRequest {
		return nil, newError(httpResponse)
	}
	return httpResponse, nil
}

// roundTrip sends a request on a new connection if it must not be sent twice, so that its outcome is
// never unknown because the daemon closed an idle connection.
func (client *Client) roundTrip(ctx context.Context, address string, head []byte, request Request) (*lwthttp.Response, error) {
	var conn *lwthttp.Conn
	var err error
	if request.Idempotent || request.ReuseConnection {
		conn, err = client.pool.Get(ctx, address, nil, maxIdleTime)
	} else {
		conn, err = client.pool.Dial(ctx, address)
	}
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	return conn.RoundTrip(ctx, head, request.Body, deadline, lwthttp.MatchAny)
}

// requestHead returns the head of a request.
func (client *Client) requestHead(address string, request Request) ([]byte, error) {
	target, err := url.Parse("http://" + address + request.Path)
	if err != nil {
		return nil, err
	}
	header := request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	for name, values := range header {
		for _, value := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
				return nil, fmt.Errorf("invalid header field %q with value %q", name, value)
			}
		}
	}
	header.Set("Host", address)
	header.Set("Authorization", "Bearer "+client.options.Key)
	header.Del("Content-Length")
	if len(request.Body) > 0 || !request.Idempotent {
		header.Set("Content-Length", strconv.Itoa(len(request.Body)))
	}
	if !request.Idempotent && !request.ReuseConnection {
		header.Set("Connection", "close")
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\n", request.Method, target.RequestURI())
	// Writing to a buffer never fails.
	_ = header.Write(&head)
	head.WriteString("\r\n")
	return head.Bytes(), nil
}

// responseBody reads the body of a response and ends the exchange when it is closed.
type responseBody struct{ *lwthttp.Response }

// Close implements io.Closer.
func (body responseBody) Close() error {
	body.Release(time.Now())
	return nil
}

func newHTTPResponse(response *lwthttp.Response) *http.Response {
	httpResponse := &http.Response{
		Status:     fmt.Sprintf("%d %s", response.Header.StatusCode(), http.StatusText(response.Header.StatusCode())),
		StatusCode: response.Header.StatusCode(), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, Body: responseBody{response}, ContentLength: -1,
	}
	for name, value := range response.Header.All() {
		httpResponse.Header.Add(string(name), string(value))
	}
	return httpResponse
}

// newError converts an error response to an *Error. A response without an outcome header comes
// from a backend server, so the request ran.
func newError(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	failure := &Error{
		Status:  response.StatusCode,
		Outcome: response.Header.Get(headerOutcome),
		Body:    body,
		cause:   errors.Join(err, response.Body.Close()),
	}
	if failure.Outcome == "" {
		failure.Outcome = OutcomeUnknown
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return failure
}

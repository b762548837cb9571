// Package lwtclient is a client for callers of lacewingtide. It follows the
// address rule: it asks for the entry addresses, keeps several for the time
// that the answer allows, and uses another daemon when one fails. It never
// sends again what may have run.
package lwtclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"
)

// Outcomes of failed requests.
const (
	// OutcomeNotRun means that the request did not run and may be sent again.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown = "unknown"
	headerOutcome  = "Lacewingtide-Outcome"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxIdle is below the least drain time of a daemon.
	maxIdle       = 5 * time.Second
	maxErrorBytes = 64 << 10
)

// Options describe a caller.
type Options struct {
	// Addresses are entry addresses (IP:port) to ask first.
	Addresses []string
	// Key is the caller's key.
	Key string
}

// Request is one request. It may be sent to several daemons, one after the
// other.
type Request struct {
	Method string
	// Path is the path with query, as in "/services/shop/orders".
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent says that running the request twice does no harm.
	Idempotent bool
	// ReuseConnection allows a kept connection for a request that is not idempotent. If
	// its daemon dies, the outcome is unknown more often than on a fresh one.
	ReuseConnection bool
}

// Error is a request that was not answered with success.
type Error struct {
	// Status is the HTTP status, 0 when no answer came.
	Status int
	// Outcome is OutcomeNotRun or OutcomeUnknown.
	Outcome string
	// RetryAfter is the time after which to try again, 0 when not told.
	RetryAfter time.Duration
	// Body is the answer's body.
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

// Unwrap returns the cause.
func (failure *Error) Unwrap() error { return failure.cause }

// Client sends requests. It is safe for concurrent use.
type Client struct {
	options   Options
	addresses addresses
	// kept reuses connections; fresh opens one for each request, so that a
	// connection closed by the daemon never leaves open whether a request ran.
	kept, fresh *http.Transport
}

// New returns a client. It opens no connection yet.
func New(options Options) *Client {
	return &Client{
		options: options,
		addresses: addresses{
			bootstrap: options.Addresses, failed: map[string]time.Time{},
		},
		kept:  newTransport(false),
		fresh: newTransport(true),
	}
}

func newTransport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:   fresh,
		IdleConnTimeout:     maxIdle,
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}
}

// Close closes idle connections.
func (client *Client) Close() {
	client.kept.CloseIdleConnections()
	client.fresh.CloseIdleConnections()
}

// Do sends a request and returns the answer with its whole body read. It
// returns an *Error for answers that are not a success.
func (client *Client) Do(ctx context.Context, request Request) (*http.Response, error) {
	response, err := client.send(ctx, request)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	if closed := response.Body.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return nil, &Error{Outcome: OutcomeUnknown, cause: fmt.Errorf("read answer: %w", err)}
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

// send tries the addresses until one answers. It goes on to the next one only
// if the request did not run or is idempotent. When no address can be reached,
// it asks for new ones once.
func (client *Client) send(ctx context.Context, request Request) (*http.Response, error) {
	list, err := client.use(ctx)
	if err != nil {
		return nil, err
	}
	response, again, err := client.try(ctx, list, request)
	if !again {
		return response, err
	}
	if list, err = client.renew(ctx); err != nil {
		return nil, err
	}
	response, _, err = client.try(ctx, list, request)
	return response, err
}

// try sends a request to one address after the other. Again reports that none
// could be reached and the request may be sent again.
func (client *Client) try(
	ctx context.Context, list []string, request Request,
) (response *http.Response, again bool, err error) {
	again = true
	for _, address := range list {
		if response, err = client.attempt(ctx, address, request); err == nil {
			return response, false, nil
		}
		var failure *Error
		if !errors.As(err, &failure) || !failure.mayRepeat(request) || ctx.Err() != nil {
			return nil, false, err
		}
		if failure.Status == 0 {
			client.addresses.fail(time.Now(), address)
		} else {
			again = false
		}
	}
	return nil, again, err
}

// mayRepeat reports whether another daemon may be tried. An answer that names
// a time to wait for, or faults of the request, would come from every daemon.
func (failure *Error) mayRepeat(request Request) bool {
	if failure.Status == 0 {
		return failure.Outcome == OutcomeNotRun || request.Idempotent
	}
	return failure.Outcome == OutcomeNotRun && failure.Status == http.StatusBadGateway ||
		failure.Status >= http.StatusInternalServerError && failure.Outcome != OutcomeNotRun && request.Idempotent
}

func (client *Client) attempt(ctx context.Context, address string, request Request) (*http.Response, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	message, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Path, nil)
	if err != nil {
		return nil, err
	}
	message.Header = request.Header.Clone()
	if message.Header == nil {
		message.Header = http.Header{}
	}
	message.Header.Set("Authorization", "Bearer "+client.options.Key)
	if len(request.Body) > 0 || !request.Idempotent {
		// With a body, though an empty one, and without GetBody, the transport
		// never sends the request again itself.
		message.Body, message.ContentLength = io.NopCloser(bytes.NewReader(request.Body)), int64(len(request.Body))
	}
	transport := client.fresh
	if request.Idempotent || request.ReuseConnection {
		transport = client.kept
	}
	response, err := transport.RoundTrip(message)
	if err != nil {
		outcome := OutcomeUnknown
		if !connected {
			outcome = OutcomeNotRun
		}
		return nil, &Error{Outcome: outcome, cause: err}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, newError(response)
	}
	return response, nil
}

// newError reads a failed answer. One without an outcome comes from a backend
// server; the request ran.
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

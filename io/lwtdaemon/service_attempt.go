package lwtdaemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtretry"
	"lacewingtide/io/lwtentry"
	"lacewingtide/io/lwthttp"
)

const (
	serviceDialTimeout = time.Second
	// retryableAttemptTimeout is the time after which an attempt without a
	// response fails, if the call can be retried. The connection is then
	// considered lost.
	retryableAttemptTimeout = 2500 * time.Millisecond
	// maxServiceResponseBytes bounds the body of a backend server's response.
	maxServiceResponseBytes = 16 << 20
	serviceIdleTimeout      = 5 * time.Second
	// maxServiceConns is the maximum number of connections to one backend server.
	maxServiceConns = 4096
	// headerBackendOutcome is the response header with which a backend server
	// states, by the value "not-run", that it rejected a call without running it.
	headerBackendOutcome = "Backend-Outcome"
)

// serviceKeepAlive detects within 3 s that the other end of a connection no longer
// responds.
var serviceKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// newServicePool returns the pool of connections to backend servers.
func newServicePool() *lwthttp.Pool {
	dialer := net.Dialer{Timeout: serviceDialTimeout, KeepAliveConfig: serviceKeepAlive}
	return lwthttp.NewPool(lwthttp.PoolOptions{
		Limit: func(string) int { return maxServiceConns }, Dial: dialer.DialContext, KeepAlive: serviceIdleTimeout,
	})
}

// attempt is the result of one attempt of a call. Attempts share neither requests
// nor responses.
type attempt struct {
	address  string
	outcome  lwtretry.Outcome
	response *fasthttp.Response
	duration time.Duration
	err      error
}

// aborter aborts the attempts of a call, whose requests are sent with its context.
type aborter struct {
	context context.Context
	abort   context.CancelFunc
}

func newAborter() *aborter {
	aborter := &aborter{}
	aborter.context, aborter.abort = context.WithCancel(context.Background())
	return aborter
}

func (aborter *aborter) isAborted() bool { return aborter.context.Err() != nil }

// errContradictoryOutcome reports a response that states that the call has not run, and whose status says
// that it has.
var errContradictoryOutcome = errors.New("the backend server answers with success, and states that the call did not run")

// makeAttempt makes one attempt.
func (forwarder *forwarder) makeAttempt(
	call *serviceCall, address string, deadline time.Time, aborter *aborter,
) attempt {
	start := time.Now()
	result := attempt{address: address}
	result.response, result.err = forwarder.roundTrip(call, address, deadline, aborter)
	result.duration = time.Since(start)
	switch {
	case errors.Is(result.err, lwthttp.ErrNotSent):
		result.outcome = lwtretry.NotSent
	case result.err != nil:
		result.outcome = lwtretry.Unknown
	case string(result.response.Header.Peek(headerBackendOutcome)) != lwtentry.OutcomeNotRun:
		result.outcome = lwtretry.Done
	case result.response.StatusCode() < fasthttp.StatusBadRequest:
		result.outcome, result.err = lwtretry.Unknown, errContradictoryOutcome
	default:
		result.outcome = lwtretry.Rejected
	}
	return result
}

// roundTrip sends a request once and reads the complete response. A call that is not idempotent
// gets a new connection: if the backend server closed an idle connection just then, it would be
// unknown whether the call ran.
func (forwarder *forwarder) roundTrip(
	call *serviceCall, address string, deadline time.Time, aborter *aborter,
) (*fasthttp.Response, error) {
	var conn *lwthttp.Conn
	var err error
	if call.idempotent {
		conn, err = forwarder.pool.Get(aborter.context, address, nil, serviceIdleTimeout)
	} else {
		conn, err = forwarder.pool.Dial(aborter.context, address)
	}
	if err != nil {
		return nil, fmt.Errorf("connect to backend server: %w", err)
	}
	response, err := conn.RoundTrip(aborter.context, call.head(address), call.body, deadline, lwthttp.MatchAny)
	if err != nil {
		return nil, fmt.Errorf("call backend server: %w", err)
	}
	body, err := response.ReadAll(maxServiceResponseBytes)
	if err == nil && call.idempotent {
		response.Release(time.Now())
	} else {
		response.CloseConnection()
	}
	if err != nil {
		return nil, fmt.Errorf("read response of backend server: %w", err)
	}
	return completeResponse(&response.Header, body, call.header.IsHead()), nil
}

// completeResponse returns a response with its fields spelled in canonical form.
func completeResponse(header *fasthttp.ResponseHeader, body []byte, toHead bool) *fasthttp.Response {
	complete := &fasthttp.Response{SkipBody: toHead}
	complete.Header.SetNoDefaultContentType(true)
	complete.SetStatusCode(header.StatusCode())
	for name, value := range header.All() {
		complete.Header.AddBytesKV(name, value)
	}
	complete.SetBodyRaw(body)
	return complete
}

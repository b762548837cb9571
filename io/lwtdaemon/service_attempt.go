package lwtdaemon

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtretry"
	"lacewingtide/io/lwtentry"
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
	maxIdleServiceConns     = 64
	// headerBackendOutcome is the response header with which a backend server
	// states, by the value "not-run", that it rejected a call without running it.
	headerBackendOutcome = "Backend-Outcome"
)

// serviceKeepAlive detects within 3 s that the other end of a connection no longer
// responds.
var serviceKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// serviceConn is a connection to a backend server. Closing it from another
// goroutine aborts the attempt that uses it.
type serviceConn struct {
	net.Conn
	reader    *bufio.Reader
	written   bool
	idleSince time.Time
}

// Write implements net.Conn and records whether any byte may have been sent.
func (conn *serviceConn) Write(buffer []byte) (int, error) {
	count, err := conn.Conn.Write(buffer)
	conn.written = conn.written || count > 0
	return count, err
}

// servicePool keeps idle connections, by address, for idempotent calls.
type servicePool struct {
	mutex sync.Mutex
	idle  map[string][]*serviceConn
}

func newServicePool() *servicePool { return &servicePool{idle: map[string][]*serviceConn{}} }

func dialService(address string) (*serviceConn, error) {
	dialer := net.Dialer{Timeout: serviceDialTimeout, KeepAliveConfig: serviceKeepAlive}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to backend server: %w", err)
	}
	return &serviceConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// get returns an idle connection that the backend server has not closed, or a
// new one.
func (pool *servicePool) get(now time.Time, address string) (*serviceConn, error) {
	for {
		conn := pool.pop(address)
		if conn == nil {
			return dialService(address)
		}
		if now.Sub(conn.idleSince) < serviceIdleTimeout && conn.reader.Buffered() == 0 &&
			!lwtentry.CallerDisconnected(conn.Conn) {
			return conn, nil
		}
		// The connection is discarded, so an error doesn't matter.
		_ = conn.Close()
	}
}

func (pool *servicePool) pop(address string) *serviceConn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.idle[address]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	pool.idle[address] = idle[:len(idle)-1]
	return conn
}

func (pool *servicePool) put(now time.Time, address string, conn *serviceConn) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conn.idleSince = now
	if len(pool.idle[address]) < maxIdleServiceConns {
		pool.idle[address] = append(pool.idle[address], conn)
		return
	}
	// The connection is discarded, so an error doesn't matter.
	_ = conn.Close()
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

// aborter aborts the attempts of a call by closing their connections.
type aborter struct {
	mutex   sync.Mutex
	aborted bool
	conns   map[*serviceConn]bool
}

func newAborter() *aborter { return &aborter{conns: map[*serviceConn]bool{}} }

func (aborter *aborter) add(conn *serviceConn) bool {
	aborter.mutex.Lock()
	defer aborter.mutex.Unlock()
	aborter.conns[conn] = true
	return !aborter.aborted
}

func (aborter *aborter) remove(conn *serviceConn) {
	aborter.mutex.Lock()
	defer aborter.mutex.Unlock()
	delete(aborter.conns, conn)
}

func (aborter *aborter) isAborted() bool {
	aborter.mutex.Lock()
	defer aborter.mutex.Unlock()
	return aborter.aborted
}

func (aborter *aborter) abort() {
	aborter.mutex.Lock()
	defer aborter.mutex.Unlock()
	aborter.aborted = true
	for conn := range aborter.conns {
		// The attempt fails because its connection is closed.
		_ = conn.Close()
	}
}

var errAborted = errors.New("the call was abandoned before it was sent")

// makeAttempt makes one attempt. A call that is not idempotent gets a new
// connection: if the backend server closed an idle connection just then, it would
// be unknown whether the call ran.
func (forwarder *forwarder) makeAttempt(
	call *serviceCall, address string, deadline time.Time, aborter *aborter,
) attempt {
	start := time.Now()
	result := attempt{address: address, outcome: lwtretry.NotSent}
	var conn *serviceConn
	if call.idempotent {
		conn, result.err = forwarder.pool.get(start, address)
	} else {
		conn, result.err = dialService(address)
	}
	if result.err != nil {
		return result
	}
	defer aborter.remove(conn)
	if !aborter.add(conn) {
		_ = conn.Close() // nothing was sent yet
		result.err = errAborted
		return result
	}
	conn.written = false
	result.response, result.err = roundTrip(conn, call.newRequest(address), deadline)
	result.duration = time.Since(start)
	switch {
	case result.err != nil && conn.written:
		result.outcome = lwtretry.Unknown
	case result.err == nil && string(result.response.Header.Peek(headerBackendOutcome)) == lwtentry.OutcomeNotRun:
		result.outcome = lwtretry.Rejected
	case result.err == nil:
		result.outcome = lwtretry.Done
	}
	if result.err == nil && call.idempotent && !result.response.ConnectionClose() {
		forwarder.pool.put(time.Now(), address, conn)
	} else {
		_ = conn.Close() // the response has been read completely, or reading it failed
	}
	return result
}

// roundTrip sends a request once and reads the complete response.
func roundTrip(conn *serviceConn, request *fasthttp.Request, deadline time.Time) (*fasthttp.Response, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	writer := bufio.NewWriter(conn)
	if err := request.Write(writer); err != nil {
		return nil, fmt.Errorf("send to backend server: %w", err)
	}
	if err := writer.Flush(); err != nil {
		return nil, fmt.Errorf("send to backend server: %w", err)
	}
	response := &fasthttp.Response{SkipBody: request.Header.IsHead()}
	if err := response.ReadLimitBody(conn.reader, maxServiceResponseBytes); err != nil {
		return nil, fmt.Errorf("read answer of backend server: %w", err)
	}
	return response, nil
}

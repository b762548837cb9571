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
	// serviceSilence is how long an attempt that can be repeated may stay
	// without an answer before its connection counts as lost.
	serviceSilence = 2500 * time.Millisecond
	// serviceBodyBytes bounds a backend server's answer.
	serviceBodyBytes = 16 << 20
	serviceIdle      = 5 * time.Second
	serviceIdleConns = 64
	// headerBackendOutcome is the header in which a backend server says
	// "not-run" of a call that it refused.
	headerBackendOutcome = "Backend-Outcome"
)

// keepAlive finds a connection whose other end no longer answers within 3 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// serviceConn is a connection to a backend server. Closing it ends an attempt
// from outside.
type serviceConn struct {
	net.Conn
	reader  *bufio.Reader
	written bool
	idle    time.Time
}

// Write implements net.Conn and notes whether any byte may have left.
func (conn *serviceConn) Write(buffer []byte) (int, error) {
	count, err := conn.Conn.Write(buffer)
	conn.written = conn.written || count > 0
	return count, err
}

// servicePool keeps idle connections for calls that may be repeated.
type servicePool struct {
	mutex sync.Mutex
	idle  map[string][]*serviceConn
}

func newServicePool() *servicePool { return &servicePool{idle: map[string][]*serviceConn{}} }

func dialService(address string) (*serviceConn, error) {
	dialer := net.Dialer{Timeout: serviceDialTimeout, KeepAliveConfig: keepAlive}
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
		if now.Sub(conn.idle) < serviceIdle && conn.reader.Buffered() == 0 && !lwtentry.CallerDisconnected(conn.Conn) {
			return conn, nil
		}
		// The connection is not used again; an error changes nothing.
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
	conn.idle = now
	if len(pool.idle[address]) < serviceIdleConns {
		pool.idle[address] = append(pool.idle[address], conn)
		return
	}
	// The connection is not used again; an error changes nothing.
	_ = conn.Close()
}

// attempt is one attempt of a call. Its request and response belong to it
// alone.
type attempt struct {
	address  string
	outcome  lwtretry.Outcome
	response *fasthttp.Response
	took     time.Duration
	err      error
}

// aborter closes the connections of a call's attempts from outside.
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
		// The attempt sees the closed connection.
		_ = conn.Close()
	}
}

var errAborted = errors.New("the call was abandoned before it was sent")

// try makes one attempt. Work that may not be repeated gets a connection that
// was never used, so that a backend server that closes an idle connection
// can't leave it open whether the call ran.
func (forwarder *forwarder) try(call *serviceCall, address string, deadline time.Time, aborter *aborter) attempt {
	began := time.Now()
	result := attempt{address: address, outcome: lwtretry.NotSent}
	var conn *serviceConn
	if call.idempotent {
		conn, result.err = forwarder.pool.get(began, address)
	} else {
		conn, result.err = dialService(address)
	}
	if result.err != nil {
		return result
	}
	defer aborter.remove(conn)
	if !aborter.add(conn) {
		_ = conn.Close() // nothing was sent
		result.err = errAborted
		return result
	}
	conn.written = false
	result.response, result.err = exchange(conn, call.request(address), deadline)
	result.took = time.Since(began)
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
		_ = conn.Close() // the answer is read whole or lost already
	}
	return result
}

// exchange sends a request once and reads the whole answer.
func exchange(conn *serviceConn, request *fasthttp.Request, deadline time.Time) (*fasthttp.Response, error) {
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
	if err := response.ReadLimitBody(conn.reader, serviceBodyBytes); err != nil {
		return nil, fmt.Errorf("read answer of backend server: %w", err)
	}
	return response, nil
}

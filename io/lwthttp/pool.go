package lwthttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// ErrNotSent reports that no byte of a request left the daemon.
var ErrNotSent = fmt.Errorf("the request was not sent")

// ErrTooManyConnections reports, with ErrNotSent, that the daemon's share of a
// server's connections is used up.
var ErrTooManyConnections = fmt.Errorf("too many connections to the server")

const (
	dialTimeout = time.Second
	// defaultKeepAlive is how long a connection is kept whose server does not
	// say how long it keeps it.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is kept free before the end that a server announces.
	keepAliveMargin = 500 * time.Millisecond
	answerBuffer    = 4096
)

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	mutex sync.Mutex
	idle  map[string][]*Conn
	open  map[string]int
	limit func(address string) int
	dials func(address string, err error)
}

// NewPool returns an empty pool. Limit returns how many connections to an
// address may be open. Dialled is told of each dial.
func NewPool(limit func(address string) int, dialled func(address string, err error)) *Pool {
	return &Pool{idle: map[string][]*Conn{}, open: map[string]int{}, limit: limit, dials: dialled}
}

// Conn is a connection to a backend server that carries one request at a time.
type Conn struct {
	pool    *Pool
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// lastUse is when the connection became idle.
	lastUse   time.Time
	keepAlive time.Duration
	// Reused says that the connection has carried a request before.
	Reused bool
	// carried is the id of the last request that the connection has carried.
	carried string
}

// Get returns a connection to an address that will carry a request: an idle one
// that has been idle for at most maxIdle, else a new one. A connection that has
// carried an earlier attempt of the same request is not used, because a late copy
// of that attempt's answer bears the same id.
func (pool *Pool) Get(ctx context.Context, address, request string, maxIdle time.Duration) (*Conn, error) {
	for {
		conn := pool.take(address, request)
		if conn == nil {
			conn, err := pool.Dial(ctx, address)
			if err == nil {
				conn.carried = request
			}
			return conn, err
		}
		if idle := time.Since(conn.lastUse); idle <= min(maxIdle, conn.keepAlive) && quiet(conn.conn) {
			conn.Reused, conn.carried = true, request
			return conn, nil
		}
		conn.Close()
	}
}

// take returns the connection that was used last and has not carried a request, or
// nil.
func (pool *Pool) take(address, request string) *Conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.idle[address]
	for at := len(idle) - 1; at >= 0; at-- {
		if conn := idle[at]; conn.carried != request {
			pool.idle[address] = slices.Delete(idle, at, at+1)
			return conn
		}
	}
	return nil
}

// reserve counts a connection that is about to be opened.
func (pool *Pool) reserve(address string) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.open[address] >= pool.limit(address) {
		return false
	}
	pool.open[address]++
	return true
}

// Dial returns a new connection to an address.
func (pool *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	if !pool.reserve(address) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrTooManyConnections)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	pool.dials(address, err)
	if err != nil {
		pool.closed(address)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	tune(raw, serverSilence)
	return &Conn{
		pool: pool, address: address, conn: raw, reader: bufio.NewReaderSize(raw, answerBuffer), keepAlive: defaultKeepAlive,
	}, nil
}

func (pool *Pool) closed(address string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.open[address]--; pool.open[address] <= 0 {
		delete(pool.open, address)
	}
}

// Sweep closes idle connections that have reached their end, and all idle ones
// to addresses for which keep returns false.
func (pool *Pool) Sweep(now time.Time, keep func(address string) bool) {
	var ended []*Conn
	pool.mutex.Lock()
	for address, idle := range pool.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if keep(address) && now.Sub(conn.lastUse) < conn.keepAlive {
				kept = append(kept, conn)
			} else {
				ended = append(ended, conn)
			}
		}
		pool.idle[address] = kept
		if len(kept) == 0 {
			delete(pool.idle, address)
		}
	}
	pool.mutex.Unlock()
	for _, conn := range ended {
		conn.Close()
	}
}

// Close ends the connection. It may be called more than once.
func (conn *Conn) Close() {
	if err := conn.conn.Close(); errors.Is(err, net.ErrClosed) {
		return
	}
	conn.pool.closed(conn.address)
}

// release keeps the connection for another request.
func (conn *Conn) release(now time.Time) {
	conn.lastUse = now
	conn.pool.mutex.Lock()
	defer conn.pool.mutex.Unlock()
	conn.pool.idle[conn.address] = append(conn.pool.idle[conn.address], conn)
}

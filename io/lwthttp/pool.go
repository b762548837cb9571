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

// ErrNotSent reports that no byte of a request was sent.
var ErrNotSent = fmt.Errorf("request not sent")

// ErrTooManyConnections reports, together with ErrNotSent, that the connection limit of an
// address has been reached.
var ErrTooManyConnections = fmt.Errorf("connection limit reached")

const (
	dialTimeout = time.Second
	// defaultServerKeepAlive is the idle timeout of a connection if the server announces
	// none.
	defaultServerKeepAlive = 4 * time.Second
	// serverKeepAliveMargin is how much earlier than announced by the server a connection is
	// closed.
	serverKeepAliveMargin = 500 * time.Millisecond
	responseBufferBytes   = 4096
)

// Pool keeps connections to servers. It is safe for concurrent use.
type Pool struct {
	options    PoolOptions
	mutex      sync.Mutex
	idle       map[string][]*Conn
	openCounts map[string]int
	// sweeping says that a sweep is scheduled.
	sweeping bool
}

// PoolOptions configures a pool.
type PoolOptions struct {
	// Limit returns the maximum number of open connections to an address.
	Limit func(address string) int
	// OnDialed is called after each dial with its error, if any. It may be nil.
	OnDialed func(address string, err error)
	// Dial opens a connection, like the DialContext of a net.Dialer. If it is nil, the pool opens TCP
	// connections on which an unreachable server is detected within serverUserTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// KeepAlive is how long a connection may be idle if the server announces no timeout. Zero means
	// defaultServerKeepAlive.
	KeepAlive time.Duration
}

// NewPool returns an empty pool.
func NewPool(options PoolOptions) *Pool {
	if options.OnDialed == nil {
		options.OnDialed = func(string, error) {}
	}
	if options.Dial == nil {
		options.Dial = dial
	}
	if options.KeepAlive == 0 {
		options.KeepAlive = defaultServerKeepAlive
	}
	return &Pool{options: options, idle: map[string][]*Conn{}, openCounts: map[string]int{}}
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err == nil {
		setTCPOptions(conn, serverUserTimeout)
	}
	return conn, err
}

// Conn is a connection to a backend server that carries one request at a time.
type Conn struct {
	pool    *Pool
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// idleSince is when the connection became idle.
	idleSince time.Time
	// keepAlive is the idle timeout.
	keepAlive time.Duration
	// grown says that reader has been replaced by a larger one, which may leave bytes in the first.
	// The connection is not used again.
	grown bool
	// Reused says that the connection has carried an earlier request.
	Reused bool
}

// Get returns a connection to an address for a request: one that has been idle for at most
// maxIdle or, if there is none, a new one. Used holds the connections that have carried an earlier
// attempt of the same request. They are not taken again, because a late duplicate of that attempt's
// response would have the same request ID, whatever else they have carried since.
func (pool *Pool) Get(ctx context.Context, address string, used []*Conn, maxIdle time.Duration) (*Conn, error) {
	for {
		conn := pool.takeIdle(address, used)
		if conn == nil {
			return pool.Dial(ctx, address)
		}
		if idleTime := time.Since(conn.idleSince); idleTime <= min(maxIdle, conn.keepAlive) && isOpenAndIdle(conn.conn) {
			conn.Reused = true
			return conn, nil
		}
		conn.Close()
	}
}

// takeIdle removes and returns the idle connection that was used last, other than those in used, or
// returns nil if there is none.
func (pool *Pool) takeIdle(address string, used []*Conn) *Conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.idle[address]
	for at := len(idle) - 1; at >= 0; at-- {
		if conn := idle[at]; !slices.Contains(used, conn) {
			pool.idle[address] = slices.Delete(idle, at, at+1)
			return conn
		}
	}
	return nil
}

// reserve counts a connection that is about to be opened. It returns false if the limit has
// been reached.
func (pool *Pool) reserve(address string) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.openCounts[address] >= pool.options.Limit(address) {
		return false
	}
	pool.openCounts[address]++
	return true
}

// Dial opens a new connection to an address. Its errors are ErrNotSent.
func (pool *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	if !pool.reserve(address) {
		return nil, fmt.Errorf("%w: %w: %s", ErrNotSent, ErrTooManyConnections, address)
	}
	netConn, err := pool.options.Dial(ctx, "tcp", address)
	pool.options.OnDialed(address, err)
	if err != nil {
		pool.recordClosed(address)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return &Conn{
		pool: pool, address: address, conn: netConn, reader: bufio.NewReaderSize(netConn, responseBufferBytes),
		keepAlive: pool.options.KeepAlive,
	}, nil
}

func (pool *Pool) recordClosed(address string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.openCounts[address]--; pool.openCounts[address] <= 0 {
		delete(pool.openCounts, address)
	}
}

// Sweep closes idle connections whose idle timeout has passed, and all idle connections to
// addresses for which keep returns false.
func (pool *Pool) Sweep(now time.Time, keep func(address string) bool) {
	var expired []*Conn
	pool.mutex.Lock()
	for address, idle := range pool.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if keep(address) && now.Sub(conn.idleSince) < conn.keepAlive {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		pool.idle[address] = kept
		if len(kept) == 0 {
			delete(pool.idle, address)
		}
	}
	pool.mutex.Unlock()
	for _, conn := range expired {
		conn.Close()
	}
}

// Close closes the connection. It may be called more than once.
func (conn *Conn) Close() {
	if err := conn.conn.Close(); errors.Is(err, net.ErrClosed) {
		return
	}
	conn.pool.recordClosed(conn.address)
}

// returnToPool makes the connection available for another request.
func (conn *Conn) returnToPool(now time.Time) {
	conn.idleSince = now
	conn.pool.mutex.Lock()
	defer conn.pool.mutex.Unlock()
	conn.pool.idle[conn.address] = append(conn.pool.idle[conn.address], conn)
	conn.pool.scheduleSweep()
}

// scheduleSweep closes expired connections later, if there are idle ones. The mutex must be held.
func (pool *Pool) scheduleSweep() {
	if pool.sweeping || len(pool.idle) == 0 {
		return
	}
	pool.sweeping = true
	time.AfterFunc(pool.options.KeepAlive, func() {
		pool.Sweep(time.Now(), func(string) bool { return true })
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		pool.sweeping = false
		pool.scheduleSweep()
	})
}

// CloseIdle closes the idle connections to an address.
func (pool *Pool) CloseIdle(address string) {
	pool.Sweep(time.Now(), func(idle string) bool { return idle != address })
}

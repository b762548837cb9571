package lwthttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtroutetable"
)

// Handler answers one request. It returns when the answer was sent or cannot be
// sent; the connection is closed if no whole answer was sent.
type Handler func(exchange *Exchange)

// Options describe a server.
type Options struct {
	Handler Handler
	// Limits returns the limits in force.
	Limits func() lwtroutetable.Limits
	// MaxConnections bounds the open connections.
	MaxConnections int
	// OnRejected is called when a request is answered before it reaches the handler.
	OnRejected func(status int, err error)
}

// Server accepts connections of callers.
type Server struct {
	options  Options
	mutex    sync.Mutex
	conns    map[*serverConn]bool
	draining bool
	working  sync.WaitGroup
}

// New returns a server.
func New(options Options) *Server {
	return &Server{options: options, conns: map[*serverConn]bool{}}
}

type serverConn struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	// busy says that a request is being read or answered.
	busy bool
}

// maxAcceptPause bounds the wait after a failed accept, such as one that found
// no free descriptor.
const maxAcceptPause = 100 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (server *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			server.options.OnRejected(0, fmt.Errorf("accept: %w", err))
			time.Sleep(maxAcceptPause)
			continue
		}
		server.accept(conn)
	}
}

func (server *Server) accept(conn net.Conn) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.conns) >= server.options.MaxConnections {
		server.options.OnRejected(0, fmt.Errorf("accept: %d connections are open", len(server.conns)))
		closeQuietly(conn)
		return
	}
	tune(conn, callerSilence)
	serverConn := &serverConn{server: server, conn: conn}
	server.conns[serverConn] = true
	server.working.Add(1)
	go serverConn.run()
}

// Connections returns the number of open connections and of those with a
// request in work.
func (server *Server) Connections() (open, busy int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.conns {
		if conn.busy {
			busy++
		}
	}
	return len(server.conns), busy
}

// Drain makes each connection end after its next answer. Idle connections stay
// open until CloseIdle.
func (server *Server) Drain() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.draining = true
}

// CloseIdle closes the connections without a request in work.
func (server *Server) CloseIdle() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.conns {
		if !conn.busy {
			closeQuietly(conn.conn)
		}
	}
}

// Wait returns when all connections have ended or ctx ends.
func (server *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		server.working.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (conn *serverConn) setBusy(busy bool) (draining bool) {
	conn.server.mutex.Lock()
	defer conn.server.mutex.Unlock()
	conn.busy = busy
	return conn.server.draining
}

func (conn *serverConn) run() {
	defer conn.server.working.Done()
	defer conn.end()
	conn.reader = bufio.NewReaderSize(conn.conn, max(conn.server.options.Limits().HeaderBytes, minHeaderBytes))
	var seen chan error
	for conn.awaitRequest(seen) {
		var ok bool
		if seen, ok = conn.serveOne(); !ok {
			return
		}
	}
}

const minHeaderBytes = 4096

func (conn *serverConn) end() {
	closeQuietly(conn.conn)
	conn.server.mutex.Lock()
	defer conn.server.mutex.Unlock()
	delete(conn.server.conns, conn)
}

// awaitRequest waits for the first byte of a request. Seen is the watch of the
// request before, if any.
func (conn *serverConn) awaitRequest(seen chan error) bool {
	if err := conn.conn.SetReadDeadline(time.Now().Add(conn.server.options.Limits().IdleTimeout)); err != nil {
		return false
	}
	if seen != nil {
		return <-seen == nil
	}
	_, err := conn.reader.Peek(1)
	return err == nil
}

// serveOne reads and answers one request. It reports whether the connection
// can take another one; then seen tells when its first byte has arrived.
func (conn *serverConn) serveOne() (seen chan error, ok bool) {
	draining := conn.setBusy(true)
	defer conn.setBusy(false)
	exchange := &Exchange{conn: conn.conn, closing: draining}
	exchange.context, exchange.cancel = context.WithCancel(context.Background())
	defer exchange.cancel()
	if err := conn.read(exchange); err != nil {
		conn.reject(exchange, err)
		return nil, false
	}
	exchange.Arrived = time.Now()
	if err := conn.conn.SetReadDeadline(time.Time{}); err != nil {
		return nil, false
	}
	seen = make(chan error, 1)
	go exchange.watch(conn.reader, seen)
	conn.server.options.Handler(exchange)
	return seen, exchange.ended && !exchange.closing
}

func (conn *serverConn) read(exchange *Exchange) error {
	limits := conn.server.options.Limits()
	if err := conn.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return err
	}
	exchange.Header.DisableNormalizing()
	exchange.Header.SetNoDefaultContentType(true)
	if err := exchange.Header.Read(conn.reader); err != nil {
		return err
	}
	exchange.closing = exchange.closing || exchange.Header.ConnectionClose() || !exchange.Header.IsHTTP11()
	framing, err := requestFraming(exchange.Header.RawHeaders())
	if err != nil {
		return err
	}
	if framing.length > limits.BodyBytes {
		return ErrBodyTooLarge
	}
	if string(exchange.Header.Peek("Expect")) == "100-continue" {
		if err := exchange.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	if err := conn.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout)); err != nil {
		return err
	}
	exchange.Body, err = readBody(conn.reader, framing, limits.BodyBytes)
	return err
}

// reject answers a request that could not be read.
func (conn *serverConn) reject(exchange *Exchange, err error) {
	status := rejectionStatus(err)
	conn.server.options.OnRejected(status, err)
	if status == 0 {
		return
	}
	exchange.SetConnectionClose()
	if err := exchange.Respond(status, nil, nil); err != nil {
		conn.server.options.OnRejected(0, err)
		return
	}
	// Unread bytes would reset the connection before the answer is read.
	lingerClose(conn.conn)
}

func rejectionStatus(err error) int {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fasthttp.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return 0
	case isReset(err):
		return 0
	}
	return fasthttp.StatusBadRequest
}

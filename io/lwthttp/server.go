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

// Handler responds to one request. It returns when the response has been sent or cannot be
// sent. If it has not sent a complete response, the server closes the connection.
type Handler func(exchange *Exchange)

// Options configures a server.
type Options struct {
	Handler Handler
	// Limits returns the current limits.
	Limits func() lwtroutetable.RequestLimits
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	// OnRejected is called when a request or connection is rejected before it reaches the
	// handler. Status is 0 if no response is sent. Header is nil if no head has been read.
	OnRejected func(status int, header *fasthttp.RequestHeader, err error)
	// Memory accounts for what connections and requests occupy. If it is nil, there is no bound.
	Memory Memory
}

// Memory is an account of the memory that callers may fill together. It is safe for concurrent use.
type Memory interface {
	// Reserve reports whether there is memory for so many bytes, and if so reserves them.
	Reserve(bytes int) bool
	// Release returns reserved bytes.
	Release(bytes int)
}

// unbounded is a Memory without a bound.
type unbounded struct{}

// Reserve implements Memory.
func (unbounded) Reserve(int) bool { return true }

// Release implements Memory.
func (unbounded) Release(int) {}

// What connections and requests occupy besides bodies.
const (
	// connectionBytes is for an idle connection: its buffer, its goroutine and what the kernel keeps.
	connectionBytes = 16 << 10
	// requestBytes is for a request in flight: its head, further goroutines, the connection to the
	// server and its buffers.
	requestBytes = 24 << 10
)

// ErrMemoryExhausted reports a request or connection for which there is no memory.
var ErrMemoryExhausted = fmt.Errorf("no memory for another request")

// Server is an HTTP/1.1 server for callers.
type Server struct {
	options   Options
	mutex     sync.Mutex
	conns     map[*serverConn]bool
	draining  bool
	connGroup sync.WaitGroup
}

// New returns a server. Serve starts it.
func New(options Options) *Server {
	if options.Memory == nil {
		options.Memory = unbounded{}
	}
	return &Server{options: options, conns: map[*serverConn]bool{}}
}

// serverConn is a connection from a caller.
type serverConn struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	// busy says that a request is being read or handled.
	busy bool
}

// acceptRetryDelay is the delay after a failed accept, for example if no file descriptor was
// free.
const acceptRetryDelay = 100 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (server *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			server.options.OnRejected(0, nil, fmt.Errorf("accept: %w", err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		server.accept(conn)
	}
}

func (server *Server) accept(conn net.Conn) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.conns) >= server.options.MaxConnections {
		server.options.OnRejected(0, nil, fmt.Errorf("accept: %d connections are open", len(server.conns)))
		closeConn(conn)
		return
	}
	if !server.options.Memory.Reserve(connectionBytes) {
		server.options.OnRejected(0, nil, fmt.Errorf("accept: %w: %d connections are open", ErrMemoryExhausted, len(server.conns)))
		closeConn(conn)
		return
	}
	setTCPOptions(conn, callerUserTimeout)
	serverConn := &serverConn{server: server, conn: conn}
	server.conns[serverConn] = true
	server.connGroup.Add(1)
	go serverConn.serve()
}

// Connections returns the number of open connections and of those with a request in flight.
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

// Drain makes the server close each connection after its next response. Idle connections
// remain open until CloseIdle.
func (server *Server) Drain() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.draining = true
}

// CloseIdle closes the connections without a request in flight.
func (server *Server) CloseIdle() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.conns {
		if !conn.busy {
			closeConn(conn.conn)
		}
	}
}

// Wait waits until all connections are closed or ctx is canceled.
func (server *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		server.connGroup.Wait()
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

func (conn *serverConn) serve() {
	defer conn.server.connGroup.Done()
	defer conn.closeConnection()
	conn.reader = bufio.NewReaderSize(conn.conn, minHeaderBytes)
	var nextByte chan error
	for conn.awaitRequest(nextByte) {
		var ok bool
		if nextByte, ok = conn.serveOne(); !ok {
			return
		}
	}
}

// minHeaderBytes is the minimum size of the read buffer, and so the minimum limit of headers. A
// connection gets a larger buffer with its first larger header.
const minHeaderBytes = 4096

func (conn *serverConn) closeConnection() {
	closeConn(conn.conn)
	defer conn.server.options.Memory.Release(connectionBytes)
	conn.server.mutex.Lock()
	defer conn.server.mutex.Unlock()
	delete(conn.server.conns, conn)
}

// awaitRequest waits for the first byte of the next request. It returns false if the
// connection ends or the idle timeout passes first. NextByte is the result channel of the
// previous request's watchCaller, or nil if this is the first request.
func (conn *serverConn) awaitRequest(nextByte chan error) bool {
	if err := conn.conn.SetReadDeadline(time.Now().Add(conn.server.options.Limits().IdleTimeout)); err != nil {
		return false
	}
	if nextByte != nil {
		return <-nextByte == nil
	}
	_, err := conn.reader.Peek(1)
	return err == nil
}

// serveOne reads and handles one request. It reports whether the connection can carry another
// one; nextByte then receives the result of waiting for its first byte.
func (conn *serverConn) serveOne() (nextByte chan error, ok bool) {
	draining := conn.setBusy(true)
	defer conn.setBusy(false)
	exchange := &Exchange{conn: conn.conn, closeAfterResponse: draining}
	exchange.context, exchange.cancel = context.WithCancel(context.Background())
	defer exchange.cancel()
	exchange.memory = &reservation{memory: conn.server.options.Memory}
	defer exchange.memory.release()
	if err := conn.readRequest(exchange); err != nil {
		conn.reject(exchange, err)
		return nil, false
	}
	exchange.Arrived = time.Now()
	if err := conn.conn.SetReadDeadline(time.Time{}); err != nil {
		return nil, false
	}
	nextByte = make(chan error, 1)
	go exchange.watchCaller(conn.reader, nextByte)
	conn.server.options.Handler(exchange)
	return nextByte, exchange.responseEnded && !exchange.closeAfterResponse
}

func (conn *serverConn) readRequest(exchange *Exchange) error {
	limits := conn.server.options.Limits()
	if err := conn.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return err
	}
	exchange.Header.DisableNormalizing()
	exchange.Header.SetNoDefaultContentType(true)
	if err := conn.readHeader(&exchange.Header, limits.HeaderBytes); err != nil {
		return err
	}
	exchange.closeAfterResponse = exchange.closeAfterResponse || exchange.Header.ConnectionClose() ||
		!exchange.Header.IsHTTP11()
	framing, err := requestFraming(exchange.Header.RawHeaders())
	if err != nil {
		return err
	}
	if framing.length > limits.BodyBytes {
		return ErrBodyTooLarge
	}
	body := newBody(conn.reader, framing)
	if !exchange.memory.grow(requestBytes + max(framing.length, 0)) {
		exchange.unread = body
		return ErrMemoryExhausted
	}
	if string(Field(&exchange.Header, "Expect")) == "100-continue" {
		if err := exchange.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	if err := conn.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout)); err != nil {
		return err
	}
	exchange.Body, err = readBody(body, limits.BodyBytes, exchange.memory)
	if errors.Is(err, ErrMemoryExhausted) {
		exchange.unread = body
	}
	return err
}

// readHeader reads the head of a request of at most limit bytes.
func (conn *serverConn) readHeader(header *fasthttp.RequestHeader, limit int) error {
	err := header.Read(conn.reader)
	var tooLarge *fasthttp.ErrSmallBuffer
	if errors.As(err, &tooLarge) && conn.reader.Size() < limit {
		conn.reader = bufio.NewReaderSize(conn.reader, limit)
		return header.Read(conn.reader)
	}
	return err
}

// reject responds to a request that could not be read, if a response is possible.
func (conn *serverConn) reject(exchange *Exchange, err error) {
	status := rejectionStatus(err)
	conn.server.options.OnRejected(status, &exchange.Header, err)
	if status == 0 {
		return
	}
	var head []byte
	if status == fasthttp.StatusServiceUnavailable {
		head = fmt.Appendf(nil, "Retry-After: %d\r\n", memoryRetryAfterSeconds)
	}
	exchange.SetConnectionClose()
	if err := exchange.Respond(status, head, nil); err != nil {
		conn.server.options.OnRejected(0, &exchange.Header, err)
		return
	}
	conn.setBusy(false)
	if exchange.unread != nil {
		conn.discardBody(exchange.unread)
	}
	// Closing with unread data would reset the connection before the caller reads the
	// response.
	lingerClose(conn.conn)
}

const (
	// memoryRetryAfterSeconds is when a request may come again for which there was no memory. Large
	// requests occupy theirs for some seconds.
	memoryRetryAfterSeconds = 1
	// discardTimeout is how long the rest of a body is read that is not kept.
	discardTimeout = 10 * time.Second
	// discardBufferBytes is the size of the buffer for that.
	discardBufferBytes = 1 << 10
)

// discardBody reads the body of a request that has been rejected, because many callers read a response
// only after they have sent all of the request.
func (conn *serverConn) discardBody(body io.Reader) {
	if err := conn.conn.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return
	}
	// A small buffer is enough, as the connection has one. An error means that the caller has disconnected,
	// or is too slow.
	_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, body, make([]byte, discardBufferBytes))
}

// rejectionStatus returns the status of the response to a request that could not be read, or 0
// if the connection is closed without a response.
func rejectionStatus(err error) int {
	var headerTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &headerTooLarge):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, ErrMemoryExhausted):
		return fasthttp.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fasthttp.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return 0
	case isReset(err):
		return 0
	}
	return fasthttp.StatusBadRequest
}

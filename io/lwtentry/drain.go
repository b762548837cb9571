package lwtentry

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// backlogQuiet is the time without a new connection after which the queue
	// of connections that the kernel has accepted is taken for empty.
	backlogQuiet = 50 * time.Millisecond
	// maxBacklogRounds bounds the wait for callers that do not stop to come.
	maxBacklogRounds = 20
)

// Drain tells callers from now on to close their connections after each
// answer. The server goes on serving.
func (server *Server) Drain() { server.draining.Store(true) }

// DrainListener is a listener that accepts what the kernel has queued before
// it closes. Closing a plain listener resets connections in its queue.
type DrainListener struct {
	*net.TCPListener
	done     chan struct{}
	closing  sync.Once
	closed   error
	accepted bool
	rounds   int
}

// NewDrainListener wraps a listener. Only one goroutine may accept from it.
func NewDrainListener(listener *net.TCPListener) *DrainListener {
	return &DrainListener{TCPListener: listener, done: make(chan struct{})}
}

// Accept implements net.Listener. After Finish it closes the listener and
// returns net.ErrClosed as soon as no connection is queued.
func (listener *DrainListener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.TCPListener.Accept()
		if err == nil {
			listener.accepted = true
			return conn, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		// A deadline that has passed hides what is queued, so that only a
		// round without a connection shows an empty queue.
		listener.rounds++
		if listener.rounds > 1 && !listener.accepted || listener.rounds > maxBacklogRounds {
			return nil, errors.Join(net.ErrClosed, listener.Close())
		}
		listener.accepted = false
		if err := listener.SetDeadline(time.Now().Add(backlogQuiet)); err != nil {
			return nil, err
		}
	}
}

// Drain makes Accept end once the queue is empty, and returns then.
func (listener *DrainListener) Drain() error {
	if err := listener.SetDeadline(time.Now()); err != nil {
		return fmt.Errorf("finish listening: %w", err)
	}
	select {
	case <-listener.done:
		return listener.closed
	case <-time.After(2 * maxBacklogRounds * backlogQuiet):
		// Nobody accepts any more.
		return listener.Close()
	}
}

// Close implements net.Listener. It may be called twice.
func (listener *DrainListener) Close() error {
	listener.closing.Do(func() {
		listener.closed = listener.TCPListener.Close()
		close(listener.done)
	})
	return listener.closed
}

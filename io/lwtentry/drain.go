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
	// backlogQuietPeriod is the time without a new connection after which the kernel's
	// accept queue counts as empty.
	backlogQuietPeriod = 50 * time.Millisecond
	// maxBacklogRounds is the maximum number of quiet periods to wait for while callers keep
	// connecting.
	maxBacklogRounds = 20
)

// Drain makes the server close each connection after its next response. The server keeps
// serving.
func (server *Server) Drain() { server.draining.Store(true) }

// DrainListener is a listener that accepts the connections in the kernel's accept queue
// before it closes. Closing a plain listener resets them.
type DrainListener struct {
	*net.TCPListener
	done      chan struct{}
	closeOnce sync.Once
	closeErr  error
	accepted  bool
	rounds    int
}

// NewDrainListener wraps a listener. Only one goroutine may call Accept.
func NewDrainListener(listener *net.TCPListener) *DrainListener {
	return &DrainListener{TCPListener: listener, done: make(chan struct{})}
}

// Accept implements net.Listener. After Drain is called, it closes the listener and returns
// net.ErrClosed once the accept queue is empty.
func (drainListener *DrainListener) Accept() (net.Conn, error) {
	for {
		conn, err := drainListener.TCPListener.Accept()
		if err == nil {
			drainListener.accepted = true
			return conn, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		// Accept fails after its deadline even if connections are queued. Only a further
		// round without a connection shows that the queue is empty.
		drainListener.rounds++
		if drainListener.rounds > 1 && !drainListener.accepted || drainListener.rounds > maxBacklogRounds {
			return nil, errors.Join(net.ErrClosed, drainListener.Close())
		}
		drainListener.accepted = false
		if err := drainListener.SetDeadline(time.Now().Add(backlogQuietPeriod)); err != nil {
			return nil, err
		}
	}
}

// Drain makes Accept close the listener once the accept queue is empty, and waits for it.
func (drainListener *DrainListener) Drain() error {
	if err := drainListener.SetDeadline(time.Now()); err != nil {
		return fmt.Errorf("drain listener: %w", err)
	}
	select {
	case <-drainListener.done:
		return drainListener.closeErr
	case <-time.After(2 * maxBacklogRounds * backlogQuietPeriod):
		// No goroutine calls Accept any more.
		return drainListener.Close()
	}
}

// Close implements net.Listener. It may be called more than once.
func (drainListener *DrainListener) Close() error {
	drainListener.closeOnce.Do(func() {
		drainListener.closeErr = drainListener.TCPListener.Close()
		close(drainListener.done)
	})
	return drainListener.closeErr
}

package lwtdemo

import (
	"net"
	"sync"
)

// killedDaemonIndex selects the last daemon, which the demo kills.
const killedDaemonIndex = 3

// resettableListener is a listener that can reset all its connections at once.
type resettableListener struct {
	net.Listener
	mutex sync.Mutex
	conns map[*trackedConn]struct{}
}

func newResettableListener(listener net.Listener) *resettableListener {
	return &resettableListener{Listener: listener, conns: map[*trackedConn]struct{}{}}
}

// Accept implements net.Listener.
func (listener *resettableListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, listener: listener}
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	listener.conns[tracked] = struct{}{}
	return tracked, nil
}

// Reset closes the listener and resets all its connections.
func (listener *resettableListener) Reset() {
	// A close error means that the listener is closed already.
	_ = listener.Close()
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	for conn := range listener.conns {
		if tcp, found := conn.Conn.(*net.TCPConn); found {
			// With linger 0, closing the connection sends a reset, as the peers of a
			// lost VM would see.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Conn.Close()
	}
	clear(listener.conns)
}

// trackedConn removes itself from its listener when it is closed.
type trackedConn struct {
	net.Conn
	listener *resettableListener
}

// Close implements net.Conn.
func (conn *trackedConn) Close() error {
	conn.listener.mutex.Lock()
	delete(conn.listener.conns, conn)
	conn.listener.mutex.Unlock()
	return conn.Conn.Close()
}

// kill stops a daemon abruptly, as if its VM were lost.
func (daemon *daemon) kill() {
	if daemon.entry != nil {
		daemon.entry.Reset()
	}
	daemon.Halt()
}

// hasEnded reports whether the daemon has ended. It leaves the result in the
// channel.
func (daemon *daemon) hasEnded() bool {
	select {
	case err := <-daemon.ended:
		daemon.ended <- err
		return true
	default:
		return false
	}
}

package lwtdemo

import (
	"net"
	"sync"
)

// killedDaemon is the index of the daemon that the demo kills.
const killedDaemon = 3

// cutListener can break all its connections at once.
type cutListener struct {
	net.Listener
	mutex sync.Mutex
	conns map[*cutConn]struct{}
}

func newCutListener(listener net.Listener) *cutListener {
	return &cutListener{Listener: listener, conns: map[*cutConn]struct{}{}}
}

// Accept implements net.Listener.
func (listener *cutListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &cutConn{Conn: conn, listener: listener}
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	listener.conns[tracked] = struct{}{}
	return tracked, nil
}

// Cut closes the listener and resets all connections.
func (listener *cutListener) Cut() {
	// A listener that is closed already accepts nothing either.
	_ = listener.Close()
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	for conn := range listener.conns {
		if tcp, found := conn.Conn.(*net.TCPConn); found {
			// Without lingering, closing resets the connection, as a lost VM's peer would see.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Conn.Close()
	}
	clear(listener.conns)
}

type cutConn struct {
	net.Conn
	listener *cutListener
}

// Close implements net.Conn.
func (conn *cutConn) Close() error {
	conn.listener.mutex.Lock()
	delete(conn.listener.conns, conn)
	conn.listener.mutex.Unlock()
	return conn.Conn.Close()
}

// kill ends a daemon as the loss of its VM would.
func (daemon *daemon) kill() {
	if daemon.entry != nil {
		daemon.entry.Cut()
	}
	daemon.Halt()
}

// halted reports whether the daemon has ended, and keeps its result.
func (daemon *daemon) halted() bool {
	select {
	case err := <-daemon.ended:
		daemon.ended <- err
		return true
	default:
		return false
	}
}

package lwtentry

import (
	"io"
	"net"
	"time"
)

// Bounds of callers' connections.
const (
	// callerStall bounds the time in which a caller takes nothing of an answer.
	callerStall = 10 * time.Second
	// lingerTime and lingerBytes bound what is read from a caller after the
	// last answer. Closing with bytes unread would reset the connection, and the
	// caller would lose the answer that says what was wrong.
	lingerTime  = time.Second
	lingerBytes = 16 << 20
)

// callerKeepAlive finds a caller that is no longer there within 3 s.
var callerKeepAlive = net.KeepAliveConfig{
	Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3,
}

// callerListener sets bounds on each connection that it accepts.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (listener callerListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	socket, found := conn.(*net.TCPConn)
	if !found {
		return conn, nil
	}
	if err := socket.SetKeepAliveConfig(callerKeepAlive); err != nil {
		// The connection broke already; its first read fails.
		return conn, nil
	}
	return &callerConn{TCPConn: socket}, nil
}

// callerConn is a connection to a caller.
type callerConn struct{ *net.TCPConn }

// Write implements net.Conn. It fails when the caller takes nothing for
// callerStall.
func (conn *callerConn) Write(buffer []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(callerStall)); err != nil {
		return 0, err
	}
	return conn.TCPConn.Write(buffer)
}

// Close implements net.Conn.
func (conn *callerConn) Close() error {
	if CallerDisconnected(conn.TCPConn) || conn.CloseWrite() != nil {
		return conn.TCPConn.Close()
	}
	go func() {
		if conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
			// The bytes belong to a request that was refused already.
			_, _ = io.CopyN(io.Discard, conn.TCPConn, lingerBytes)
		}
		_ = conn.TCPConn.Close() // nothing is left to send
	}()
	return nil
}

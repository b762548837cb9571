package lwtentry

import (
	"io"
	"net"
	"time"
)

// Limits of callers' connections.
const (
	// callerWriteTimeout is the maximum duration of one write to a caller.
	callerWriteTimeout = 10 * time.Second
	// lingerTimeout and maxLingerBytes limit what is read from a caller after the last
	// response. Closing with unread bytes would reset the connection, and the caller might
	// lose the error response.
	lingerTimeout  = time.Second
	maxLingerBytes = 16 << 20
)

// callerKeepAlive detects an unreachable caller within 3 s.
var callerKeepAlive = net.KeepAliveConfig{
	Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3,
}

// callerListener enables keep-alive and a write timeout on the connections that it accepts.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (callerListener callerListener) Accept() (net.Conn, error) {
	conn, err := callerListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcpConn, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return conn, nil
	}
	if err := tcpConn.SetKeepAliveConfig(callerKeepAlive); err != nil {
		// The connection is already broken; its first read fails.
		return conn, nil
	}
	return &callerConn{TCPConn: tcpConn}, nil
}

// callerConn is a TCP connection from a caller.
type callerConn struct{ *net.TCPConn }

// Write implements net.Conn. It fails if it takes longer than callerWriteTimeout.
func (callerConn *callerConn) Write(data []byte) (int, error) {
	if err := callerConn.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		return 0, err
	}
	return callerConn.TCPConn.Write(data)
}

// Close implements net.Conn. It closes the write side at once, and the connection once the
// caller has closed its side or a linger limit is reached.
func (callerConn *callerConn) Close() error {
	if CallerDisconnected(callerConn.TCPConn) || callerConn.CloseWrite() != nil {
		return callerConn.TCPConn.Close()
	}
	go func() {
		if callerConn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
			// These bytes belong to a request that was already rejected.
			_, _ = io.CopyN(io.Discard, callerConn.TCPConn, maxLingerBytes)
		}
		_ = callerConn.TCPConn.Close() // all data was sent, so an error changes nothing
	}()
	return nil
}

package lwtpeer

import (
	"net"
	"sync/atomic"
)

// Counters count what has happened on all connections of a daemon.
type Counters struct {
	// BytesSent and BytesReceived count the payload of TCP.
	BytesSent, BytesReceived       atomic.Int64
	MessagesSent, MessagesReceived atomic.Int64
	// MessagesDropped counts messages that found a full queue or no connection.
	MessagesDropped atomic.Int64
	// MessagesIgnored counts messages that were malformed or of an unknown type.
	MessagesIgnored atomic.Int64
	// SilenceTimeouts counts connections closed because nothing came.
	SilenceTimeouts    atomic.Int64
	Dials, DialsFailed atomic.Int64
	// ConnectionsRefused counts those who dialled and were turned away.
	ConnectionsRefused atomic.Int64
	// ConnectionsOpen counts the connections now open.
	ConnectionsOpen atomic.Int64
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	counters *Counters
}

// Read implements net.Conn.
func (conn countedConn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	conn.counters.BytesReceived.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (conn countedConn) Write(buffer []byte) (int, error) {
	n, err := conn.Conn.Write(buffer)
	conn.counters.BytesSent.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	counters *Counters
}

// Accept implements net.Listener.
func (listener countedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, listener.counters}, nil
}

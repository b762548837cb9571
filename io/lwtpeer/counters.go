package lwtpeer

import (
	"net"
	"sync/atomic"
)

// Counters holds the counters of all connections of a daemon.
type Counters struct {
	// BytesSent and BytesReceived count TCP payload bytes.
	BytesSent, BytesReceived       atomic.Int64
	MessagesSent, MessagesReceived atomic.Int64
	// MessagesDropped counts messages dropped because a queue was full or a peer could not be
	// reached.
	MessagesDropped atomic.Int64
	// MessagesIgnored counts received messages that were malformed or of an unknown type.
	MessagesIgnored atomic.Int64
	// SilenceTimeouts counts connections closed because no frame arrived for SilenceTimeout.
	SilenceTimeouts    atomic.Int64
	Dials, DialsFailed atomic.Int64
	// ConnectionsRefused counts incoming connections that were refused or failed the handshake.
	ConnectionsRefused atomic.Int64
	// ConnectionsOpen is the number of open connections.
	ConnectionsOpen atomic.Int64
}

// countingConn counts the bytes sent and received on a connection.
type countingConn struct {
	net.Conn
	counters *Counters
}

// Read implements net.Conn.
func (countingConn countingConn) Read(buffer []byte) (int, error) {
	n, err := countingConn.Conn.Read(buffer)
	countingConn.counters.BytesReceived.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (countingConn countingConn) Write(buffer []byte) (int, error) {
	n, err := countingConn.Conn.Write(buffer)
	countingConn.counters.BytesSent.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	counters *Counters
}

// Accept implements net.Listener.
func (countingListener countingListener) Accept() (net.Conn, error) {
	conn, err := countingListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, countingListener.counters}, nil
}

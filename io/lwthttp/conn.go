package lwthttp

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of TCP connections.
const (
	// callerUserTimeout and serverUserTimeout are how long sent data may remain
	// unacknowledged before the connection fails (TCP_USER_TIMEOUT).
	callerUserTimeout = 5 * time.Second
	serverUserTimeout = 1500 * time.Millisecond
	// The TCP keep-alive probes detect idle connections whose peer has become unreachable.
	tcpKeepAliveIdle     = 5 * time.Second
	tcpKeepAliveInterval = time.Second
	tcpKeepAliveProbes   = 3
	// lingerTimeout is the maximum time for reading the rest of a rejected request.
	lingerTimeout = 500 * time.Millisecond
)

// setTCPOptions enables keep-alive probes and TCP_USER_TIMEOUT, which detect a peer that has
// become unreachable.
func setTCPOptions(conn net.Conn, userTimeout time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	// Errors are ignored: without these options, an unreachable peer is only detected later.
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: tcpKeepAliveIdle, Interval: tcpKeepAliveInterval, Count: tcpKeepAliveProbes,
	})
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(descriptor uintptr) {
			_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
	}
}

// closeConn closes a connection. Errors are ignored: they only say that it was already closed.
func closeConn(conn net.Conn) { _ = conn.Close() }

// lingerClose closes the write side and reads what the peer still sends, for at most
// lingerTimeout and 1 MiB. Closing a connection with unread data resets it, which could
// discard a response on its way to the peer.
func lingerClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	if err := conn.SetReadDeadline(time.Now().Add(lingerTimeout)); err == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, 1<<20))
	}
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT)
}

// isOpenAndIdle reports whether a connection is open and has no data to read. One that gives no access to
// its socket counts as such.
func isOpenAndIdle(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

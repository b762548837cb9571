package lwtentry

import (
	"net"
	"syscall"
	"time"
)

// disconnectPollInterval is the time between two checks of a caller's connection.
const disconnectPollInterval = 100 * time.Millisecond

// CallerDisconnected reports whether the peer has closed a connection. It consumes no bytes.
// A caller with unread bytes counts as connected, even if it has closed the connection
// after them, and so does a connection that is not a syscall.Conn.
func CallerDisconnected(conn net.Conn) bool {
	syscallConn, found := conn.(syscall.Conn)
	if !found {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	disconnected := false
	var buffer [1]byte
	err = rawConn.Control(func(fd uintptr) {
		count, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock := err == syscall.EAGAIN || err == syscall.EINTR
		disconnected = count <= 0 && !wouldBlock
	})
	return disconnected || err != nil
}

// WatchDisconnect calls onDisconnect at most once, when the caller closes its connection
// before stop is called. After stop returns, onDisconnect is neither running nor called.
func WatchDisconnect(conn net.Conn, onDisconnect func()) (stop func()) {
	stopped, exited := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(exited)
		ticker := time.NewTicker(disconnectPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-ticker.C:
				if CallerDisconnected(conn) {
					onDisconnect()
					return
				}
			}
		}
	}()
	return func() {
		close(stopped)
		<-exited
	}
}

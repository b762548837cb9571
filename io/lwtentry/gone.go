package lwtentry

import (
	"net"
	"syscall"
	"time"
)

// goneInterval is the time between two looks at a caller's connection.
const goneInterval = 100 * time.Millisecond

// CallerDisconnected reports whether the other end of a connection has closed it. It
// reads nothing. A caller that has sent further bytes, or whose connection
// gives no access to its socket, counts as present.
func CallerDisconnected(conn net.Conn) bool {
	socket, found := conn.(syscall.Conn)
	if !found {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	var peeked [1]byte
	err = raw.Control(func(fd uintptr) {
		count, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		again := err == syscall.EAGAIN || err == syscall.EINTR
		gone = count <= 0 && !again
	})
	return gone || err != nil
}

// WatchDisconnect calls gone at most once, when the caller closes its connection
// before stop is called. Stop waits until gone has returned or will not be
// called.
func WatchDisconnect(conn net.Conn, gone func()) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(goneInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				if CallerDisconnected(conn) {
					gone()
					return
				}
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

package lwtengine

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"lacewingtide/io/lwthttp"
)

// progressConn fails reads and writes that make no progress within ProgressTimeout. Engines
// send a keep-alive every second, so a longer silence means that the connection is lost.
type progressConn struct {
	net.Conn
}

// Read implements net.Conn.
func (conn *progressConn) Read(buffer []byte) (int, error) {
	if err := conn.SetReadDeadline(time.Now().Add(ProgressTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Read(buffer)
}

// Write implements net.Conn.
func (conn *progressConn) Write(buffer []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(ProgressTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Write(buffer)
}

// SyscallConn implements syscall.Conn.
func (conn *progressConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// classifyError wraps an error of the HTTP client, if there is one, in ErrNotSent or ErrOutcomeUnknown.
func classifyError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, lwthttp.ErrNotSent) {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

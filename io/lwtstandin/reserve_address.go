package lwtstandin

import (
	"net"
	"syscall"
)

// reserveAddress binds an address (IPv4 TCP) without listening, so that connections
// to it are refused. Without this, the kernel could assign the port of a closed
// listener to another listener, and a test would reach the wrong server.
func reserveAddress(address net.Addr) (release func()) {
	tcp, found := address.(*net.TCPAddr)
	if !found || tcp.IP.To4() == nil {
		return func() {}
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return func() {}
	}
	// Connections that the listener accepted still use the port, so binding needs
	// SO_REUSEADDR. Clearing the option afterwards prevents others from binding the
	// port. If this fails, the port is merely unlikely to be assigned again at once.
	_ = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	_ = syscall.Bind(socket, &syscall.SockaddrInet4{Port: tcp.Port, Addr: [4]byte(tcp.IP.To4())})
	_ = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
	return func() { _ = syscall.Close(socket) }
}

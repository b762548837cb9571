package lwtstandin

import (
	"net"
	"syscall"
)

// refuseAt binds an address (IPv4 TCP) without listening, so that connections
// to it are refused. A closed listener's port alone could be given to another
// listener, and a test would reach a server that is not its own.
func refuseAt(address net.Addr) (release func()) {
	tcp, found := address.(*net.TCPAddr)
	if !found || tcp.IP.To4() == nil {
		return func() {}
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return func() {}
	}
	// Connections that the listener accepted still use the port, so binding
	// needs the option; clearing it then keeps others away. Without the address
	// the port is only unlikely to be given away at once.
	_ = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	_ = syscall.Bind(socket, &syscall.SockaddrInet4{Port: tcp.Port, Addr: [4]byte(tcp.IP.To4())})
	_ = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
	return func() { _ = syscall.Close(socket) }
}

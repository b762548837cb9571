package lwtstandin

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// Direction is a set of directions in which a BlackholeProxy discards bytes.
type Direction uint8

// The directions of a BlackholeProxy. They may be combined.
const (
	TowardsTarget Direction = 1 << iota
	TowardsCaller
	BothDirections = TowardsTarget | TowardsCaller
)

const proxyBufferBytes = 4 << 10

// BlackholeProxy forwards TCP connections to a target. After a call of Blackhole
// the connections stay open, but their bytes and the end of the stream are lost.
type BlackholeProxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	conns    []*proxiedConn
}

type proxiedConn struct {
	caller, target net.Conn
	blackholed     atomic.Uint32
}

// NewBlackholeProxy returns a proxy that listens on a loopback port.
func NewBlackholeProxy(target string) (*BlackholeProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for proxy: %w", err)
	}
	return &BlackholeProxy{listener: listener, target: target}, nil
}

// Address returns the address on which the proxy listens (IP:port).
func (proxy *BlackholeProxy) Address() string { return proxy.listener.Addr().String() }

// Blackhole makes all open connections discard bytes in a direction. Connections
// accepted later work.
func (proxy *BlackholeProxy) Blackhole(direction Direction) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, conn := range proxy.conns {
		conn.blackholed.Store(uint32(direction))
	}
}

// Serve forwards connections until Close.
func (proxy *BlackholeProxy) Serve() error {
	for {
		caller, err := proxy.listener.Accept()
		if err != nil {
			return err
		}
		target, err := net.Dial("tcp", proxy.target)
		if err != nil {
			// The caller sees that the connection is closed; a close error adds nothing.
			_ = caller.Close()
			continue
		}
		conn := proxy.add(caller, target)
		go conn.copy(target, caller, TowardsTarget)
		go conn.copy(caller, target, TowardsCaller)
	}
}

// Close stops the proxy and closes its connections.
func (proxy *BlackholeProxy) Close() error {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, conn := range proxy.conns {
		conn.close()
	}
	return proxy.listener.Close()
}

func (proxy *BlackholeProxy) add(caller, target net.Conn) *proxiedConn {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	conn := &proxiedConn{caller: caller, target: target}
	proxy.conns = append(proxy.conns, conn)
	return conn
}

func (conn *proxiedConn) close() {
	// The connections may be closed already.
	_, _ = conn.caller.Close(), conn.target.Close()
}

func (conn *proxiedConn) isBlackholed(direction Direction) bool {
	return Direction(conn.blackholed.Load())&direction != 0
}

func (conn *proxiedConn) copy(to, from net.Conn, direction Direction) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !conn.isBlackholed(direction) {
				conn.close()
			}
			return
		}
		if conn.isBlackholed(direction) {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			conn.close()
			return
		}
	}
}

package lwtstandin

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// Direction says which way a SilentRelay swallows bytes.
type Direction uint8

// The directions of a SilentRelay. They may be combined.
const (
	TowardsTarget Direction = 1 << iota
	TowardsCaller
	BothDirections = TowardsTarget | TowardsCaller
)

const relayBufferBytes = 4 << 10

// BlackholeProxy passes TCP connections on to a target. When it is silenced, the
// connections stay open but their bytes, and the end of the stream, are lost.
type BlackholeProxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	conns    []*relayedConn
}

type relayedConn struct {
	caller, target net.Conn
	silent         atomic.Uint32
}

// NewBlackholeProxy returns a relay on a loopback port.
func NewBlackholeProxy(target string) (*BlackholeProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for relay: %w", err)
	}
	return &BlackholeProxy{listener: listener, target: target}, nil
}

// Address returns where the relay listens (IP:port).
func (relay *BlackholeProxy) Address() string { return relay.listener.Addr().String() }

// Blackhole makes all open connections fall silent. New ones work.
func (relay *BlackholeProxy) Blackhole(direction Direction) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for _, conn := range relay.conns {
		conn.silent.Store(uint32(direction))
	}
}

// Serve relays connections until Close.
func (relay *BlackholeProxy) Serve() error {
	for {
		caller, err := relay.listener.Accept()
		if err != nil {
			return err
		}
		target, err := net.Dial("tcp", relay.target)
		if err != nil {
			// The caller sees the close.
			_ = caller.Close()
			continue
		}
		conn := relay.add(caller, target)
		go conn.copy(target, caller, TowardsTarget)
		go conn.copy(caller, target, TowardsCaller)
	}
}

// Close stops the relay and closes its connections.
func (relay *BlackholeProxy) Close() error {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for _, conn := range relay.conns {
		conn.close()
	}
	return relay.listener.Close()
}

func (relay *BlackholeProxy) add(caller, target net.Conn) *relayedConn {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	conn := &relayedConn{caller: caller, target: target}
	relay.conns = append(relay.conns, conn)
	return conn
}

func (conn *relayedConn) close() {
	// Closing twice is harmless.
	_, _ = conn.caller.Close(), conn.target.Close()
}

func (conn *relayedConn) isSilent(direction Direction) bool {
	return Direction(conn.silent.Load())&direction != 0
}

func (conn *relayedConn) copy(to, from net.Conn, direction Direction) {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !conn.isSilent(direction) {
				conn.close()
			}
			return
		}
		if conn.isSilent(direction) {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			conn.close()
			return
		}
	}
}

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
	BothWays = TowardsTarget | TowardsCaller
)

const relayBufferBytes = 4 << 10

// SilentRelay passes TCP connections on to a target. When it is silenced, the
// connections stay open but their bytes, and the news of a close, are lost.
type SilentRelay struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	conns    []*relayedConn
	// budget is the bytes that new connections pass on each way before they
	// fall silent; negative means no bound.
	budget    int64
	direction Direction
}

type relayedConn struct {
	caller, target net.Conn
	silent         atomic.Uint32
	left           atomic.Int64
	direction      Direction
}

// NewSilentRelay returns a relay on a loopback port.
func NewSilentRelay(target string) (*SilentRelay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for relay: %w", err)
	}
	return &SilentRelay{listener: listener, target: target, budget: -1}, nil
}

// Address returns where the relay listens (IP:port).
func (relay *SilentRelay) Address() string { return relay.listener.Addr().String() }

// SilenceAfter makes connections opened from now on fall silent after they
// passed on a number of bytes, counted over both directions. A negative number
// means that they don't.
func (relay *SilentRelay) SilenceAfter(bytes int64, direction Direction) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.budget, relay.direction = bytes, direction
}

// Silence makes all open connections fall silent. New ones work.
func (relay *SilentRelay) Silence(direction Direction) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for _, conn := range relay.conns {
		conn.silent.Store(uint32(direction))
	}
}

// Serve relays connections until Close.
func (relay *SilentRelay) Serve() error {
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
func (relay *SilentRelay) Close() error {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for _, conn := range relay.conns {
		conn.close()
	}
	return relay.listener.Close()
}

func (relay *SilentRelay) add(caller, target net.Conn) *relayedConn {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	conn := &relayedConn{caller: caller, target: target, direction: relay.direction}
	conn.left.Store(relay.budget)
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

// count takes passed bytes off the budget and falls silent when it is used up.
// It returns how many of the bytes still pass.
func (conn *relayedConn) count(n int) int {
	if conn.left.Load() < 0 {
		return n
	}
	left := conn.left.Add(-int64(n))
	if left > 0 {
		return n
	}
	conn.left.Store(0)
	conn.silent.Store(uint32(conn.direction))
	return max(0, n+int(left))
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
		pass := conn.count(n)
		if !conn.isSilent(direction) {
			pass = n
		}
		if _, err := to.Write(buffer[:pass]); err != nil {
			conn.close()
			return
		}
	}
}

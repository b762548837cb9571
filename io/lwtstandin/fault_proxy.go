package lwtstandin

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// ProxyFault says how a FaultRelay fails.
type ProxyFault struct {
	// AfterBytes is the number of bytes of one direction that still pass.
	AfterBytes int64
	// Upstream and Down select the directions in which further bytes are swallowed:
	// towards the target, and back.
	Upstream, Downstream bool
	// Reset resets the connection instead of swallowing.
	Reset bool
	// Connections is the number of connections that fail, in the order of
	// their acceptance; 0 means all.
	Connections int64
}

// FaultProxy passes TCP connections on to a target and makes them fail.
type FaultProxy struct {
	target   string
	mutex    sync.Mutex
	fault    ProxyFault
	left     int64
	listener net.Listener
	open     map[net.Conn]bool
	// release gives up the address that a closed relay keeps.
	release  func()
	accepted atomic.Int64
	silenced atomic.Int64
}

// NewFaultProxy returns a relay to an address that passes everything on.
func NewFaultProxy(target string) *FaultProxy {
	return &FaultProxy{target: target, open: map[net.Conn]bool{}}
}

// SetFault changes how connections accepted from now on fail.
func (relay *FaultProxy) SetFault(fault ProxyFault) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.fault, relay.left = fault, fault.Connections
}

// ConnectionsAccepted returns the number of connections accepted so far.
func (relay *FaultProxy) ConnectionsAccepted() int64 { return relay.accepted.Load() }

// ConnectionsOpen returns the number of open connections.
func (relay *FaultProxy) ConnectionsOpen() int {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	return len(relay.open)
}

// BlackholedDirections returns the number of directions that have begun to swallow bytes.
func (relay *FaultProxy) BlackholedDirections() int64 { return relay.silenced.Load() }

// Close refuses further connections and breaks the open ones, as the death of
// the target does.
func (relay *FaultProxy) Close() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	if relay.listener != nil && relay.release == nil {
		// A listener that is closed already refuses as well.
		_ = relay.listener.Close()
		relay.release = refuseAt(relay.listener.Addr())
	}
	for conn := range relay.open {
		closeQuietly(conn)
	}
}

// ReleaseAddress gives up the address of a closed relay.
func (relay *FaultProxy) ReleaseAddress() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	if relay.release != nil {
		relay.release()
	}
	relay.release = func() {}
}

func (relay *FaultProxy) track(conn net.Conn, open bool) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	if open {
		relay.open[conn] = true
	} else {
		delete(relay.open, conn)
	}
}

// Serve relays connections until the listener is closed.
func (relay *FaultProxy) Serve(listener net.Listener) error {
	relay.mutex.Lock()
	relay.listener = listener
	relay.mutex.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		relay.accepted.Add(1)
		go relay.pass(conn, relay.take())
	}
}

// take returns the fault of the next connection.
func (relay *FaultProxy) take() ProxyFault {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	if relay.fault.Connections == 0 {
		return relay.fault
	}
	if relay.left == 0 {
		return ProxyFault{}
	}
	relay.left--
	return relay.fault
}

func (relay *FaultProxy) pass(caller net.Conn, fault ProxyFault) {
	defer closeQuietly(caller)
	relay.track(caller, true)
	defer relay.track(caller, false)
	target, err := net.Dial("tcp", relay.target)
	if err != nil {
		return
	}
	defer closeQuietly(target)
	ended := make(chan struct{}, 2)
	direction := func(to, from net.Conn, fails bool) {
		defer func() { ended <- struct{}{} }()
		// An error ends the direction, as the end of the stream does.
		if !fails {
			_, _ = io.Copy(to, from)
			return
		}
		if _, err := io.CopyN(to, from, fault.AfterBytes); err != nil {
			return
		}
		relay.fail(caller, target, from, fault)
	}
	go direction(target, caller, fault.Upstream)
	go direction(caller, target, fault.Downstream)
	<-ended
}

// fail resets the connection, or swallows what comes until it is closed.
func (relay *FaultProxy) fail(caller, target, from net.Conn, fault ProxyFault) {
	if fault.Reset {
		for _, conn := range []net.Conn{caller, target} {
			if socket, found := conn.(*net.TCPConn); found {
				// Without linger, closing sends a reset.
				_ = socket.SetLinger(0)
			}
		}
		return
	}
	relay.silenced.Add(1)
	// An error ends the swallowing, as the end of the stream does.
	_, _ = io.Copy(io.Discard, from)
}

func closeQuietly(conn net.Conn) {
	if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return
	}
}

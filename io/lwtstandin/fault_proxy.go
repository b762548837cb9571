package lwtstandin

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// ProxyFault describes how the connections of a FaultProxy fail.
type ProxyFault struct {
	// AfterBytes is the number of bytes that a direction forwards before it fails.
	AfterBytes int64
	// Upstream and Downstream select the directions that fail: towards the target
	// and towards the caller. The connection stays open, but further bytes in a
	// failed direction are discarded.
	Upstream, Downstream bool
	// Reset resets the connection instead of discarding bytes.
	Reset bool
	// Connections is the number of connections that fail, counted from the next one
	// accepted; 0 means all.
	Connections int64
}

// FaultProxy forwards TCP connections to a target and injects faults into them.
type FaultProxy struct {
	target     string
	mutex      sync.Mutex
	fault      ProxyFault
	faultsLeft int64
	listener   net.Listener
	conns      map[net.Conn]bool
	// release frees the address that a closed proxy reserves.
	release    func()
	accepted   atomic.Int64
	blackholed atomic.Int64
}

// NewFaultProxy returns a proxy without faults to a target address (IP:port).
func NewFaultProxy(target string) *FaultProxy {
	return &FaultProxy{target: target, conns: map[net.Conn]bool{}}
}

// SetFault sets the fault of connections accepted from now on.
func (proxy *FaultProxy) SetFault(fault ProxyFault) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.fault, proxy.faultsLeft = fault, fault.Connections
}

// ConnectionsAccepted returns the number of connections accepted so far.
func (proxy *FaultProxy) ConnectionsAccepted() int64 { return proxy.accepted.Load() }

// ConnectionsOpen returns the number of open connections.
func (proxy *FaultProxy) ConnectionsOpen() int {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return len(proxy.conns)
}

// BlackholedDirections returns the number of connection directions whose bytes are
// or were discarded.
func (proxy *FaultProxy) BlackholedDirections() int64 { return proxy.blackholed.Load() }

// Close makes further connections fail as refused and closes the open ones, as if
// the target process had crashed.
func (proxy *FaultProxy) Close() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if proxy.listener != nil && proxy.release == nil {
		// A close error means that the listener is closed already.
		_ = proxy.listener.Close()
		proxy.release = reserveAddress(proxy.listener.Addr())
	}
	for conn := range proxy.conns {
		closeQuietly(conn)
	}
}

// ReleaseAddress frees the address of a closed proxy.
func (proxy *FaultProxy) ReleaseAddress() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if proxy.release != nil {
		proxy.release()
	}
	proxy.release = func() {}
}

func (proxy *FaultProxy) track(conn net.Conn, open bool) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if open {
		proxy.conns[conn] = true
	} else {
		delete(proxy.conns, conn)
	}
}

// Serve forwards the connections of a listener until the listener is closed.
func (proxy *FaultProxy) Serve(listener net.Listener) error {
	proxy.mutex.Lock()
	proxy.listener = listener
	proxy.mutex.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		proxy.accepted.Add(1)
		go proxy.forward(conn, proxy.nextFault())
	}
}

// nextFault returns the fault of the next connection and counts it.
func (proxy *FaultProxy) nextFault() ProxyFault {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if proxy.fault.Connections == 0 {
		return proxy.fault
	}
	if proxy.faultsLeft == 0 {
		return ProxyFault{}
	}
	proxy.faultsLeft--
	return proxy.fault
}

func (proxy *FaultProxy) forward(caller net.Conn, fault ProxyFault) {
	defer closeQuietly(caller)
	proxy.track(caller, true)
	defer proxy.track(caller, false)
	target, err := net.Dial("tcp", proxy.target)
	if err != nil {
		return
	}
	defer closeQuietly(target)
	ended := make(chan struct{}, 2)
	copyDirection := func(to, from net.Conn, fails bool) {
		defer func() { ended <- struct{}{} }()
		// An error ends the direction in the same way as the end of the stream.
		if !fails {
			_, _ = io.Copy(to, from)
			return
		}
		if _, err := io.CopyN(to, from, fault.AfterBytes); err != nil {
			return
		}
		proxy.applyFault(caller, target, from, fault)
	}
	go copyDirection(target, caller, fault.Upstream)
	go copyDirection(caller, target, fault.Downstream)
	<-ended
}

// applyFault resets the connection, or discards the bytes of a direction until the
// connection is closed.
func (proxy *FaultProxy) applyFault(caller, target, from net.Conn, fault ProxyFault) {
	if fault.Reset {
		for _, conn := range []net.Conn{caller, target} {
			if socket, found := conn.(*net.TCPConn); found {
				// With linger 0, closing the connection sends a reset.
				_ = socket.SetLinger(0)
			}
		}
		return
	}
	proxy.blackholed.Add(1)
	// An error ends the direction in the same way as the end of the stream.
	_, _ = io.Copy(io.Discard, from)
}

func closeQuietly(conn net.Conn) {
	if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return
	}
}

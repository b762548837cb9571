package lwtstandin

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// TestClosedRelayKeepsItsPort guards against the kernel assigning the port of a
// closed proxy to a server of another test, which would then respond in its place.
func TestClosedRelayKeepsItsPort(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := NewFaultProxy("127.0.0.1:1")
	ended := make(chan error, 1)
	go func() { ended <- proxy.Serve(listener) }()
	var served error
	for served == nil {
		// The proxy may not have started to serve yet.
		proxy.Close()
		select {
		case served = <-ended:
		default:
		}
	}
	if _, err := net.Dial("tcp", listener.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial of the closed proxy: error %v, want connection refused", err)
	}
	if other, err := net.Listen("tcp", listener.Addr().String()); err == nil {
		_ = other.Close()
		t.Error("another listener was given the port")
	}
	proxy.ReleaseAddress()
	other, err := net.Listen("tcp", listener.Addr().String())
	if err != nil {
		t.Fatalf("listen after the release: %v", err)
	}
	_ = other.Close()
}

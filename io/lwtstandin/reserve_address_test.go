package lwtstandin

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// TestClosedRelayKeepsItsPort guards against a server of another test that is
// given the port of a closed relay and answers in its place.
func TestClosedRelayKeepsItsPort(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	relay := NewFaultProxy("127.0.0.1:1")
	ended := make(chan error, 1)
	go func() { ended <- relay.Serve(listener) }()
	var served error
	for served == nil {
		// The relay may not have begun to serve yet.
		relay.Close()
		select {
		case served = <-ended:
		default:
		}
	}
	if _, err := net.Dial("tcp", listener.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial: %v, want refused", err)
	}
	if other, err := net.Listen("tcp", listener.Addr().String()); err == nil {
		_ = other.Close()
		t.Error("another listener was given the port")
	}
	relay.ReleaseAddress()
	other, err := net.Listen("tcp", listener.Addr().String())
	if err != nil {
		t.Fatalf("listen after the release: %v", err)
	}
	_ = other.Close()
}

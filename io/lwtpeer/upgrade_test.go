package lwtpeer_test

import (
	"bytes"
	"io"
	"net"
	"testing"

	"lacewingtide/io/lwthttptest"
)

// fieldInserter starts a proxy before a daemon that inserts a field line into the first response of each connection.
func fieldInserter(t *testing.T, address, line string) string {
	t.Helper()
	return lwthttptest.Accept(t, func(caller *net.TCPConn) {
		defer func() { _ = caller.Close() }()
		daemon, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(daemon, caller)
			_ = daemon.Close()
		}()
		head := make([]byte, 4096)
		n, _ := daemon.Read(head)
		_, _ = caller.Write(bytes.Replace(head[:n], []byte("\r\n"), []byte("\r\n"+line+"\r\n"), 1))
		_, _ = io.Copy(caller, daemon)
	})
}

// TestInvalidUpgrades guards against a connection between daemons that begins with bytes that are no valid response.
func TestInvalidUpgrades(t *testing.T) {
	for _, line := range []string{"X-Y: 1", "X y: 1", "X : 1", "X-Y: 1\n"} {
		a, b := newNode(t, "a", key, nil), newNode(t, "b", key, nil)
		if err := a.SendTo(fieldInserter(t, b.address, line), "text", "one"); err != nil {
			t.Fatal(err)
		}
		if line == "X-Y: 1" {
			b.expect(t, "a:one")
			continue
		}
		waitFor(t, func() bool { return a.Counters().DialsFailed.Load() == 1 || len(b.received) > 0 })
		if len(b.received) > 0 {
			t.Errorf("%q: a message was sent over the connection", line)
		}
	}
}

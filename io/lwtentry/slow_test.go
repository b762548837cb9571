package lwtentry_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtentry"
)

type knownState struct{}

// State implements lwtentry.StateSource.
func (knownState) State() (lwtdeclaredstate.State, bool) { return lwtdeclaredstate.New(), true }

// TestSlowSenderIsAnswered guards against a connection held for ever by a
// caller that sends a part of its request, and one that ends without an answer.
func TestSlowSenderIsAnswered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := lwtentry.New(lwtentry.Dependencies{
		StateSource: knownState{}, Logger: log.NewNopLogger(), ReadTimeout: 100 * time.Millisecond,
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	for _, part := range []string{
		"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"model\":",
		"POST /v1/chat/completions HTTP/1.1\r\nHost",
	} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprint(conn, part); err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(conn)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(answer), " 408 ") || !strings.Contains(string(answer), "Outcome: not-run") {
			t.Errorf("after %q the answer is %q", part, answer)
		}
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	}
}

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

// emptyState is a StateSource whose declared state is empty.
type emptyState struct{}

// State implements lwtentry.StateSource.
func (emptyState) State() (lwtdeclaredstate.State, bool) { return lwtdeclaredstate.New(), true }

// TestSlowSenderIsAnswered guards against a connection that stays open forever, or is closed
// without a response, when a caller sends only part of a request.
func TestSlowSenderIsAnswered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := lwtentry.New(lwtentry.Dependencies{
		StateSource: emptyState{}, Logger: log.NewNopLogger(), ReadTimeout: 100 * time.Millisecond,
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
		response, err := io.ReadAll(conn)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(response), " 408 ") || !strings.Contains(string(response), "Outcome: not-run") {
			t.Errorf("response to %q is %q, want status 408 and outcome not-run", part, response)
		}
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	}
}

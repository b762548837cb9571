package lwtengine_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lacewingtide/io/lwtengine"
	"lacewingtide/io/lwtstandin"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// rawServer counts the requests that it reads on each connection, and answers
// the first answers of them before it closes the connection.
func rawServer(t *testing.T, answers int, received *atomic.Int64) string {
	t.Helper()
	listener := listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for i := 0; ; i++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					received.Add(1)
					if i == answers {
						return
					}
					event := "id: " + request.Header.Get("Engine-Request") + "/0\ndata: [DONE]\n\n"
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(event), event)
					if i+1 == answers {
						return // closes the idle connection without an answer
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestRequestIsNeverSentTwice guards against the HTTP client's own retries
// when an engine reads a request and closes the connection.
func TestRequestIsNeverSentTwice(t *testing.T) {
	const calls = 50
	var received atomic.Int64
	address, client := rawServer(t, 0, &received), lwtengine.New()
	for i := range calls {
		call := lwtengine.CompletionRequest{StreamID: fmt.Sprint("s", i), Body: []byte("{}"), FreshConnection: i%2 == 0}
		if _, err := client.Complete(address, call); !errors.Is(err, lwtengine.ErrOutcomeUnknown) {
			t.Fatalf("error %v, want ErrUnknown", err)
		}
		if _, err := client.Resume(address, call.StreamID, 0); !errors.Is(err, lwtengine.ErrOutcomeUnknown) {
			t.Fatalf("error %v, want ErrUnknown", err)
		}
	}
	if got := received.Load(); got != 2*calls {
		t.Errorf("the engine received %d requests, want %d", got, 2*calls)
	}
}

// TestClosedIdleConnections guards against a second sending when an engine has
// closed an idle connection, and against an unknown outcome for a call with a
// connection of its own.
func TestClosedIdleConnections(t *testing.T) {
	const calls = 100
	for _, fresh := range []bool{true, false} {
		var received atomic.Int64
		address, client := rawServer(t, 1, &received), lwtengine.New()
		for i := range calls {
			stream, err := client.Complete(address, lwtengine.CompletionRequest{StreamID: fmt.Sprint("s", i), FreshConnection: fresh})
			if err != nil {
				if fresh || !errors.Is(err, lwtengine.ErrOutcomeUnknown) {
					t.Fatalf("fresh %v: error %v", fresh, err)
				}
				continue
			}
			if event, err := stream.Next(); err != nil || event.StreamID != fmt.Sprint("s", i) {
				t.Fatalf("event %+v, error %v", event, err)
			}
			stream.Close()
		}
		if got := received.Load(); got > calls || fresh && got != calls {
			t.Errorf("fresh %v: the engine received %d requests for %d calls", fresh, got, calls)
		}
	}
}

// TestAbandonedStreamsLeaveNothingBehind guards against bytes of one answer in
// another one, when streams are closed at any event and their connections,
// buffers and readers are used again.
func TestAbandonedStreamsLeaveNothingBehind(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	options := lwtstandin.DefaultEngineOptions("e1", "m")
	options.StepTime, options.PrefillRate = 200*time.Microsecond, 1e9
	engine, listener := lwtstandin.NewEngine(options, 1), listen(t)
	go func() { _ = engine.Serve(listener) }()
	go func() { _ = engine.Run(ctx) }()
	client := lwtengine.New()
	var workers sync.WaitGroup
	for worker := range 16 {
		workers.Go(func() {
			for i := range 25 {
				abandon(t, client, listener.Addr().String(), fmt.Sprintf("w%d-%d", worker, i), (worker+i)%12)
			}
		})
	}
	workers.Wait()
}

// abandon reads some events of a stream and closes it.
func abandon(t *testing.T, client *lwtengine.Client, address, name string, events int) {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":12}`, name)
	stream, err := client.Complete(address, lwtengine.CompletionRequest{StreamID: name, Body: []byte(body)})
	if err != nil {
		t.Errorf("stream %s: %v", name, err)
		return
	}
	defer stream.Close()
	for offset := range events {
		event, err := stream.Next()
		if err != nil {
			t.Errorf("stream %s: %v", name, err)
			return
		}
		if event.StreamID != name || !strings.Contains(string(event.Data), lwtstandin.Token(name, offset)) {
			t.Errorf("stream %s got event %s/%d %s", name, event.StreamID, event.Offset, event.Data)
		}
	}
}

// TestSilentConnectionIsReplaced guards against a call that waits for ever on a
// connection that has gone silent, and against one that calls it not sent.
func TestSilentConnectionIsReplaced(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	engine, listener := lwtstandin.NewEngine(lwtstandin.DefaultEngineOptions("e1", "m"), 1), listen(t)
	go func() { _ = engine.Serve(listener) }()
	go func() { _ = engine.Run(ctx) }()
	relay, front := lwtstandin.NewFaultProxy(listener.Addr().String()), listen(t)
	relay.SetFault(lwtstandin.ProxyFault{Upstream: true, Connections: 1})
	go func() { _ = relay.Serve(front) }()
	client, call := lwtengine.New(), lwtengine.CompletionRequest{
		StreamID: "s", Body: []byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":1}`),
	}
	if _, err := client.Complete(front.Addr().String(), call); !errors.Is(err, lwtengine.ErrOutcomeUnknown) {
		t.Fatalf("error %v, want ErrUnknown", err)
	}
	stream, err := client.Complete(front.Addr().String(), call)
	if err != nil {
		t.Fatalf("the connection was not replaced: %v", err)
	}
	stream.Close()
}

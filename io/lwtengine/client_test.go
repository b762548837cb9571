package lwtengine_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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

// listen returns a listener at a loopback address of its own. A process of another test that still dials a
// port which was released would reach a listener at 127.0.0.1.
func listen(t *testing.T) net.Listener {
	t.Helper()
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// rawServer starts a server that counts the requests that it reads. On each connection it
// responds to the given number of requests and then closes the connection.
func rawServer(t *testing.T, responses int, received *atomic.Int64) string {
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
					if i == responses {
						return
					}
					event := "id: " + request.Header.Get("Engine-Request") + "/0\ndata: [DONE]\n\n"
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(event), event)
					if i+1 == responses {
						return // closes the connection while it is idle
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestRequestIsNeverSentTwice guards against retries by the HTTP client when an engine reads a
// request and closes the connection.
func TestRequestIsNeverSentTwice(t *testing.T) {
	const calls = 50
	var received atomic.Int64
	address, client := rawServer(t, 0, &received), lwtengine.New()
	for i := range calls {
		request := lwtengine.CompletionRequest{StreamID: fmt.Sprint("s", i), Body: []byte("{}"), FreshConnection: i%2 == 0}
		if _, err := client.Complete(address, request); !errors.Is(err, lwtengine.ErrOutcomeUnknown) {
			t.Fatalf("error %v, want ErrOutcomeUnknown", err)
		}
		if _, err := client.Resume(address, request.StreamID, 0); !errors.Is(err, lwtengine.ErrOutcomeUnknown) {
			t.Fatalf("error %v, want ErrOutcomeUnknown", err)
		}
	}
	if got := received.Load(); got != 2*calls {
		t.Errorf("the engine received %d requests, want %d", got, 2*calls)
	}
}

// TestClosedIdleConnections guards against sending a request twice after the engine closed an
// idle connection, and against an unknown outcome of a request on a new connection.
func TestClosedIdleConnections(t *testing.T) {
	const calls = 100
	for _, fresh := range []bool{true, false} {
		var received atomic.Int64
		address, client := rawServer(t, 1, &received), lwtengine.New()
		for i := range calls {
			stream, err := client.Complete(address, lwtengine.CompletionRequest{
				StreamID: fmt.Sprint("s", i), FreshConnection: fresh,
			})
			if err != nil {
				if fresh || !errors.Is(err, lwtengine.ErrOutcomeUnknown) {
					t.Fatalf("fresh connection %v: error %v; want none if fresh, otherwise ErrOutcomeUnknown", fresh, err)
				}
				continue
			}
			if event, err := stream.Next(); err != nil || event.StreamID != fmt.Sprint("s", i) {
				t.Fatalf("event %+v, error %v; want an event of the requested stream", event, err)
			}
			stream.Close()
		}
		if got := received.Load(); got > calls || fresh && got != calls {
			t.Errorf("fresh connection %v: %d requests received for %d calls, want at most one each, exactly one if fresh",
				fresh, got, calls)
		}
	}
}

// TestAbandonedStreamsLeaveNothingBehind guards against bytes of one response appearing in
// another. This could happen when streams are closed before their end and their connections,
// buffers and readers are reused.
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
				readAndClose(t, client, listener.Addr().String(), fmt.Sprintf("w%d-%d", worker, i), (worker+i)%12)
			}
		})
	}
	workers.Wait()
}

// readAndClose reads the given number of events of a stream and closes it.
func readAndClose(t *testing.T, client *lwtengine.Client, address, streamID string, events int) {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":12}`, streamID)
	stream, err := client.Complete(address, lwtengine.CompletionRequest{StreamID: streamID, Body: []byte(body)})
	if err != nil {
		t.Errorf("stream %s: %v", streamID, err)
		return
	}
	defer stream.Close()
	for offset := range events {
		event, err := stream.Next()
		if err != nil {
			t.Errorf("stream %s: %v", streamID, err)
			return
		}
		if event.StreamID != streamID || !strings.Contains(string(event.Data), lwtstandin.Token(streamID, offset)) {
			t.Errorf("stream %s received the wrong event %s/%d %s", streamID, event.StreamID, event.Offset, event.Data)
		}
	}
}

// TestSilentConnectionIsReplaced guards against a request that hangs on a connection which no
// longer carries data, and against reporting such a request as not sent.
func TestSilentConnectionIsReplaced(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	engine, listener := lwtstandin.NewEngine(lwtstandin.DefaultEngineOptions("e1", "m"), 1), listen(t)
	go func() { _ = engine.Serve(listener) }()
	go func() { _ = engine.Run(ctx) }()
	proxy, proxyListener := lwtstandin.NewFaultProxy(listener.Addr().String()), listen(t)
	proxy.SetFault(lwtstandin.ProxyFault{Upstream: true, Connections: 1})
	go func() { _ = proxy.Serve(proxyListener) }()
	client, request := lwtengine.New(), lwtengine.CompletionRequest{
		StreamID: "s", Body: []byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":1}`),
	}
	if _, err := client.Complete(proxyListener.Addr().String(), request); !errors.Is(err, lwtengine.ErrOutcomeUnknown) {
		t.Fatalf("error %v, want ErrOutcomeUnknown", err)
	}
	stream, err := client.Complete(proxyListener.Addr().String(), request)
	if err != nil {
		t.Fatalf("the connection was not replaced: %v", err)
	}
	stream.Close()
}

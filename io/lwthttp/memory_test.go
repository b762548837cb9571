package lwthttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtroutetable"
	"lacewingtide/io/lwthttp"
)

// memory is an account with a limit.
type memory struct {
	limit, used atomic.Int64
}

func (memory *memory) Reserve(bytes int) bool {
	if memory.used.Add(int64(bytes)) <= memory.limit.Load() {
		return true
	}
	memory.used.Add(-int64(bytes))
	return false
}

func (memory *memory) Release(bytes int) { memory.used.Add(-int64(bytes)) }

const maxBodyBytes = 1 << 20

// serveWithMemory starts a server with a limit of its memory, which calls handler.
func serveWithMemory(t *testing.T, limit int64, handler lwthttp.Handler) (*memory, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	memory := &memory{}
	memory.limit.Store(limit)
	server := lwthttp.New(lwthttp.Options{
		Handler: handler, MaxConnections: 100, Memory: memory,
		Limits: func() lwtroutetable.RequestLimits {
			return lwtroutetable.RequestLimits{HeaderBytes: 16 << 10, BodyBytes: maxBodyBytes, HeaderTimeout: time.Second, IdleTimeout: time.Second}
		},
		OnRejected: func(status int, _ *fasthttp.RequestHeader, err error) { t.Logf("rejected with %d: %v", status, err) },
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return memory, listener.Addr().String()
}

// exchangeOf sends a request as it is and returns the response.
func exchangeOf(t *testing.T, address, request string) (*http.Response, string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		t.Fatal(err)
	}
	// Many callers read a response only when they have sent all of the request.
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatalf("the request was not read to its end: %v", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

// TestRequestsWithoutMemory guards against bodies that exceed the memory for all callers together, and against callers of rejected requests that see a reset instead of the rejection.
func TestRequestsWithoutMemory(t *testing.T) {
	content := strings.Repeat("x", maxBodyBytes)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(content)/4, content[:len(content)/4])
	for name, request := range map[string]string{
		"length": fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(content), content),
		"chunks": "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 4) + "0\r\n\r\n",
	} {
		memory, address := serveWithMemory(t, maxBodyBytes/2, echo)
		response, _ := exchangeOf(t, address, request)
		if response.StatusCode != 503 || response.Header.Get("Retry-After") == "" || !response.Close {
			t.Errorf("%s: response %v, want 503 with Retry-After on a connection that is closed", name, response)
		}
		if response, body := exchangeOf(t, address, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"); response.StatusCode != 200 || body != "POST / 3" {
			t.Errorf("%s: a short request afterwards: status %d, body %q", name, response.StatusCode, body)
		}
		memory.limit.Store(4 * maxBodyBytes)
		if response, body := exchangeOf(t, address, request); response.StatusCode != 200 || body != fmt.Sprint("POST / ", len(content)) {
			t.Errorf("%s, with memory: status %d, body %q", name, response.StatusCode, body)
		}
		awaitRelease(t, memory)
	}
}

// awaitRelease waits until nothing is reserved.
func awaitRelease(t *testing.T, memory *memory) {
	t.Helper()
	for range 100 {
		if memory.used.Load() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d bytes stay reserved after all connections have ended", memory.used.Load())
}

// TestExpectationWithoutMemory guards against asking a caller for a body for which there is no memory.
func TestExpectationWithoutMemory(t *testing.T) {
	_, address := serveWithMemory(t, maxBodyBytes/2, echo)
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", maxBodyBytes)
	if response, _ := exchangeOf(t, address, request); response.StatusCode != 503 {
		t.Errorf("status %d, want 503", response.StatusCode)
	}
}

// TestConnectionsWithoutMemory guards against connections that exceed the memory, and against memory that a closed connection keeps.
func TestConnectionsWithoutMemory(t *testing.T) {
	memory, address := serveWithMemory(t, 100<<10, echo)
	var conns []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	time.Sleep(50 * time.Millisecond)
	if used := memory.used.Load(); used > memory.limit.Load() || used == 0 {
		t.Errorf("%d bytes are reserved, at most %d allowed", used, memory.limit.Load())
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	awaitRelease(t, memory)
}

// TestReservedMemoryOfAnExchange guards against memory that a handler has reserved and that stays reserved.
func TestReservedMemoryOfAnExchange(t *testing.T) {
	memory, address := serveWithMemory(t, 200<<10, func(exchange *lwthttp.Exchange) {
		_ = exchange.Respond(200, nil, fmt.Appendf(nil, "%v %v", exchange.ReserveMemory(100<<10), exchange.ReserveMemory(100<<10)))
	})
	if _, body := exchangeOf(t, address, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"); body != "true false" {
		t.Errorf("two reservations, of which one fits: %q", body)
	}
	awaitRelease(t, memory)
}

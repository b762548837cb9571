package lwthttp_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtroutetable"
	"lacewingtide/io/lwthttp"
)

var limits = lwtroutetable.RequestLimits{
	HeaderBytes: 4096, BodyBytes: 1000, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 500 * time.Millisecond,
}

// serve starts a server with a handler and returns the server and its address.
func serve(t *testing.T, handler lwthttp.Handler) (*lwthttp.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := lwthttp.New(lwthttp.Options{
		Handler: handler, Limits: func() lwtroutetable.RequestLimits { return limits }, MaxConnections: 100,
		OnRejected: func(status int, _ *fasthttp.RequestHeader, err error) { t.Logf("rejected with %d: %v", status, err) },
	})
	go func() {
		if err := server.Serve(listener); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return server, listener.Addr().String()
}

// echo responds with the method, the URI and the body size of the request.
func echo(exchange *lwthttp.Exchange) {
	body := fmt.Sprintf("%s %s %d", exchange.Header.Method(), exchange.Header.RequestURI(), len(exchange.Body))
	_ = exchange.Respond(200, nil, []byte(body))
}

// TestRequests guards against requests that are parsed differently from how a backend server
// would parse them, and against limits that are not enforced. Each file holds the bytes sent on
// a connection and the expected response.
func TestRequests(t *testing.T) {
	files, err := filepath.Glob("testdata/requests/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files in testdata/requests: %v", err)
	}
	_, address := serve(t, echo)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			content, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			archive := txtar.Parse(content)
			sent := strings.ReplaceAll(string(archive.Files[0].Data), "\n", "\r\n")
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := conn.Write([]byte(sent)); err != nil {
				t.Fatal(err)
			}
			got, _ := io.ReadAll(conn)
			want := strings.TrimSpace(string(archive.Files[1].Data))
			if got := strings.TrimSpace(strings.ReplaceAll(string(got), "\r\n", "\n")); got != want {
				t.Errorf("got:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

// TestCallerLeaves guards against requests that keep running after their caller has
// disconnected.
func TestCallerLeaves(t *testing.T) {
	canceled := make(chan bool, 1)
	_, address := serve(t, func(exchange *lwthttp.Exchange) {
		select {
		case <-exchange.Context().Done():
			canceled <- true
		case <-time.After(3 * time.Second):
			canceled <- false
		}
	})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	_ = conn.Close()
	if !<-canceled {
		t.Error("the context of the request is not canceled when the caller disconnects")
	}
}

// closing is the suffix of a response after which the connection is closed.
const closing = "<close>"

// backend starts a server that sends the next response to each request, on any connection. An
// empty response closes the connection.
func backend(t *testing.T, responses ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	next := make(chan string, len(responses))
	for _, response := range responses {
		next <- response
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				var request fasthttp.Request
				for request.Read(reader) == nil {
					response := <-next
					if response == "" {
						return
					}
					text, last := strings.CutSuffix(response, closing)
					_, _ = conn.Write([]byte(text))
					if last {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// pool returns a pool with a limit of 4 connections to each address.
func pool() *lwthttp.Pool {
	return lwthttp.NewPool(lwthttp.PoolOptions{Limit: func(string) int { return 4 }})
}

// send sends a request. Responses whose Id header is not id count as stale.
func send(t *testing.T, pool *lwthttp.Pool, address, id string) (status int, body string, err error) {
	t.Helper()
	conn, err := pool.Get(context.Background(), address, nil, time.Minute)
	if err != nil {
		return 0, "", err
	}
	match := func(header *fasthttp.ResponseHeader) lwthttp.ResponseMatch {
		if string(header.Peek("Id")) == id {
			return lwthttp.OwnResponse
		}
		return lwthttp.StaleResponse
	}
	head := []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	response, err := conn.RoundTrip(context.Background(), head, nil, time.Now().Add(time.Second), match)
	if err != nil {
		return 0, "", err
	}
	defer response.Release(time.Now())
	content, err := response.ReadAll(1 << 20)
	return response.Header.StatusCode(), string(content), err
}

func anyAnswer(*fasthttp.ResponseHeader) lwthttp.ResponseMatch { return lwthttp.OwnResponse }

const ok = "HTTP/1.1 200 OK\r\nId: 1\r\n"

// TestAnswers guards against incomplete responses, and responses to other requests, that are
// accepted as complete responses to the request.
func TestAnswers(t *testing.T) {
	for _, test := range []struct {
		name, response, body string
		wantError            error
	}{
		{"length", ok + "Content-Length: 2\r\n\r\nhi", "hi", nil},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "hi", nil},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nA: b\r\n\r\n", "hi", nil},
		{"stale response first", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4\r\n\r\nlate" + ok + "Content-Length: 2\r\n\r\nhi", "hi", nil},
		{"garbage", "\x00\x01\x02 garbage\r\n\r\n", "", io.EOF},
		{"foreign", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n", "", os.ErrDeadlineExceeded},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, body, err := send(t, pool(), backend(t, test.response), "1")
			if (err == nil) != (test.wantError == nil) || body != test.body {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

// TestShortAnswers guards against truncated responses that appear complete.
func TestShortAnswers(t *testing.T) {
	for _, text := range []string{
		ok + "Content-Length: 5\r\n\r\nhi",
		ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhi",
		ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
		ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n",
	} {
		address := backend(t, text+closing)
		conn, err := pool().Get(context.Background(), address, nil, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		response, err := conn.RoundTrip(context.Background(), []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), nil,
			time.Now().Add(200*time.Millisecond), anyAnswer)
		if err != nil {
			t.Fatal(err)
		}
		if content, err := response.ReadAll(1 << 20); err == nil {
			t.Errorf("truncated response %q appears complete with body %q", text, content)
		}
	}
}

// TestSurplusBytesCloseTheConnection guards against bytes after a response that are read as the
// next response.
func TestSurplusBytesCloseTheConnection(t *testing.T) {
	pool := pool()
	address := backend(t, ok+"Content-Length: 2\r\n\r\nhi"+"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nwrong",
		"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nright")
	if _, body, err := send(t, pool, address, "1"); err != nil || body != "hi" {
		t.Fatalf("first response %q, want hi; error %v", body, err)
	}
	if _, body, err := send(t, pool, address, "2"); err != nil || body != "right" {
		t.Errorf("second response %q, want right; error %v", body, err)
	}
}

// TestClosedIdleConnection guards against requests that are sent on connections which the server
// has closed.
func TestClosedIdleConnection(t *testing.T) {
	pool := pool()
	address := backend(t, ok+"Connection: close\r\nContent-Length: 2\r\n\r\nhi", ok+"Content-Length: 2\r\n\r\nhi", "",
		ok+"Content-Length: 2\r\n\r\nhi")
	for range 2 {
		if _, _, err := send(t, pool, address, "1"); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := send(t, pool, address, "1"); err == nil || errors.Is(err, lwthttp.ErrNotSent) {
		t.Errorf("connection closed after the request was written: error %v, want one other than ErrNotSent", err)
	}
	if _, _, err := send(t, pool, address, "1"); err != nil {
		t.Errorf("request after the broken connection: %v", err)
	}
}

// TestConnectionLimit guards against more connections to a server than its limit.
func TestConnectionLimit(t *testing.T) {
	address := backend(t)
	pool := pool()
	for range 4 {
		if _, err := pool.Get(context.Background(), address, nil, time.Minute); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := pool.Get(context.Background(), address, nil, time.Minute); !errors.Is(err, lwthttp.ErrTooManyConnections) ||
		!errors.Is(err, lwthttp.ErrNotSent) {
		t.Errorf("fifth connection: error %v, want ErrTooManyConnections and ErrNotSent", err)
	}
}

// TestEarlyAnswer guards against a connection that is reused although the server has responded
// before reading the whole request.
func TestEarlyAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan int, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- 1
			go func() {
				_, _ = conn.Read(make([]byte, 100))
				_, _ = conn.Write([]byte(ok + "Content-Length: 2\r\n\r\nhi"))
			}()
		}
	}()
	pool, body := pool(), bytes.Repeat([]byte("x"), 8<<20)
	for range 2 {
		conn, err := pool.Get(context.Background(), listener.Addr().String(), nil, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		head := fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", len(body))
		response, err := conn.RoundTrip(context.Background(), head, body, time.Now().Add(time.Second), anyAnswer)
		if err != nil {
			t.Fatal(err)
		}
		if content, err := response.ReadAll(100); err != nil || string(content) != "hi" {
			t.Errorf("early response %q, want hi; error %v", content, err)
		}
		response.Release(time.Now())
	}
	if len(accepted) != 2 {
		t.Errorf("%d connections for two requests that were not read completely, want 2", len(accepted))
	}
}

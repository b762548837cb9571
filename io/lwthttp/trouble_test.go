package lwthttp_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"lacewingtide/io/lwthttp"
	"lacewingtide/io/lwthttptest"
)

// breakingBackend starts a server that sends a response on each connection, then closes or
// resets the connection.
func breakingBackend(t *testing.T, response string, reset bool) string {
	t.Helper()
	return lwthttptest.Accept(t, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 1000))
		_, _ = conn.Write([]byte(response))
		if reset {
			_ = conn.SetLinger(0)
		}
		_ = conn.Close()
	})
}

// TestEveryPlaceToBreak guards against truncated responses that appear complete. It truncates
// responses of each framing at every byte, by a close and by a reset.
func TestEveryPlaceToBreak(t *testing.T) {
	for name, response := range map[string]string{
		"length":  ok + "Content-Length: 12\r\n\r\nid: 1\ndata:\n",
		"chunked": ok + "Transfer-Encoding: chunked\r\n\r\n6\r\nid: 1\n\r\n6\r\ndata:\n\r\n0\r\nA: b\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			for at := 1; at < len(response); at++ {
				if _, body, err := send(t, pool(), breakingBackend(t, response[:at], reset), "1"); err == nil {
					t.Errorf("%s, reset %v: truncated response %q appears complete with body %q", name, reset, response[:at], body)
				}
			}
		}
	}
	// Without a length, closing the connection ends the response; a reset doesn't.
	for at := range 4 {
		address := breakingBackend(t, ok+"\r\nbody"[:2+at], true)
		if _, body, err := send(t, pool(), address, "1"); err == nil {
			t.Errorf("without a length, reset: appears complete with body %q", body)
		}
	}
}

// TestEveryPlaceToBreakAHead guards against a response that ends in the middle of its head and looks like a whole
// response without a body, also behind an interim response and behind a stale one.
func TestEveryPlaceToBreakAHead(t *testing.T) {
	for name, before := range map[string]string{
		"first": "", "interim": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
		"stale": "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nhi",
	} {
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "HTTP/1.1 200 OK\nId: 1\n\n",
			"HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\n\r\n",
		} {
			for at := range len(head) {
				if _, body, err := send(t, pool(), breakingBackend(t, before+head[:at], false), "1"); err == nil {
					t.Errorf("%s: truncated head %q appears complete with body %q", name, head[:at], body)
				}
			}
		}
	}
}

// TestLateCopyOfARefusal guards against a late duplicate of a rejection that is read as the
// response to the next attempt of the same request.
func TestLateCopyOfARefusal(t *testing.T) {
	rejection := "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	// The second copy is sent when the next request arrives.
	address := backend(t, rejection, rejection+ok+"Content-Length: 2\r\n\r\nhi")
	pool := pool()
	var used []*lwthttp.Conn
	for range 2 {
		conn, err := pool.Get(context.Background(), address, used, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		if slices.Contains(used, conn) {
			t.Fatal("connection reused for a second attempt of the same request")
		}
		used = append(used, conn)
		head := []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		response, err := conn.RoundTrip(context.Background(), head, nil, time.Now().Add(time.Second), anyAnswer)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = response.ReadAll(100)
		response.Release(time.Now())
	}
	if conn, err := pool.Get(context.Background(), address, nil, time.Minute); err != nil || !slices.Contains(used, conn) {
		t.Errorf("open connection not reused for another request, error %v", err)
	}
}

// TestLateCopyOfARefusalAfterAnotherRequest guards against a late duplicate of a rejection that is read as the response to a further attempt of the same request, because another one used the connection in between.
func TestLateCopyOfARefusalAfterAnotherRequest(t *testing.T) {
	rejection := "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	address := backend(t, rejection, ok+"Content-Length: 2\r\n\r\nhi", rejection+ok+"Content-Length: 2\r\n\r\nhi")
	pool := pool()
	var statuses []int
	used := map[string][]*lwthttp.Conn{}
	for _, id := range []string{"1", "2", "1"} {
		conn, err := pool.Get(context.Background(), address, used[id], time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		response, err := conn.RoundTrip(context.Background(), []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), nil,
			time.Now().Add(time.Second), anyAnswer)
		if err != nil {
			t.Fatal(err)
		}
		used[id] = append(used[id], conn)
		statuses = append(statuses, response.Header.StatusCode())
		_, _ = response.ReadAll(100)
		response.Release(time.Now())
		if id == "1" && len(statuses) == 3 && conn.Reused {
			t.Errorf("statuses %v: the third request is the first one again, and has its connection", statuses)
		}
	}
}

// TestEndlessStrayAnswer guards against a stale response without a size limit that is read until
// the deadline.
func TestEndlessStrayAnswer(t *testing.T) {
	address := breakingBackend(t, "HTTP/1.1 200 OK\r\nId: 2\r\n\r\n"+strings.Repeat("x", 4<<20), false)
	if _, _, err := send(t, pool(), address, "1"); !errors.Is(err, lwthttp.ErrBodyTooLarge) {
		t.Errorf("error %v, want ErrBodyTooLarge", err)
	}
}

// TestEndlessHeads guards against response heads that are read without a size limit.
func TestEndlessHeads(t *testing.T) {
	for name, part := range map[string]string{
		"lines": "Filler: " + strings.Repeat("x", 100) + "\r\n", "one line": "Filler: " + strings.Repeat("x", 5<<10),
	} {
		start := time.Now()
		_, _, err := send(t, pool(), breakingBackend(t, ok+strings.Repeat(part, 1000), false), "1")
		if err == nil || time.Since(start) > 500*time.Millisecond {
			t.Errorf("%s: error %v after %s, want an error within 500 ms", name, err, time.Since(start))
		}
	}
	interim := fmt.Sprint(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000), ok, "Content-Length: 0\r\n\r\n")
	if _, _, err := send(t, pool(), breakingBackend(t, interim, false), "1"); err == nil {
		t.Error("interim responses are read without a limit")
	}
}

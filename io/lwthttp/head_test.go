package lwthttp_test

import (
	"strings"
	"testing"
	"time"

	"lacewingtide/io/lwthttptest"
)

// TestInvalidStatus guards against bytes that are taken for a response although they have no valid status.
func TestInvalidStatus(t *testing.T) { checkRejected(t, lwthttptest.InvalidStatus(lwthttptest.Body)) }

// TestInvalidFields guards against responses whose head recipients read differently: names with blanks or control characters, folded lines, ambiguous framing.
func TestInvalidFields(t *testing.T) { checkRejected(t, lwthttptest.InvalidFields(lwthttptest.Body)) }

func checkRejected(t *testing.T, responses []string) {
	t.Helper()
	for _, response := range responses {
		status, body, err := send(t, pool(), lwthttptest.Serve(t, response, lwthttptest.Close), "1")
		if err == nil {
			t.Errorf("%q is taken for a response: status %d, body %q", response, status, body)
		}
	}
}

// TestUnusualResponses guards against valid responses that are rejected.
func TestUnusualResponses(t *testing.T) {
	for _, response := range lwthttptest.Valid(lwthttptest.Body) {
		_, body, err := send(t, pool(), lwthttptest.Serve(t, response, lwthttptest.Close), "1")
		if err != nil || body != lwthttptest.Body {
			t.Errorf("%q: body %q, error %v; want %s", response, body, err, lwthttptest.Body)
		}
	}
}

// TestHeadRequests guards against waiting for the body of a response to HEAD, which declares the length of a body that does not follow.
func TestHeadRequests(t *testing.T) {
	for _, fields := range []string{"Content-Length: 800\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		pool, address := pool(), backend(t, ok+fields+"\r\n", ok+"Content-Length: 2\r\n\r\nhi")
		conn, err := pool.Get(t.Context(), address, nil, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		response, err := conn.RoundTrip(t.Context(), []byte("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n"), nil, time.Now().Add(time.Second), anyAnswer)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := response.ReadAll(1000); err != nil || len(body) > 0 {
			t.Errorf("%q: body %q, error %v; want none", fields, body, err)
		}
		response.Release(time.Now())
		if conn, err := pool.Get(t.Context(), address, nil, time.Minute); fields != "" && (err != nil || !conn.Reused) {
			t.Errorf("%q: connection not reused, error %v", fields, err)
		}
	}
}

// TestLargeHeads guards against a request that fails after it has run because the head of its response exceeds a buffer.
func TestLargeHeads(t *testing.T) {
	for _, test := range []struct {
		bytes int
		valid bool
	}{{3000, true}, {4095, true}, {4097, true}, {9000, true}, {16000, true}, {17000, false}, {100_000, false}} {
		filler := strings.Repeat("Filler: "+strings.Repeat("x", 88)+"\r\n", test.bytes/98)
		pool := pool()
		address := backend(t, ok+filler+"Content-Length: 2\r\n\r\nhi", ok+"Content-Length: 2\r\n\r\nok")
		if _, body, err := send(t, pool, address, "1"); (err == nil) != test.valid || err == nil && body != "hi" {
			t.Errorf("head of %d bytes: body %q, error %v; want valid %v", test.bytes, body, err, test.valid)
		}
		if _, body, err := send(t, pool, address, "1"); err != nil || body != "ok" {
			t.Errorf("after a head of %d bytes: body %q, error %v", test.bytes, body, err)
		}
	}
}

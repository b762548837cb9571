package lwthttp_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"lacewingtide/io/lwthttp"
	"lacewingtide/io/lwthttptest"
)

// uploadBytes is the size of a request body that does not fit the buffers of a connection.
const uploadBytes = 4 << 20

// upload sends a request with a large body on a new connection.
func upload(t *testing.T, address string) (body string, err error) {
	t.Helper()
	conn, err := pool().Dial(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	head := fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", uploadBytes)
	response, err := conn.RoundTrip(context.Background(), head, bytes.Repeat([]byte("x"), uploadBytes),
		time.Now().Add(2*time.Second), anyAnswer)
	if err != nil {
		return "", err
	}
	defer response.Release(time.Now())
	content, err := response.ReadAll(1 << 20)
	if (err == nil) != response.Complete() {
		t.Errorf("a body of %d bytes is complete: %v, but the error is %v", len(content), response.Complete(), err)
	}
	return string(content), err
}

// uploadAttempts is how often an order of events is tried that depends on the scheduling.
const uploadAttempts = 100

// TestResetDuringUpload guards against a body without a length that looks whole although the server has reset the connection, because the write of the request has received the error.
func TestResetDuringUpload(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Internal Server Error"} {
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			address := lwthttptest.ServeBeforeBody(t, "HTTP/1.1 "+status+"\r\nId: 1\r\n\r\npart of the body", func(conn *net.TCPConn) {
				time.Sleep(delay)
				lwthttptest.Reset(conn)
			})
			for range uploadAttempts / 5 {
				if body, err := upload(t, address); err == nil {
					t.Errorf("status %s, reset after %s: body %q looks whole", status, delay, body)
				}
			}
		}
	}
}

// TestResponseBeforeUpload guards against losing a whole response that the server has sent before it has read the request.
func TestResponseBeforeUpload(t *testing.T) {
	const body = "the whole body"
	responses := map[string]string{
		"length":  ok + "Content-Length: 14\r\n\r\n" + body,
		"chunks":  ok + "Transfer-Encoding: chunked\r\n\r\ne\r\n" + body + "\r\n0\r\n\r\n",
		"failure": "HTTP/1.1 500 Internal Server Error\r\nId: 1\r\n\r\n" + body,
		"neither": ok + "\r\n" + body,
	}
	ends := map[string]lwthttptest.End{
		"reads on": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = conn.Read(make([]byte, uploadBytes))
			time.Sleep(20 * time.Millisecond)
			_ = conn.Close()
		},
		"closes its side, then resets": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_ = conn.Close()
		},
		"resets later": func(conn *net.TCPConn) {
			time.Sleep(20 * time.Millisecond)
			lwthttptest.Reset(conn)
		},
	}
	for framing, response := range responses {
		for name, end := range ends {
			if name == "resets later" && (framing == "neither" || framing == "failure") {
				continue
			}
			address := lwthttptest.ServeBeforeBody(t, response, end)
			for range uploadAttempts / 5 {
				if got, err := upload(t, address); err != nil || got != body {
					t.Errorf("%s, the server %s: body %q, error %v; want the whole body", framing, name, got, err)
				}
			}
		}
	}
}

// TestNoResponseDuringUpload guards against a connection that is reset before a whole head and looks like a response.
func TestNoResponseDuringUpload(t *testing.T) {
	for _, part := range []string{"", "HTTP/1.1 200 OK\r\nId: 1\r\n"} {
		address := lwthttptest.ServeBeforeBody(t, part, lwthttptest.Reset)
		for range uploadAttempts / 5 {
			if body, err := upload(t, address); err == nil || errors.Is(err, lwthttp.ErrNotSent) {
				t.Errorf("%q: body %q, error %v; want an error other than ErrNotSent", part, body, err)
			}
		}
	}
}

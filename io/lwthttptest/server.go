package lwthttptest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// End is how a server ends a connection after a response.
type End func(conn *net.TCPConn)

// The ends of a connection. Close closes it in order, Reset resets it.
var (
	Close End = func(conn *net.TCPConn) { _ = conn.Close() }
	Reset End = func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
)

// Serve starts a server that reads a request on each connection, sends a response and ends the
// connection. It returns the server's address.
func Serve(t testing.TB, response string, end End) string {
	t.Helper()
	return Accept(t, func(conn *net.TCPConn) {
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = conn.Write([]byte(response))
		end(conn)
	})
}

// ServeBeforeBody is Serve for a server that has read only the start of the request when it responds.
func ServeBeforeBody(t testing.TB, response string, end End) string {
	t.Helper()
	return Accept(t, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 100))
		_, _ = conn.Write([]byte(response))
		end(conn)
	})
}

// Accept starts a server that calls handle for each connection. It returns the server's address.
func Accept(t testing.TB, handle func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

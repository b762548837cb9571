package lwthttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"

	"lacewingtide/io/lwthttptest"
)

// maxFuzzedBodyBytes bounds what is read of a body.
const maxFuzzedBodyBytes = 1 << 20

// FuzzResponse guards against responses that crash the reader, that pass for complete although their framing is not, that return bytes which the server has not sent, or that another reader reads differently.
func FuzzResponse(f *testing.F) {
	for _, text := range append(lwthttptest.Valid(lwthttptest.Body), lwthttptest.Invalid(lwthttptest.Body)...) {
		f.Add([]byte(text))
	}
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 10\r\n\r\nabc"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		response, err := receive(raw)
		if err != nil {
			return
		}
		defer response.Release(time.Now())
		if status := response.Header.StatusCode(); status < 200 || status > 599 {
			t.Errorf("status %d", status)
		}
		for name, value := range response.Header.All() {
			if !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
				t.Errorf("field %q with value %q", name, value)
			}
		}
		body, err := response.ReadAll(maxFuzzedBodyBytes)
		length := response.body.framing.length
		switch {
		case err == nil && !response.Complete():
			t.Errorf("a body of %d bytes ends without an error, and is not complete", len(body))
		case err == nil && length >= 0 && len(body) != length:
			t.Errorf("a body of %d bytes is complete, its length is %d", len(body), length)
		case length != lengthChunked && !bytes.Contains(raw, body):
			t.Errorf("the body %q is not what the server has sent", body)
		}
		if err == nil {
			compare(t, raw, response.Header.StatusCode(), body)
		}
	})
}

// receive reads a response from a server that sends raw and closes the connection.
func receive(raw []byte) (*Response, error) {
	pool := NewPool(PoolOptions{Limit: func(string) int { return 1 }})
	server, client := net.Pipe()
	go func() {
		// The reader may close its side before it has read all.
		_, _ = io.Copy(io.Discard, io.LimitReader(server, int64(len("request"))))
		_, _ = server.Write(raw)
		_ = server.Close()
	}()
	conn := &Conn{pool: pool, address: "server", conn: client, reader: bufio.NewReaderSize(client, responseBufferBytes)}
	match := func(*fasthttp.ResponseHeader) ResponseMatch { return OwnResponse }
	return conn.RoundTrip(context.Background(), []byte("request"), nil, time.Now().Add(time.Second), match)
}

// compare compares a complete response with what the reader of net/http makes of the same bytes. That
// one may reject them, but must not find another response.
func compare(t *testing.T, raw []byte, status int, body []byte) {
	t.Helper()
	reader := bufio.NewReader(bytes.NewReader(raw))
	for {
		other, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		otherBody, err := io.ReadAll(other.Body)
		if other.StatusCode < 200 {
			continue
		}
		if err == nil && (other.StatusCode != status || !bytes.Equal(otherBody, body)) {
			t.Errorf("status %d, body %q; net/http reads status %d, body %q", status, body, other.StatusCode, otherBody)
		}
		return
	}
}

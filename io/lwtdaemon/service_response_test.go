package lwtdaemon

import (
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtretry"
	"lacewingtide/io/lwthttptest"
)

// attemptAt makes one attempt of a call at a backend server.
func attemptAt(address, method string, body []byte) attempt {
	call := &serviceCall{requestURI: "/orders", body: body, idempotent: method == "GET"}
	call.header.SetMethod(method)
	forwarder := newForwarder(nil, "z1", func(string) bool { return false }, log.NewNopLogger())
	aborter := newAborter()
	defer aborter.abort()
	return forwarder.makeAttempt(call, address, time.Now().Add(2*time.Second), aborter)
}

// TestInvalidBackendResponses guards against bytes of a backend server that are taken for a response although they are none, such as status 000 as 200.
func TestInvalidBackendResponses(t *testing.T) {
	t.Parallel()
	for _, method := range []string{"POST", "GET"} {
		for _, response := range lwthttptest.Invalid(lwthttptest.Body) {
			if got := attemptAt(lwthttptest.Serve(t, response, lwthttptest.Close), method, nil); got.outcome != lwtretry.Unknown {
				t.Errorf("%s, %q: outcome %s, want unknown", method, response, got.outcome)
			}
		}
		for _, response := range lwthttptest.Valid(lwthttptest.Body) {
			got := attemptAt(lwthttptest.Serve(t, response, lwthttptest.Close), method, nil)
			if got.outcome != lwtretry.Done || string(got.response.Body()) != lwthttptest.Body {
				t.Errorf("%s, %q: outcome %s, error %v; want done", method, response, got.outcome, got.err)
			}
		}
	}
}

// TestBackendResponsesToUploads guards against losing a response that a backend server has sent before it has read the request, and against a part of one that looks whole.
func TestBackendResponsesToUploads(t *testing.T) {
	t.Parallel()
	upload := make([]byte, 4<<20)
	for response, want := range map[string]lwtretry.Outcome{
		"HTTP/1.1 413 Content Too Large\r\nContent-Length: 2\r\n\r\nhi": lwtretry.Done, "HTTP/1.1 200 OK\r\n\r\nhi": lwtretry.Unknown,
	} {
		for range 20 {
			got := attemptAt(lwthttptest.ServeBeforeBody(t, response, lwthttptest.Reset), "POST", upload)
			if got.outcome != want {
				t.Errorf("%q and a reset: outcome %s, error %v; want %s", response, got.outcome, got.err, want)
			}
		}
	}
}

// TestContradictoryBackendResponse guards against a success that counts as not run, so that the call is made again.
func TestContradictoryBackendResponse(t *testing.T) {
	t.Parallel()
	for status, want := range map[string]lwtretry.Outcome{
		"200 OK": lwtretry.Unknown, "302 Found": lwtretry.Unknown, "503 Service Unavailable": lwtretry.Rejected, "400 Bad Request": lwtretry.Rejected,
	} {
		address := lwthttptest.Serve(t, "HTTP/1.1 "+status+"\r\nBackend-Outcome: not-run\r\nContent-Length: 2\r\n\r\nhi", lwthttptest.Close)
		if got := attemptAt(address, "POST", nil); got.outcome != want {
			t.Errorf("status %s, not run: outcome %v, want %v", status, got.outcome, want)
		}
	}
}

// TestFieldsOfBackendResponses guards against fields that are lost, or passed on although they belong to one connection, because of their spelling.
func TestFieldsOfBackendResponses(t *testing.T) {
	t.Parallel()
	address := lwthttptest.Serve(t, "HTTP/1.1 404 Not Found\r\ncontent-type: text/x\r\nx-one: 1\r\nSet-Cookie: a=1\r\nset-cookie: b=2\r\n"+
		"KEEP-ALIVE: timeout=5\r\nconnection: x-hop\r\nx-hop: 1\r\nbackend-outcome: other\r\ncontent-length: 2\r\n\r\nhi", lwthttptest.Close)
	got := attemptAt(address, "POST", nil)
	if got.outcome != lwtretry.Done {
		t.Fatalf("outcome %v, error %v; want done", got.outcome, got.err)
	}
	var ctx fasthttp.RequestCtx
	writeResponse(&ctx, got.response)
	header := &ctx.Response.Header
	for name, want := range map[string]string{
		"Content-Type": "text/x", "X-One": "1", "X-Hop": "", "Keep-Alive": "", "Connection": "", "Lacewingtide-Outcome": "unknown",
	} {
		if value := string(header.Peek(name)); value != want {
			t.Errorf("field %s is %q, want %q", name, value, want)
		}
	}
	if cookies := strings.Count(header.String(), "Set-Cookie: "); cookies != 2 || ctx.Response.StatusCode() != 404 || string(ctx.Response.Body()) != "hi" {
		t.Errorf("%d cookies, status %d, body %q; want those of the response", cookies, ctx.Response.StatusCode(), ctx.Response.Body())
	}
}

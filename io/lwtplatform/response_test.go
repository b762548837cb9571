package lwtplatform_test

import (
	"errors"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/io/lwthttptest"
	"lacewingtide/io/lwtplatform"
)

// TestInvalidResponses guards against bytes that are taken for a response of the store although they are none, such as status 000 as 200, or that are taken for a call that was not sent.
func TestInvalidResponses(t *testing.T) {
	t.Parallel()
	for _, response := range lwthttptest.Invalid("{}") {
		client := lwtplatform.New(lwthttptest.Serve(t, response, lwthttptest.Close), time.Second)
		got, err := client.Call(fasthttp.MethodPost, "/v1/transactions", []byte("{}"), time.Second)
		if !errors.Is(err, lwtplatform.ErrUnavailable) || errors.Is(err, lwtplatform.ErrNotSent) {
			t.Errorf("%q: status %d, body %q, error %v; want an unknown outcome", response, got.Status, got.Body, err)
		}
	}
	for _, response := range lwthttptest.Valid("{}") {
		client := lwtplatform.New(lwthttptest.Serve(t, response, lwthttptest.Close), time.Second)
		if got, err := client.Call(fasthttp.MethodGet, "/v1/vms", nil, time.Second); err != nil || string(got.Body) != "{}" {
			t.Errorf("%q: body %q, error %v; want {}", response, got.Body, err)
		}
	}
}

// TestResponseBeforeBody guards against losing a response that the store has sent before it has read a large transaction, and against a part of one that looks whole.
func TestResponseBeforeBody(t *testing.T) {
	t.Parallel()
	body := make([]byte, 4<<20)
	for _, test := range []struct {
		response string
		whole    bool
	}{
		{"HTTP/1.1 413 Content Too Large\r\nContent-Length: 2\r\n\r\n{}", true},
		{"HTTP/1.1 200 OK\r\n\r\n{}", false},
	} {
		for range 20 {
			client := lwtplatform.New(lwthttptest.ServeBeforeBody(t, test.response, lwthttptest.Reset), time.Second)
			if got, err := client.Call(fasthttp.MethodPost, "/v1/transactions", body, time.Second); (err == nil) != test.whole {
				t.Errorf("%q and a reset: status %d, body %q, error %v; want whole %v", test.response, got.Status, got.Body, err, test.whole)
			}
		}
	}
}

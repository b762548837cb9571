package lwtplatform_test

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/io/lwtplatform"
)

// TestIdleConnectionsAreNotReused guards against polls that fail because the server has
// closed the idle connection since the previous poll.
func TestIdleConnectionsAreNotReused(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{
		IdleTimeout: 3 * time.Second,
		Handler:     func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(`{"key":"k","version":1}`) },
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	client := lwtplatform.New(listener.Addr().String(), time.Second)
	for _, pause := range []time.Duration{0, 3500 * time.Millisecond} {
		time.Sleep(pause)
		if row, err := client.Row("k"); err != nil || row.Version != 1 {
			t.Fatalf("call after %s: row %+v, want version 1; error %v", pause, row, err)
		}
	}
}

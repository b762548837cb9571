package lwtclient_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"lacewingtide/io/lwtclient"
)

// brokenStreamDaemon is a fake entry daemon that closes each stream after one event until it is
// resumed.
func brokenStreamDaemon(ownAddress func() string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entry-addresses", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"entry-addresses":[%q],"keep-seconds":10}`, ownAddress())
	})
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-ID") == "" {
			_, _ = fmt.Fprint(w, "id: a1\ndata: \"Hello\"\n\n")
			return
		}
		_, _ = fmt.Fprint(w, "id: a2\ndata: \"again\"\n\nid: a3\ndata: [DONE]\n\n")
	})
	return mux
}

// A stream whose connection breaks is resumed after the last received event.
func ExampleClient_Stream() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = listener.Close() }()
	go func() { _ = http.Serve(listener, brokenStreamDaemon(listener.Addr().String)) }()

	client := lwtclient.New(lwtclient.Options{Addresses: []string{listener.Addr().String()}, Key: "key"})
	defer client.Close()
	body := []byte(`{"model":"m","messages":[{"role":"user","content":"hello"}],"stream":true}`)
	stream, err := client.Stream(context.Background(), body, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer stream.Close()
	for {
		data, err := stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(string(data))
	}
	// Output:
	// "Hello"
	// "again"
}

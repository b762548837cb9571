package lwtclient_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"lacewingtide/io/lwtclient"
	"lacewingtide/io/lwthttptest"
)

// clientOf returns a client whose addresses are those of one daemon that gives its own address.
func clientOf(t *testing.T, address string) *lwtclient.Client {
	t.Helper()
	directory := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"entry-addresses":[%q],"keep-seconds":10}`, address)
	}))
	t.Cleanup(directory.Close)
	client := lwtclient.New(lwtclient.Options{Addresses: []string{directory.Listener.Addr().String()}, Key: "key"})
	t.Cleanup(client.Close)
	return client
}

// checkUnknown checks that an order has an unknown outcome.
func checkUnknown(t *testing.T, address string, body []byte, what string) {
	t.Helper()
	response, err := clientOf(t, address).Do(context.Background(), lwtclient.Request{Method: http.MethodPost, Path: "/services/shop/orders", Body: body})
	var failure *lwtclient.Error
	if !errors.As(err, &failure) || failure.Outcome != lwtclient.OutcomeUnknown || failure.Status != 0 {
		t.Errorf("%s: response %v, error %v; want an unknown outcome without a response", what, response, err)
	}
}

// TestInvalidResponses guards against bytes that are taken for a response although they are none, such as status 000.
func TestInvalidResponses(t *testing.T) {
	t.Parallel()
	for _, response := range lwthttptest.Invalid(lwthttptest.Body) {
		checkUnknown(t, lwthttptest.Serve(t, response, lwthttptest.Close), []byte("o"), fmt.Sprintf("%q", response))
	}
	for _, response := range lwthttptest.Valid(lwthttptest.Body) {
		_, err := clientOf(t, lwthttptest.Serve(t, response, lwthttptest.Close)).Do(t.Context(), lwtclient.Request{Method: http.MethodGet, Path: "/v1/models"})
		var failure *lwtclient.Error
		if errors.As(err, &failure) && failure.Status == 0 {
			t.Errorf("%q: %v", response, err)
		}
	}
}

// TestResponsesToUploads guards against a part of a body without a length that looks whole, because the daemon was lost while the request was still being sent, and against losing a response that was sent before the request was read.
func TestResponsesToUploads(t *testing.T) {
	t.Parallel()
	upload := make([]byte, 4<<20)
	for range 20 {
		checkUnknown(t, lwthttptest.ServeBeforeBody(t, "HTTP/1.1 200 OK\r\n\r\npart", lwthttptest.Reset), upload, "a part and a reset")
		whole := lwthttptest.ServeBeforeBody(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", lwthttptest.Reset)
		if _, err := clientOf(t, whole).Do(t.Context(), lwtclient.Request{Method: http.MethodPost, Path: "/services/shop/orders", Body: upload}); err != nil {
			t.Errorf("a whole response and a reset: %v", err)
		}
	}
}

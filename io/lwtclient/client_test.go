package lwtclient_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"lacewingtide/io/lwtclient"
)

// daemonPair is two fake entry daemons and a client for both. The first one fails requests.
type daemonPair struct {
	client                        *lwtclient.Client
	firstRequests, secondRequests atomic.Int64
}

func newDaemonPair(t *testing.T, handleFirst http.HandlerFunc) *daemonPair {
	t.Helper()
	pair := &daemonPair{}
	var addressList string
	serve := func(count *atomic.Int64, handle http.HandlerFunc) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/entry-addresses" {
				_, _ = fmt.Fprintf(w, `{"entry-addresses":[%s],"keep-seconds":10}`, addressList)
				return
			}
			count.Add(1)
			handle(w, r)
		}))
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	first := serve(&pair.firstRequests, handleFirst)
	second := serve(&pair.secondRequests, func(http.ResponseWriter, *http.Request) {})
	addressList = fmt.Sprintf("%q,%q", first, second)
	pair.client = lwtclient.New(lwtclient.Options{Addresses: []string{second}, Key: "key"})
	t.Cleanup(pair.client.Close)
	return pair
}

func dropConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

func respondWith(status int, outcome string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if outcome != "" {
			w.Header().Set("Lacewingtide-Outcome", outcome)
		}
		w.WriteHeader(status)
	}
}

// TestWhatMayHaveRunIsNotSentAgain guards against resending an order that may have run, and
// against failing a lookup that another daemon could serve.
func TestWhatMayHaveRunIsNotSentAgain(t *testing.T) {
	for _, test := range []struct {
		name       string
		fail       http.HandlerFunc
		idempotent bool
		outcome    string // empty if the second daemon must serve the request
	}{
		{"order, cut", dropConnection, false, lwtclient.OutcomeUnknown},
		{"order, unknown", respondWith(502, "unknown"), false, lwtclient.OutcomeUnknown},
		{"order, error of the shop", respondWith(500, ""), false, lwtclient.OutcomeUnknown},
		{"order, not run", respondWith(502, "not-run"), false, ""},
		{"order, told to wait", respondWith(503, "not-run"), false, lwtclient.OutcomeNotRun},
		{"lookup, cut", dropConnection, true, ""},
		{"lookup, unknown", respondWith(502, "unknown"), true, ""},
		{"lookup, refused", respondWith(429, "not-run"), true, lwtclient.OutcomeNotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			pair := newDaemonPair(t, test.fail)
			_, err := pair.client.Do(t.Context(), lwtclient.Request{
				Method: http.MethodPost, Path: "/services/shop/orders", Body: []byte("o"), Idempotent: test.idempotent,
			})
			if test.outcome == "" {
				if err != nil || pair.secondRequests.Load() != 1 {
					t.Errorf("error %v, second daemon received %d requests; want no error and 1 request",
						err, pair.secondRequests.Load())
				}
				return
			}
			var failure *lwtclient.Error
			if !errors.As(err, &failure) || failure.Outcome != test.outcome {
				t.Errorf("error %v, want outcome %s", err, test.outcome)
			}
			if pair.firstRequests.Load() != 1 || pair.secondRequests.Load() != 0 {
				t.Errorf("daemons received %d and %d requests, want 1 and 0", pair.firstRequests.Load(), pair.secondRequests.Load())
			}
		})
	}
}

// TestNoDaemonAnswersNotRun guards against an unknown outcome of a request when no daemon can
// be reached.
func TestNoDaemonAnswersNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	client := lwtclient.New(lwtclient.Options{Addresses: []string{listener.Addr().String()}, Key: "key"})
	_, err = client.Do(t.Context(), lwtclient.Request{Method: http.MethodGet, Path: "/v1/models"})
	var failure *lwtclient.Error
	if !errors.As(err, &failure) || failure.Outcome != lwtclient.OutcomeNotRun {
		t.Errorf("error %v, want outcome not-run", err)
	}
}

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

// daemons are two stand-ins that name each other; the first one fails.
type daemons struct {
	client        *lwtclient.Client
	first, second atomic.Int64
}

func newDaemons(t *testing.T, fail http.HandlerFunc) *daemons {
	t.Helper()
	daemons := &daemons{}
	var list string
	serve := func(count *atomic.Int64, handle http.HandlerFunc) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/entry-addresses" {
				_, _ = fmt.Fprintf(w, `{"entry-addresses":[%s],"keep-seconds":10}`, list)
				return
			}
			count.Add(1)
			handle(w, r)
		}))
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	first := serve(&daemons.first, fail)
	second := serve(&daemons.second, func(http.ResponseWriter, *http.Request) {})
	list = fmt.Sprintf("%q,%q", first, second)
	daemons.client = lwtclient.New(lwtclient.Options{Addresses: []string{second}, Key: "key"})
	t.Cleanup(daemons.client.Close)
	return daemons
}

func cut(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

func answer(status int, outcome string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if outcome != "" {
			w.Header().Set("Lacewingtide-Outcome", outcome)
		}
		w.WriteHeader(status)
	}
}

// TestWhatMayHaveRunIsNotSentAgain guards against an order that runs twice, and
// against a lookup that fails though another daemon would answer it.
func TestWhatMayHaveRunIsNotSentAgain(t *testing.T) {
	for _, test := range []struct {
		name       string
		fail       http.HandlerFunc
		idempotent bool
		outcome    string // empty: the second daemon answers
	}{
		{"order, cut", cut, false, lwtclient.OutcomeUnknown},
		{"order, unknown", answer(502, "unknown"), false, lwtclient.OutcomeUnknown},
		{"order, error of the shop", answer(500, ""), false, lwtclient.OutcomeUnknown},
		{"order, not run", answer(502, "not-run"), false, ""},
		{"order, told to wait", answer(503, "not-run"), false, lwtclient.OutcomeNotRun},
		{"lookup, cut", cut, true, ""},
		{"lookup, unknown", answer(502, "unknown"), true, ""},
		{"lookup, refused", answer(429, "not-run"), true, lwtclient.OutcomeNotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			daemons := newDaemons(t, test.fail)
			_, err := daemons.client.Do(t.Context(), lwtclient.Request{
				Method: http.MethodPost, Path: "/services/shop/orders", Body: []byte("o"), Idempotent: test.idempotent,
			})
			if test.outcome == "" {
				if err != nil || daemons.second.Load() != 1 {
					t.Errorf("error %v, second daemon asked %d times", err, daemons.second.Load())
				}
				return
			}
			var failure *lwtclient.Error
			if !errors.As(err, &failure) || failure.Outcome != test.outcome {
				t.Errorf("error %v, want outcome %s", err, test.outcome)
			}
			if daemons.first.Load() != 1 || daemons.second.Load() != 0 {
				t.Errorf("sent %d and %d times", daemons.first.Load(), daemons.second.Load())
			}
		})
	}
}

// TestNoDaemonAnswersNotRun guards against an unclear outcome when no daemon
// can be reached.
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
		t.Errorf("error %v, want not-run", err)
	}
}

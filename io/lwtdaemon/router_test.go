package lwtdaemon

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtadmission"
	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtscorerouter"
	"lacewingtide/io/lwtengine"
	"lacewingtide/io/lwtstandin"
)

// startEngine starts a stand-in engine on loopback and returns its address.
func startEngine(t testing.TB, name string) string {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	engine := lwtstandin.NewEngine(lwtstandin.DefaultEngineOptions(name, "m"), 1)
	go func() { _ = engine.Serve(listener) }()
	go func() { _ = engine.Run(ctx) }()
	return listener.Addr().String()
}

func newTestRouter(engines ...lwtdeclaredstate.Engine) *router {
	syncer := &stateSyncer{name: "d1"}
	state := lwtdeclaredstate.New().WithChange(lwtdeclaredstate.Change{
		Revision: 1, Engines: engines, Models: []lwtdeclaredstate.Model{{Name: "m", Version: "1"}},
		Objectives: []lwtdeclaredstate.Objective{
			{Class: lwtdeclaredstate.ClassChat, TimeToFirstToken: lwtdeclaredstate.Duration(time.Second)},
		},
	})
	syncer.state.Store(&state)
	return newRouter(syncer)
}

// TestPollLearnsCacheAndLoad guards against cache events and load reports whose
// encodings differ between the client, the engine and the router.
func TestPollLearnsCacheAndLoad(t *testing.T) {
	address := startEngine(t, "e1")
	router := newTestRouter(lwtdeclaredstate.Engine{
		Name: "e1", Address: address, Role: lwtdeclaredstate.RoleMixed, Models: []string{"m"},
	})
	client := lwtengine.New()
	prompt := strings.Repeat("catalogue ", 2000)
	message := `{"role":"user","content":"` + prompt + `"}`
	stream, err := client.Complete(address, lwtengine.CompletionRequest{
		StreamID: "s1", Body: []byte(`{"model":"m","max_tokens":2,"messages":[` + message + `]}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for range 3 {
		if _, err := stream.Next(); err != nil {
			t.Fatal(err)
		}
	}
	poller := newEnginePoller(router, client, log.NewNopLogger())
	defer poller.pool.Release()
	poller.pollLoad("e1", address)
	poller.readCacheEvents("e1", address)
	request := lwtscorerouter.Request{
		Model: "m", Class: lwtdeclaredstate.ClassChat, PromptTokens: 5000, OutputTokens: 5,
		PrefixHashes: lwtscorerouter.PrefixHashes("m", [][]byte{[]byte(message)}),
	}
	choice, err := router.Pick(time.Now(), request)
	if err != nil || choice.CachedTokens != 2*lwtscorerouter.BlockTokens {
		t.Errorf("%d cached tokens, want two blocks; error %v", choice.CachedTokens, err)
	}
	if status := router.statuses(time.Now())[0]; status.ReportedAt.IsZero() || status.Role != lwtdeclaredstate.RoleMixed {
		t.Errorf("engine status %+v, want a report time and role mixed", status)
	}
}

// TestOverloadIsRejectedAtOnce guards against queueing a request that can't complete
// before its deadline, and against rejections without a retry time.
func TestOverloadIsRejectedAtOnce(t *testing.T) {
	now := time.Now()
	router := newTestRouter(lwtdeclaredstate.Engine{Name: "e1", Role: lwtdeclaredstate.RoleMixed, Models: []string{"m"}})
	router.RecordLoad(now, "e1", lwtengine.Load{Incarnation: 1, Waiting: 40, WaitingTokens: 400_000, FreeBlocks: 100})
	_, err := router.Pick(now, lwtscorerouter.Request{
		Model: "m", Class: lwtdeclaredstate.ClassChat, PromptTokens: 100, OutputTokens: 5,
	})
	var rejection *lwtadmission.Rejection
	if !errors.As(err, &rejection) || rejection.Reason != "deadline" || rejection.RetryAfter < 10*time.Second {
		t.Errorf("error %v, want a rejection for the deadline with a retry time of at least 10 s", err)
	}
}

// TestFailedEngineIsAvoided guards against sending the next attempt to an engine that
// has just failed although another one is available.
func TestFailedEngineIsAvoided(t *testing.T) {
	now := time.Now()
	router := newTestRouter(
		lwtdeclaredstate.Engine{Name: "e1", Role: lwtdeclaredstate.RoleMixed, Models: []string{"m"}},
		lwtdeclaredstate.Engine{Name: "e2", Role: lwtdeclaredstate.RoleMixed, Models: []string{"m"}},
	)
	request := lwtscorerouter.Request{Model: "m", Class: lwtdeclaredstate.ClassChat, PromptTokens: 100, OutputTokens: 5}
	for range 20 {
		first, err := router.Pick(now, request)
		if err != nil {
			t.Fatal(err)
		}
		router.RecordDone(now, request, first, true)
		second, err := router.Pick(now, request)
		if err != nil || second.Engine == first.Engine {
			t.Fatalf("first engine %s, second engine %s, want another one; error %v", first.Engine, second.Engine, err)
		}
		now = now.Add(2 * failureCooldown)
	}
}

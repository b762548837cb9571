package lwtgateway

import (
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtroutetable"
	"lacewingtide/io/lwtmetric"
)

// refusingAddress returns an address at which nothing listens.
func refusingAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// TestServerCrashesAgainWhileItsCrashIsChecked guards against a daemon that ends because a server has restarted and crashed again during the check of its crash.
func TestServerCrashesAgainWhileItsCrashIsChecked(t *testing.T) {
	metrics, err := lwtmetric.New("d0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = metrics.Close() }()
	var crashes atomic.Int32
	logger := log.LoggerFunc(func(keyvals ...any) error {
		if slices.Contains(keyvals, any("server-crashed")) {
			crashes.Add(1)
		}
		return nil
	})
	gateway, err := New(Settings{Name: "d0"}, nil, nil, metrics, logger)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	server := lwtdiscovery.Server{ID: "e1", Service: "s", Address: refusingAddress(t), StartTime: now.Add(-time.Minute)}
	request := lwtroutetable.Request{ID: "r1"}
	gateway.crashDetector.record(now, server, request)
	server.StartTime = now
	gateway.crashDetector.record(now, server, request)
	for deadline := now.Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if crashes.Load() == 2 {
			return
		}
	}
	t.Errorf("%d crashes are logged within 5s, want 2", crashes.Load())
}

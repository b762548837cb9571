package lwtgateway

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtqueueplacement"
	"lacewingtide/core/lwtroutetable"
	"lacewingtide/io/lwthttp"
	"lacewingtide/platform"
)

// TestStreamWaitsForAnEngine guards against a stream that is rejected although an engine of its version is ready before its caller gives up, and against one that waits for nothing.
func TestStreamWaitsForAnEngine(t *testing.T) {
	for _, test := range []struct {
		name       string
		changeTime time.Duration
		gapTimeout time.Duration
		changing   bool
		placed     bool
		maxWait    time.Duration
	}{
		{"ready in time", 100 * time.Millisecond, 2 * time.Second, true, true, time.Second},
		{"ready too late", 3 * time.Second, 2 * time.Second, true, false, 100 * time.Millisecond},
		{"no engine is changing", 100 * time.Millisecond, 2 * time.Second, false, false, 100 * time.Millisecond},
		{"not a stream", 100 * time.Millisecond, 0, true, false, 100 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			view := testView()
			view.setConfig(lwtroutetable.New(1, lwtroutetable.RequestLimits{}, nil, []lwtroutetable.Service{
				{Name: "s", Engine: &lwtroutetable.EngineSpec{Slots: 8, StageChangeTime: test.changeTime}},
			}), platform.Row{})
			engine := lwtdiscovery.Server{ID: "e", Service: "s", Version: "v1", Stage: lwtdiscovery.Prefill, Address: "10.0.0.1:1"}
			set := func() {
				view.updateServers(func(serverSet lwtdiscovery.ServerSet) lwtdiscovery.ServerSet { return serverSet.WithEntry(engine) })
			}
			set()
			start := time.Now()
			if test.changing {
				view.setEnginesChangingStage(start, []string{"e"})
				engine.Stage, engine.HeartbeatSeq = lwtdiscovery.Decode, 1
				timer := time.AfterFunc(150*time.Millisecond, set)
				defer timer.Stop()
			}
			call := &call{
				gateway: &Gateway{view: view, logger: log.NewNopLogger()}, exchange: &lwthttp.Exchange{Arrived: start}, service: "s",
				context: context.Background(), route: lwtroutetable.Route{EventGapTimeout: test.gapTimeout},
			}
			target, rejection := call.place(start, lwtqueueplacement.PlacementRequest{
				Continues: true, Version: "v1", VersionFixed: true, TimeToDeadline: 10 * time.Second, TimeToObjective: 10 * time.Second,
			})
			if placed := rejection == nil && target.server.ID == "e"; placed != test.placed {
				t.Errorf("target %+v, rejection %+v; want placed %v", target, rejection, test.placed)
			}
			if took := time.Since(start); took > test.maxWait {
				t.Errorf("decided after %s, want at most %s", took, test.maxWait)
			}
		})
	}
}

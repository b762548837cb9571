package lwtqueueplacement_test

import (
	"testing"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtqueueplacement"
	"lacewingtide/core/lwtroutetable"
)

// TestBackoffOutlivesAMissingEntry guards against requests to a server during the backoff that it has requested, because its entry has lapsed and come back meanwhile. A new process of the server has requested none.
func TestBackoffOutlivesAMissingEntry(t *testing.T) {
	started := start.Add(-time.Minute)
	engine := lwtdiscovery.Server{ID: "e", Address: "10.0.0.1:1", Stage: lwtdiscovery.Decode, StartTime: started}
	plain := lwtdiscovery.Server{ID: "p", Address: "10.0.0.2:1", StartTime: started}
	enginePool := lwtqueueplacement.NewEnginePool(lwtqueueplacement.Options{PrefillTimePerToken: time.Microsecond})
	serverPool := lwtqueueplacement.NewServerPool(lwtqueueplacement.Options{})
	set := func(engines, servers []lwtdiscovery.Server) {
		enginePool.SetServers(engineSpec, engines)
		serverPool.SetServers(servers)
	}
	check := func(name string, now time.Time, rejected bool) {
		t.Helper()
		if _, rejection := enginePool.Place(now, placementRequest(lwtroutetable.Request{PromptTokens: 10})); (rejection != nil) != rejected {
			t.Errorf("%s, engine: rejection %+v, want one: %v", name, rejection, rejected)
		}
		if _, rejection := serverPool.Place(now, nil, 0); (rejection != nil) != rejected {
			t.Errorf("%s, plain server: rejection %+v, want one: %v", name, rejection, rejected)
		}
	}
	set([]lwtdiscovery.Server{engine}, []lwtdiscovery.Server{plain})
	enginePool.ApplyBackoff(start, "e", 10*time.Second)
	serverPool.ApplyBackoff(start, "p", 10*time.Second)
	check("backoff", start.Add(time.Second), true)
	set(nil, nil)
	set([]lwtdiscovery.Server{engine}, []lwtdiscovery.Server{plain})
	check("back as the same process", start.Add(2*time.Second), true)
	check("after the backoff", start.Add(11*time.Second), false)
	set(nil, nil)
	engine.StartTime, plain.StartTime = start.Add(2*time.Second), start.Add(2*time.Second)
	set([]lwtdiscovery.Server{engine}, []lwtdiscovery.Server{plain})
	check("back as another process", start.Add(3*time.Second), false)
}

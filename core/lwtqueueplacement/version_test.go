package lwtqueueplacement_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtqueueplacement"
	"lacewingtide/core/lwtroutetable"
)

// mixedPool returns a pool of engines with two software versions. The counts are of engines that
// prefill and decode, by version.
func mixedPool(prefill, decode map[string]int) *lwtqueueplacement.EnginePool {
	var servers []lwtdiscovery.Server
	for _, version := range []string{"v1", "v2"} {
		for _, server := range engineServers(prefill[version], decode[version]) {
			server.ID, server.Version = version+"-"+server.ID, version
			servers = append(servers, server)
		}
	}
	pool := lwtqueueplacement.NewEnginePool(lwtqueueplacement.Options{
		AvailabilityZone: "z0", PrefillTimePerToken: 3 * time.Microsecond,
	})
	pool.SetServers(engineSpec, servers)
	return pool
}

// TestKVCacheStaysWithinAVersion guards against a KV cache that one software version has written and another one reads.
func TestKVCacheStaysWithinAVersion(t *testing.T) {
	for _, counts := range []struct{ prefill, decode map[string]int }{
		{map[string]int{"v1": 4, "v2": 4}, map[string]int{"v1": 2, "v2": 2}},
		{map[string]int{"v1": 7, "v2": 1}, map[string]int{"v1": 1, "v2": 3}},
		{map[string]int{"v1": 8}, map[string]int{"v1": 2, "v2": 2}},
	} {
		pool := mixedPool(counts.prefill, counts.decode)
		used := map[string]int{}
		for i := range 200 {
			request := placementRequest(longPrompt(i))
			placement, rejection := pool.Place(start, request)
			if rejection != nil {
				t.Fatalf("prefill %v, decode %v: rejected: %+v", counts.prefill, counts.decode, rejection)
			}
			placement = pool.ChooseDecode(start, request, placement)
			if placement.Prefill.Version != placement.Decode.Version {
				t.Fatalf("prefill %v, decode %v: %s hands over to %s", counts.prefill, counts.decode, placement.Prefill.ID, placement.Decode.ID)
			}
			used[placement.Prefill.Version]++
			pool.DecodeStarted(placement.Decode.ID)
			pool.DecodeEnded(placement.Decode.ID)
		}
		for version, count := range counts.prefill {
			if used[version] < 10 && counts.decode[version] > 0 {
				t.Errorf("prefill %v, decode %v: version %s with %d engines has prefilled %d of 200 prompts",
					counts.prefill, counts.decode, version, count, used[version])
			}
		}
	}
}

// TestVersionWithoutDecodeEngineGetsNoPrompt guards against prompts that are prefilled by engines of a version of which none decodes.
func TestVersionWithoutDecodeEngineGetsNoPrompt(t *testing.T) {
	pool := mixedPool(map[string]int{"v1": 6, "v2": 2}, map[string]int{"v2": 2})
	for i := range 50 {
		placement, rejection := pool.Place(start, placementRequest(longPrompt(i)))
		if rejection != nil || placement.Prefill.Version == "v1" || placement.Decode.Version != "v2" {
			t.Fatalf("placement %+v, rejection %+v, want engines of v2", placement, rejection)
		}
	}
}

// TestStreamIsPlacedAtItsVersion guards against a stream that goes on at engines of another version, for a short prompt as well as a long one.
func TestStreamIsPlacedAtItsVersion(t *testing.T) {
	pool := mixedPool(map[string]int{"v1": 2, "v2": 2}, map[string]int{"v1": 1, "v2": 3})
	for i := range 40 {
		for _, request := range []lwtroutetable.Request{longPrompt(i), {PromptTokens: 100}} {
			version := fmt.Sprint("v", 1+i%2)
			placing := placementRequest(request)
			placing.Version, placing.VersionFixed = version, true
			placement, rejection := pool.Place(start, placing)
			if rejection != nil {
				t.Fatalf("rejected: %+v", rejection)
			}
			placement = pool.ChooseDecode(start, placing, placement)
			if placement.Decode.Version != version || placement.Prefill.ID != "" && placement.Prefill.Version != version {
				t.Errorf("a stream of %s is placed on %s and %s", version, placement.Prefill.ID, placement.Decode.ID)
			}
		}
	}
}

// TestChatsUseAllVersions guards against short prompts that go to one version only.
func TestChatsUseAllVersions(t *testing.T) {
	pool := mixedPool(map[string]int{"v1": 2, "v2": 2}, map[string]int{"v1": 2, "v2": 2})
	used := map[string]int{}
	for range 40 {
		placement, _ := pool.Place(start, placementRequest(lwtroutetable.Request{PromptTokens: 100}))
		pool.DecodeStarted(placement.Decode.ID)
		used[placement.Decode.ID]++
	}
	if len(used) != 4 {
		t.Errorf("chats by decode engine: %v, want all 4", used)
	}
}

// TestContinuedStreamWaitsUpToItsDeadline guards against a stream that is rejected as one more request that would miss its
// objective: its caller has received events, and only its version can go on with it.
func TestContinuedStreamWaitsUpToItsDeadline(t *testing.T) {
	pool := mixedPool(map[string]int{"v1": 1, "v2": 3}, map[string]int{"v1": 1, "v2": 2})
	for i := range 20 {
		request := placementRequest(longPrompt(i))
		request.Version, request.VersionFixed, request.TimeToObjective = "v1", true, time.Hour
		placement, rejection := pool.Place(start, request)
		if rejection != nil {
			t.Fatalf("prompt %d: rejected: %+v", i, rejection)
		}
		pool.PrefillStarted(start, request.Request, placement)
		pool.DecodeStarted(placement.Decode.ID)
	}
	for _, test := range []struct {
		name      string
		continues bool
		deadline  time.Duration
		placed    bool
	}{
		{"new", false, 10 * time.Second, false},
		{"continued", true, 10 * time.Second, true},
		{"continued, too late for its deadline", true, 20 * time.Millisecond, false},
	} {
		request := placementRequest(longPrompt(100))
		request.Version, request.VersionFixed, request.Continues = "v1", true, test.continues
		request.TimeToObjective, request.TimeToDeadline = 20*time.Millisecond, test.deadline
		placement, rejection := pool.Place(start, request)
		if placed := rejection == nil; placed != test.placed {
			t.Errorf("%s: placement %+v, rejection %+v, want placed: %v", test.name, placement, rejection, test.placed)
		}
	}
}

// TestStreamIsToldWhenAnEngineIsReady guards against a stream that is rejected although an engine of its version will be ready
// soon, and against an engine that is not used when its entry says that it has changed its stage.
func TestStreamIsToldWhenAnEngineIsReady(t *testing.T) {
	servers := []lwtdiscovery.Server{
		{ID: "a", Version: "v1", Stage: lwtdiscovery.Prefill, AvailabilityZone: "z0"},
		{ID: "b", Version: "v2", Stage: lwtdiscovery.Prefill, AvailabilityZone: "z0"},
		{ID: "c", Version: "v2", Stage: lwtdiscovery.Decode, AvailabilityZone: "z0"},
	}
	spec := engineSpec
	spec.StageChangeTime = 3 * time.Second
	pool := lwtqueueplacement.NewEnginePool(lwtqueueplacement.Options{AvailabilityZone: "z0", PrefillTimePerToken: time.Microsecond})
	pool.SetServers(spec, servers)
	request := placementRequest(lwtroutetable.Request{PromptTokens: 100})
	request.Version, request.VersionFixed, request.Continues = "v1", true, true
	if _, rejection := pool.Place(start, request); rejection == nil || rejection.ReadyIn != 0 {
		t.Errorf("no engine is changing: rejection %+v, want one that names no time", rejection)
	}
	pool.SetEnginesChangingStage(start, []string{"a"})
	now := start.Add(2 * time.Second)
	if _, rejection := pool.Place(now, request); rejection == nil || rejection.ReadyIn < time.Second || rejection.ReadyIn > 2*time.Second {
		t.Errorf("an engine is ready in a second: rejection %+v, want one that says so", rejection)
	}
	request.Continues = false
	if _, rejection := pool.Place(now, request); rejection == nil || rejection.ReadyIn != 0 {
		t.Errorf("a new request: rejection %+v, want one at once", rejection)
	}
	request.Continues = true
	// The holder of the order lease still reports the change.
	servers[0].Stage = lwtdiscovery.Decode
	pool.SetServers(spec, servers)
	pool.SetEnginesChangingStage(now, []string{"a"})
	if placement, rejection := pool.Place(now, request); rejection != nil || placement.Decode.ID != "a" {
		t.Errorf("the engine has changed: placement %+v, rejection %+v, want the engine", placement, rejection)
	}
	if streams := pool.Streams(now); streams["v1"] != 0 {
		t.Errorf("streams %v before any", streams)
	}
	pool.DecodeStarted("a")
	if streams := pool.Streams(now); streams["v1"] != 1 || streams["v2"] != 0 {
		t.Errorf("streams %v, want one of v1", streams)
	}
}

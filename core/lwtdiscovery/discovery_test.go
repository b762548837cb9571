package lwtdiscovery_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingtide/core/lwtdiscovery"
)

var start = time.Unix(1000, 0)

func server(id string, heartbeatSeq int64) lwtdiscovery.Server {
	return lwtdiscovery.Server{ID: id, Service: "s", Address: "10.0.0.1:1", HeartbeatSeq: heartbeatSeq, StartTime: start}
}

// TestLapsedDuringOutage guards against removing servers whose entries expired only because of
// an outage of the store, and against keeping those whose entries do not reappear.
func TestLapsedDuringOutage(t *testing.T) {
	serverSet := lwtdiscovery.ServerSet{}.WithEntry(server("a", 1)).WithEntry(server("b", 1)).WithEntry(server("c", 1))
	recovered := start.Add(time.Minute)
	serverSet = serverSet.WithOutage(lwtdiscovery.Outage{Start: recovered.Add(-5 * time.Second), End: recovered}).
		WithSnapshot(recovered, []lwtdiscovery.Server{server("c", 2)})
	if len(serverSet.Servers()) != 3 {
		t.Fatalf("%d servers right after the outage, want 3", len(serverSet.Servers()))
	}
	serverSet = serverSet.WithEntry(server("a", 2))
	serverSet, expired := serverSet.WithoutExpired(recovered.Add(lwtdiscovery.OutageGracePeriod))
	if _, kept := serverSet.Server("a"); !kept || !expired || len(serverSet.Servers()) != 2 {
		t.Errorf("servers after the grace period: %v, want a and c", serverSet.Servers())
	}
}

// TestRemovedWithoutOutage guards against requests to a server that has terminated.
func TestRemovedWithoutOutage(t *testing.T) {
	serverSet := lwtdiscovery.ServerSet{}.WithEntry(server("a", 1)).WithoutEntry(start.Add(time.Minute), "a")
	if len(serverSet.Servers()) != 0 {
		t.Error("a server without an entry is kept")
	}
}

// TestDroppedIsNotKept guards against keeping a server after an outage of the store although
// it has terminated, and against removing a server that is listed again because its old
// removal is still scheduled.
func TestDroppedIsNotKept(t *testing.T) {
	serverSet := lwtdiscovery.ServerSet{}.WithEntry(server("a", 1)).
		WithOutage(lwtdiscovery.Outage{Start: start.Add(-5 * time.Second), End: start}).WithoutEntry(start, "a")
	if _, kept := serverSet.Server("a"); !kept {
		t.Fatal("a server whose entry may have expired because of the outage is not kept")
	}
	serverSet = serverSet.WithoutServer("a")
	if len(serverSet.Servers()) != 0 {
		t.Error("a server that has terminated is kept")
	}
	if _, expired := serverSet.WithEntry(server("a", 2)).WithoutExpired(start.Add(time.Minute)); expired {
		t.Error("a server that is listed again is removed")
	}
}

// TestLeavingIsNotKept guards against keeping a draining server whose entry was removed after an
// outage of the store. It has terminated and does not come back.
func TestLeavingIsNotKept(t *testing.T) {
	draining := server("a", 1)
	draining.Draining = true
	serverSet := lwtdiscovery.ServerSet{}.WithOutage(lwtdiscovery.Outage{Start: start.Add(-5 * time.Second), End: start}).
		WithEntry(draining).WithoutEntry(start.Add(time.Second), "a")
	if len(serverSet.Servers()) != 0 {
		t.Error("a draining server is kept after its entry was removed")
	}
}

// TestDelayedHeartbeat guards against an old entry that arrives late and replaces a newer one,
// so that a draining or restarted server appears in its earlier state.
func TestDelayedHeartbeat(t *testing.T) {
	draining := server("a", 5)
	draining.Draining = true
	serverSet := lwtdiscovery.ServerSet{}.WithEntry(draining).WithEntry(server("a", 4))
	if known, _ := serverSet.Server("a"); !known.Draining {
		t.Error("an older heartbeat reverts that the server drains")
	}
	restarted := server("a", 1)
	restarted.StartTime = start.Add(time.Second)
	serverSet = serverSet.WithEntry(restarted).WithEntry(server("a", 6))
	if known, _ := serverSet.Server("a"); !known.StartTime.Equal(restarted.StartTime) || known.SameIncarnation(draining) {
		t.Error("an entry from before the restart replaces the one after it")
	}
}

// TestOwnOutage guards against keeping a server without an entry although another daemon could
// reach the store during the whole outage, and against removing it because of a daemon that
// could reach the store only for a part of it.
func TestOwnOutage(t *testing.T) {
	outage := lwtdiscovery.Outage{Start: start.Add(-6 * time.Second), End: start}
	before := lwtdiscovery.ServerSet{}.WithEntry(server("a", 1)).WithEntry(server("b", 1)).WithOutage(outage)
	for _, test := range []struct {
		name         string
		since, until time.Duration
		kept         bool
	}{
		{"whole outage", -time.Minute, 100 * time.Millisecond, false},
		{"until the start of the outage", -time.Minute, -5 * time.Second, true},
		{"from within the outage", -3 * time.Second, time.Second, true},
	} {
		reachablePeriod := lwtdiscovery.ReachablePeriod{Since: start.Add(test.since), Until: start.Add(test.until)}
		late, _ := before.WithoutEntry(start, "a").WithReachablePeriod(reachablePeriod)
		early, _ := before.WithReachablePeriod(reachablePeriod)
		early = early.WithoutEntry(start, "a")
		for order, serverSet := range map[string]lwtdiscovery.ServerSet{"after": late, "before": early} {
			if _, kept := serverSet.Server("a"); kept != test.kept {
				t.Errorf("%s, reported %s the removal: kept %v, want %v", test.name, order, kept, test.kept)
			}
			if _, kept := serverSet.Server("b"); !kept {
				t.Errorf("%s: a listed server is removed", test.name)
			}
		}
	}
}

// TestSaidToLeave guards against requests to a server that announced in a response that it is
// draining, because its entry does not say so yet. It also guards against a server that counts
// as draining after its restart.
func TestSaidToLeave(t *testing.T) {
	serverSet, changed := lwtdiscovery.ServerSet{}.WithEntry(server("a", 1)).WithDraining("a", start)
	if !changed {
		t.Error("a server that starts to drain is reported as unchanged")
	}
	relisted := serverSet.WithoutServer("a").WithEntry(server("a", 5))
	for name, serverSet := range map[string]lwtdiscovery.ServerSet{
		"listed again": serverSet.WithEntry(server("a", 2)), "after an expiry": relisted,
	} {
		if known, _ := serverSet.Server("a"); !known.Draining {
			t.Errorf("%s: an entry reverts that the server drains", name)
		}
	}
	restarted := server("a", 1)
	restarted.StartTime = start.Add(time.Second)
	serverSet = serverSet.WithEntry(restarted)
	if known, _ := serverSet.Server("a"); known.Draining {
		t.Error("a server counts as draining after its restart")
	}
	// A late response of the process before the restart.
	serverSet, _ = serverSet.WithDraining("a", start)
	if known, _ := serverSet.Server("a"); known.Draining {
		t.Error("a response from before the restart marks the server as draining")
	}
}

// TestHeartbeatCopiesNothing guards against copying the set for each heartbeat. A daemon
// receives thousands per second in a large fleet.
func TestHeartbeatCopiesNothing(t *testing.T) {
	serverSet := lwtdiscovery.ServerSet{}
	for i := range 1000 {
		serverSet = serverSet.WithEntry(server(fmt.Sprint("i-", i), 1))
	}
	heartbeatSeq := int64(1)
	allocations := testing.AllocsPerRun(100, func() {
		heartbeatSeq++
		serverSet = serverSet.WithEntry(server("i-1", heartbeatSeq))
	})
	if allocations > 0 {
		t.Errorf("%v allocations per heartbeat, want 0", allocations)
	}
}

// TestChangeBetweenHeartbeats guards against a heartbeat that hides a later change, and against
// a delayed entry that reverts the change.
func TestChangeBetweenHeartbeats(t *testing.T) {
	serverSet := lwtdiscovery.ServerSet{}.WithEntry(server("a", 1)).WithEntry(server("a", 2)).WithEntry(server("a", 3))
	changed := server("a", 4)
	changed.Stage = lwtdiscovery.Decode
	serverSet = serverSet.WithEntry(changed).WithEntry(server("a", 3))
	if known, _ := serverSet.Server("a"); known.Stage != lwtdiscovery.Decode {
		t.Error("a delayed entry reverts a change")
	}
	missing := serverSet.WithOutage(lwtdiscovery.Outage{Start: start, End: start.Add(time.Second)}).
		WithoutEntry(start.Add(time.Second), "a")
	changed.HeartbeatSeq = 5
	kept, _ := missing.WithEntry(changed).WithoutExpired(start.Add(time.Minute))
	if _, found := kept.Server("a"); !found {
		t.Error("a server that is listed again by a heartbeat is removed")
	}
}

package lwtdiscovery_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingtide/core/lwtdiscovery"
)

var start = time.Unix(1000, 0)

func server(id string, beat int64) lwtdiscovery.Server {
	return lwtdiscovery.Server{ID: id, Service: "s", Address: "10.0.0.1:1", HeartbeatSeq: beat, StartTime: start}
}

// TestLapsedDuringOutage guards against dropping servers whose entries lapsed
// only because the store was away, and against keeping those that stay missing.
func TestLapsedDuringOutage(t *testing.T) {
	roster := lwtdiscovery.ServerSet{}.WithEntry(server("a", 1)).WithEntry(server("b", 1)).WithEntry(server("c", 1))
	back := start.Add(time.Minute)
	roster = roster.WithOutage(lwtdiscovery.Outage{Start: back.Add(-5 * time.Second), End: back}).WithSnapshot(back, []lwtdiscovery.Server{server("c", 2)})
	if len(roster.Servers()) != 3 {
		t.Fatalf("%d servers right after the outage, want 3", len(roster.Servers()))
	}
	roster = roster.WithEntry(server("a", 2))
	roster, expired := roster.WithoutExpired(back.Add(lwtdiscovery.OutageGracePeriod))
	if _, kept := roster.Server("a"); !kept || !expired || len(roster.Servers()) != 2 {
		t.Errorf("after the grace: %v", roster.Servers())
	}
}

// TestRemovedWithoutOutage guards against requests to a server that has left.
func TestRemovedWithoutOutage(t *testing.T) {
	roster := lwtdiscovery.ServerSet{}.WithEntry(server("a", 1)).WithoutEntry(start.Add(time.Minute), "a")
	if len(roster.Servers()) != 0 {
		t.Error("a server without an entry is kept")
	}
}

// TestDroppedIsNotKept guards against a server that is kept after an outage of the
// store although it is known to have left, and against one that stays noted as
// missing and is dropped when it is listed again.
func TestDroppedIsNotKept(t *testing.T) {
	roster := lwtdiscovery.ServerSet{}.WithEntry(server("a", 1)).WithOutage(lwtdiscovery.Outage{Start: start.Add(-5 * time.Second), End: start}).WithoutEntry(start, "a")
	if _, kept := roster.Server("a"); !kept {
		t.Fatal("a server whose entry may have lapsed is not kept")
	}
	roster = roster.WithoutServer("a")
	if len(roster.Servers()) != 0 {
		t.Error("a server that has left is kept")
	}
	if _, expired := roster.WithEntry(server("a", 2)).WithoutExpired(start.Add(time.Minute)); expired {
		t.Error("a server that is listed again is dropped")
	}
}

// TestLeavingIsNotKept guards against a leaving server that is kept as one that
// may come back.
func TestLeavingIsNotKept(t *testing.T) {
	leaving := server("a", 1)
	leaving.Draining = true
	roster := lwtdiscovery.ServerSet{}.WithOutage(lwtdiscovery.Outage{Start: start.Add(-5 * time.Second), End: start}).WithEntry(leaving).WithoutEntry(start.Add(time.Second), "a")
	if len(roster.Servers()) != 0 {
		t.Error("a leaving server is kept after its entry was removed")
	}
}

// TestDelayedHeartbeat guards against an entry that was delayed and takes back
// that a server leaves, or that it has started again.
func TestDelayedHeartbeat(t *testing.T) {
	leaving := server("a", 5)
	leaving.Draining = true
	roster := lwtdiscovery.ServerSet{}.WithEntry(leaving).WithEntry(server("a", 4))
	if known, _ := roster.Server("a"); !known.Draining {
		t.Error("an older heartbeat takes back that the server leaves")
	}
	reborn := server("a", 1)
	reborn.StartTime = start.Add(time.Second)
	roster = roster.WithEntry(reborn).WithEntry(server("a", 6))
	if known, _ := roster.Server("a"); !known.StartTime.Equal(reborn.StartTime) || known.SameIncarnation(leaving) {
		t.Error("an entry of the run before replaces that of the new run")
	}
}

// TestOwnOutage guards against a server that is kept as one whose entry may have
// lapsed although the store was there for another daemon all the while, and against
// one that is dropped because of a daemon which cannot know that.
func TestOwnOutage(t *testing.T) {
	outage := lwtdiscovery.Outage{Start: start.Add(-6 * time.Second), End: start}
	before := lwtdiscovery.ServerSet{}.WithEntry(server("a", 1)).WithEntry(server("b", 1)).WithOutage(outage)
	for _, test := range []struct {
		name         string
		since, until time.Duration
		kept         bool
	}{
		{"all through", -time.Minute, 100 * time.Millisecond, false},
		{"until the outage", -time.Minute, -5 * time.Second, true},
		{"from within the outage", -3 * time.Second, time.Second, true},
	} {
		contact := lwtdiscovery.ReachablePeriod{Since: start.Add(test.since), Until: start.Add(test.until)}
		late, _ := before.WithoutEntry(start, "a").WithReachablePeriod(contact)
		early, _ := before.WithReachablePeriod(contact)
		early = early.WithoutEntry(start, "a")
		for order, roster := range map[string]lwtdiscovery.ServerSet{"after": late, "before": early} {
			if _, kept := roster.Server("a"); kept != test.kept {
				t.Errorf("%s, told %s the removal: kept %v, want %v", test.name, order, kept, test.kept)
			}
			if _, kept := roster.Server("b"); !kept {
				t.Errorf("%s: a listed server is dropped", test.name)
			}
		}
	}
}

// TestSaidToLeave guards against an entry that takes back what a server's answers
// say, and against a server that is left out after its restart.
func TestSaidToLeave(t *testing.T) {
	roster, news := lwtdiscovery.ServerSet{}.WithEntry(server("a", 1)).WithDraining("a", start)
	if !news {
		t.Error("a server that leaves is no news")
	}
	lapsed := roster.WithoutServer("a").WithEntry(server("a", 5))
	for name, roster := range map[string]lwtdiscovery.ServerSet{"listed again": roster.WithEntry(server("a", 2)), "after a lapse": lapsed} {
		if known, _ := roster.Server("a"); !known.Draining {
			t.Errorf("%s: an entry takes back that the server leaves", name)
		}
	}
	reborn := server("a", 1)
	reborn.StartTime = start.Add(time.Second)
	roster = roster.WithEntry(reborn)
	if known, _ := roster.Server("a"); known.Draining {
		t.Error("a server is left out after its restart")
	}
	// An answer of the run before that comes late.
	roster, _ = roster.WithDraining("a", start)
	if known, _ := roster.Server("a"); known.Draining {
		t.Error("an answer of the run before leaves the server out")
	}
}

// TestHeartbeatCopiesNothing guards against a list that is copied for each heartbeat:
// a daemon takes thousands a second in a large fleet.
func TestHeartbeatCopiesNothing(t *testing.T) {
	roster := lwtdiscovery.ServerSet{}
	for i := range 1000 {
		roster = roster.WithEntry(server(fmt.Sprint("i-", i), 1))
	}
	beat := int64(1)
	allocations := testing.AllocsPerRun(100, func() {
		beat++
		roster = roster.WithEntry(server("i-1", beat))
	})
	if allocations > 0 {
		t.Errorf("%v allocations for a heartbeat", allocations)
	}
}

// TestChangeBetweenHeartbeats guards against a heartbeat that hides a change which
// comes after it, and against an entry that was delayed behind the change.
func TestChangeBetweenHeartbeats(t *testing.T) {
	roster := lwtdiscovery.ServerSet{}.WithEntry(server("a", 1)).WithEntry(server("a", 2)).WithEntry(server("a", 3))
	changed := server("a", 4)
	changed.Stage = lwtdiscovery.Decode
	roster = roster.WithEntry(changed).WithEntry(server("a", 3))
	if known, _ := roster.Server("a"); known.Stage != lwtdiscovery.Decode {
		t.Error("an entry that was delayed takes back a change")
	}
	missing := roster.WithOutage(lwtdiscovery.Outage{Start: start, End: start.Add(time.Second)}).WithoutEntry(start.Add(time.Second), "a")
	changed.HeartbeatSeq = 5
	kept, _ := missing.WithEntry(changed).WithoutExpired(start.Add(time.Minute))
	if _, found := kept.Server("a"); !found {
		t.Error("a server that is listed again by a heartbeat is dropped")
	}
}

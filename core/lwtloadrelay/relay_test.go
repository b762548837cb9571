package lwtloadrelay_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lacewingtide/core/lwtloadrelay"
	"lacewingtide/core/lwtqueueplacement"
)

var start = time.Unix(1000, 0)

// fleet returns daemons in five availability zones.
func fleet(count int) []lwtloadrelay.Daemon {
	var daemons []lwtloadrelay.Daemon
	for i := range count {
		daemons = append(daemons, lwtloadrelay.Daemon{Name: fmt.Sprint("d", i), AvailabilityZone: fmt.Sprint("z", i%5)})
	}
	return daemons
}

func noneAvoided(string) bool { return false }

func topologies(daemons []lwtloadrelay.Daemon) map[string]lwtloadrelay.Topology {
	topologies := map[string]lwtloadrelay.Topology{}
	for _, daemon := range daemons {
		topologies[daemon.Name] = lwtloadrelay.NewTopology(daemon, daemons, noneAvoided)
	}
	return topologies
}

// TestSmallFleetIsAMesh guards against relaying in a small fleet, where a second hop saves
// nothing.
func TestSmallFleetIsAMesh(t *testing.T) {
	for name, topology := range topologies(fleet(5)) {
		if !topology.IsRelay() || len(topology.OtherRelays()) != 4 || !topology.ReadsStore() {
			t.Errorf("%s: relays %v, reports to %v, reads the store %v",
				name, topology.IsRelay(), topology.OtherRelays(), topology.ReadsStore())
		}
	}
}

// TestPlansAgree guards against daemons that report to one that is no relay, and against more
// daemons reading the store than needed.
func TestPlansAgree(t *testing.T) {
	for _, count := range []int{13, 31, 117, 370} {
		daemons := fleet(count)
		topologies := topologies(daemons)
		readers := 0
		for _, daemon := range daemons {
			topology := topologies[daemon.Name]
			relay := topologies[topology.Relay()]
			if !relay.IsRelay() {
				t.Errorf("%d daemons: %s reports to %s, which is no relay", count, daemon.Name, topology.Relay())
			}
			if topology.ReadsStore() {
				readers++
			}
		}
		if readers != 3 {
			t.Errorf("%d daemons: %d read the store, want 3", count, readers)
		}
	}
}

// TestFanOut guards against messages that grow in proportion to the fleet: no daemon may send to
// more than about four times the square root of the number of daemons.
func TestFanOut(t *testing.T) {
	for count, maxSends := range map[int]int{31: 24, 117: 44, 370: 80, 1000: 128} {
		topologies := topologies(fleet(count))
		fanOut := map[string]int{}
		for name, topology := range topologies {
			if topology.IsRelay() {
				fanOut[name] += len(topology.OtherRelays())
			} else {
				fanOut[name]++
				fanOut[topology.Relay()]++
			}
		}
		for name, sent := range fanOut {
			if sent > maxSends {
				t.Errorf("%d daemons: %s sends to %d, want at most %d", count, name, sent, maxSends)
			}
		}
	}
}

// TestLostDaemonMovesFew guards against reassigning all groups when one daemon is lost, and
// against keeping a relay that does not respond.
func TestLostDaemonMovesFew(t *testing.T) {
	daemons := fleet(117)
	before := topologies(daemons)
	lost := before["d0"].Relay()
	moved := 0
	for _, daemon := range daemons {
		if daemon.Name == lost {
			continue
		}
		after := lwtloadrelay.NewTopology(daemon, daemons, func(name string) bool { return name == lost })
		if after.Relay() == lost {
			t.Fatalf("%s keeps the relay that it should avoid", daemon.Name)
		}
		if after.Relay() != before[daemon.Name].Relay() {
			moved++
		}
	}
	if moved > 117/5 {
		t.Errorf("%d of 117 daemons have another relay after one was lost, want at most a fifth", moved)
	}
}

// TestMissedChangeIsNoticed guards against a relay that misses a change of the servers and compares
// its list with none of the daemons that read the store, so that its whole group keeps the old one.
func TestMissedChangeIsNoticed(t *testing.T) {
	for _, count := range []int{13, 31, 117, 370} {
		topologies := topologies(fleet(count))
		for name, topology := range topologies {
			reference, found := topologies[topology.Reference()]
			if !found || topology.Reference() == name {
				t.Errorf("%d daemons: %s compares its servers with those of %q", count, name, topology.Reference())
				continue
			}
			if topology.IsRelay() && !reference.ReadsStore() {
				t.Errorf("%d daemons: relay %s compares its servers with %s, which reads no store", count, name, topology.Reference())
			}
			if !topology.IsRelay() && !reference.IsRelay() {
				t.Errorf("%d daemons: %s compares its servers with %s, which is no relay", count, name, topology.Reference())
			}
		}
	}
}

func load(prefill time.Duration, running int) lwtqueueplacement.Load {
	return lwtqueueplacement.Load{PrefillTime: prefill, Running: running}
}

// TestCollectorPassesOnChanges guards against changes that are forwarded twice or not at all,
// and against loads that are kept after their daemon has stopped reporting.
func TestCollectorPassesOnChanges(t *testing.T) {
	collector := lwtloadrelay.NewCollector()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	first := lwtqueueplacement.LoadReport{
		Full: true, Loads: map[string]lwtqueueplacement.Load{"e1": load(time.Second, 1), "e2": load(0, 2)},
	}
	collector.Apply(at(0), "d1", first)
	collector.Apply(at(0), "d2", lwtqueueplacement.LoadReport{
		Loads: map[string]lwtqueueplacement.Load{"e1": load(time.Second, 0)},
	})
	sum := map[string]lwtqueueplacement.Load{"e2": load(0, 1)}
	collector.AddTo(sum)
	if sum["e1"] != load(2*time.Second, 1) || sum["e2"] != load(0, 3) {
		t.Errorf("sum of loads %v", sum)
	}
	if reports := collector.Flush(at(1)); len(reports) != 2 || !reports[0].Full || len(reports[0].Loads) != 2 {
		t.Errorf("first reports %+v, want two with a full one first", reports)
	}
	if reports := collector.Flush(at(2)); len(reports) != 0 {
		t.Errorf("reports without a change: %+v", reports)
	}
	collector.Apply(at(3), "d1", lwtqueueplacement.LoadReport{
		Full: true, Loads: map[string]lwtqueueplacement.Load{"e1": load(time.Second, 1)},
	})
	reports := collector.Flush(at(4))
	if len(reports) != 1 || reports[0].Full || len(reports[0].Loads) != 1 || reports[0].Loads["e2"] != load(0, 0) {
		t.Errorf("reports after one load ended: %+v", reports)
	}
	collector.Apply(at(900), "d2", lwtqueueplacement.LoadReport{Loads: map[string]lwtqueueplacement.Load{}})
	collector.Flush(at(1100))
	sum = map[string]lwtqueueplacement.Load{}
	collector.AddTo(sum)
	if sum["e1"] != load(time.Second, 0) {
		t.Errorf("sum of loads after one daemon stopped reporting: %v", sum)
	}
}

// TestHoldersAreFoundAfterLosses guards against knowledge that no daemon finds any more after many daemons were lost at once.
func TestHoldersAreFoundAfterLosses(t *testing.T) {
	// minFound is the least share of the keys that a remaining daemon finds. Half of the streams that
	// callers take up have to go on.
	const minFound, holders, asked = 0.5, 5, 16
	for _, size := range []int{4, 12, 13, 31, 117, 370} {
		for _, lostShare := range []float64{0.1, 0.35, 0.6} {
			live := fleet(size)
			random := rand.New(rand.NewPCG(uint64(size), 1))
			lost := map[string]bool{}
			for _, i := range random.Perm(size)[:int(lostShare*float64(size))] {
				lost[live[i].Name] = true
			}
			remaining := slices.DeleteFunc(slices.Clone(live), func(daemon lwtloadrelay.Daemon) bool { return lost[daemon.Name] })
			found := 0
			const keys = 400
			for key := range keys {
				name := fmt.Sprint("key", key)
				began := live[random.IntN(size)]
				knows := map[string]bool{began.Name: true}
				for _, holder := range lwtloadrelay.NewTopology(began, live, noneAvoided).Holders(name, holders) {
					knows[holder] = true
				}
				asking := remaining[random.IntN(len(remaining))]
				if knows[asking.Name] || slices.ContainsFunc(lwtloadrelay.NewTopology(asking, remaining, noneAvoided).Holders(name, asked),
					func(holder string) bool { return knows[holder] }) {
					found++
				}
			}
			if float64(found) < minFound*keys {
				t.Errorf("%d daemons, %g lost: %d of %d keys are found, want at least %g of them", size, lostShare, found, keys, minFound)
			}
		}
	}
}

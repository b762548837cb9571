package lwtloadrelay_test

import (
	"fmt"
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

func nobody(string) bool { return false }

func plans(daemons []lwtloadrelay.Daemon) map[string]lwtloadrelay.Topology {
	plans := map[string]lwtloadrelay.Topology{}
	for _, daemon := range daemons {
		plans[daemon.Name] = lwtloadrelay.New(daemon, daemons, nobody)
	}
	return plans
}

// TestSmallFleetIsAMesh guards against a second hop where it saves nothing.
func TestSmallFleetIsAMesh(t *testing.T) {
	for name, plan := range plans(fleet(5)) {
		if !plan.IsRelay() || len(plan.OtherRelays()) != 4 || !plan.ReadsStore() {
			t.Errorf("%s: relays %v, reports to %v, reads %v", name, plan.IsRelay(), plan.OtherRelays(), plan.ReadsStore())
		}
	}
}

// TestPlansAgree guards against daemons that report to one which does not relay,
// or in another availability zone, and against a store that all of them read.
func TestPlansAgree(t *testing.T) {
	for _, count := range []int{13, 31, 117, 370} {
		daemons := fleet(count)
		plans := plans(daemons)
		reading := 0
		for _, daemon := range daemons {
			plan := plans[daemon.Name]
			relay := plans[plan.Relay()]
			if !relay.IsRelay() {
				t.Errorf("%d daemons: %s reports to %s, which does not relay", count, daemon.Name, plan.Relay())
			}
			if plan.ReadsStore() {
				reading++
			}
		}
		if reading != 3 {
			t.Errorf("%d daemons: %d read the store, want 3", count, reading)
		}
	}
}

// TestFanOut guards against messages that grow with the fleet: no daemon may send to
// more than some four times the square root of the fleet.
func TestFanOut(t *testing.T) {
	for count, most := range map[int]int{31: 24, 117: 44, 370: 80, 1000: 128} {
		plans := plans(fleet(count))
		sends := map[string]int{}
		for name, plan := range plans {
			if plan.IsRelay() {
				sends[name] += len(plan.OtherRelays())
			} else {
				sends[name]++
				sends[plan.Relay()]++
			}
		}
		for name, sent := range sends {
			if sent > most {
				t.Errorf("%d daemons: %s sends to %d, want at most %d", count, name, sent, most)
			}
		}
	}
}

// TestLostDaemonMovesFew guards against groups that are dealt anew when one daemon
// leaves, and against a silent relay that is kept.
func TestLostDaemonMovesFew(t *testing.T) {
	daemons := fleet(117)
	before := plans(daemons)
	lost := before["d0"].Relay()
	moved := 0
	for _, daemon := range daemons {
		if daemon.Name == lost {
			continue
		}
		after := lwtloadrelay.New(daemon, daemons, func(name string) bool { return name == lost })
		if after.Relay() == lost {
			t.Fatalf("%s keeps the relay that it avoids", daemon.Name)
		}
		if after.Relay() != before[daemon.Name].Relay() {
			moved++
		}
	}
	if moved > 117/5 {
		t.Errorf("%d of 117 daemons have another relay after one was lost", moved)
	}
}

func load(prefill time.Duration, running int) lwtqueueplacement.Load {
	return lwtqueueplacement.Load{PrefillTime: prefill, Running: running}
}

// TestCollectorPassesOnChanges guards against work that is passed on twice, lost, or
// kept after its daemon has gone silent.
func TestCollectorPassesOnChanges(t *testing.T) {
	collector := lwtloadrelay.NewCollector()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	first := lwtqueueplacement.LoadReport{Full: true, Loads: map[string]lwtqueueplacement.Load{"e1": load(time.Second, 1), "e2": load(0, 2)}}
	collector.Apply(at(0), "d1", first)
	collector.Apply(at(0), "d2", lwtqueueplacement.LoadReport{Loads: map[string]lwtqueueplacement.Load{"e1": load(time.Second, 0)}})
	sum := map[string]lwtqueueplacement.Load{"e2": load(0, 1)}
	collector.AddTo(sum)
	if sum["e1"] != load(2*time.Second, 1) || sum["e2"] != load(0, 3) {
		t.Errorf("sum %v", sum)
	}
	if reports := collector.Flush(at(1)); len(reports) != 2 || !reports[0].Full || len(reports[0].Loads) != 2 {
		t.Errorf("first reports %+v", reports)
	}
	if reports := collector.Flush(at(2)); len(reports) != 0 {
		t.Errorf("nothing has changed: %+v", reports)
	}
	collector.Apply(at(3), "d1", lwtqueueplacement.LoadReport{Full: true, Loads: map[string]lwtqueueplacement.Load{"e1": load(time.Second, 1)}})
	reports := collector.Flush(at(4))
	if len(reports) != 1 || reports[0].Full || len(reports[0].Loads) != 1 || reports[0].Loads["e2"] != load(0, 0) {
		t.Errorf("one load has ended: %+v", reports)
	}
	collector.Apply(at(900), "d2", lwtqueueplacement.LoadReport{Loads: map[string]lwtqueueplacement.Load{}})
	collector.Flush(at(1100))
	sum = map[string]lwtqueueplacement.Load{}
	collector.AddTo(sum)
	if sum["e1"] != load(time.Second, 0) {
		t.Errorf("after the silence of one daemon: %v", sum)
	}
}

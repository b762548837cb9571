package lwtprefillratio_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtprefillratio"
)

var start = time.Unix(1000, 0)

// fleet returns engines in three availability zones, every fourth in prefill.
func fleet(count int) []lwtdiscovery.Server {
	servers := make([]lwtdiscovery.Server, count)
	for i := range servers {
		servers[i] = lwtdiscovery.Server{ID: fmt.Sprintf("e%02d", i), AvailabilityZone: fmt.Sprint("z", i%3), Stage: lwtdiscovery.Decode}
		if i%4 == 0 {
			servers[i].Stage = lwtdiscovery.Prefill
		}
	}
	return servers
}

// carryOut applies orders to the engines.
func carryOut(planner *lwtprefillratio.Planner, now time.Time, servers []lwtdiscovery.Server, orders []lwtprefillratio.StageChange) {
	for _, order := range orders {
		planner.RecordSent(now, order)
		for i := range servers {
			if servers[i].ID == order.Server.ID {
				servers[i].Stage = order.Stage
			}
		}
	}
}

func countDecode(servers []lwtdiscovery.Server) (count int, zones map[string]int) {
	zones = map[string]int{}
	for _, server := range servers {
		if server.Stage == lwtdiscovery.Decode && !server.Draining {
			count++
			zones[server.AvailabilityZone]++
		}
	}
	return count, zones
}

// TestFirstStages guards against a fleet that starts with too few engines that
// read, and against generating engines that are all in one availability zone.
func TestFirstStages(t *testing.T) {
	for _, test := range []struct{ engines, decode int }{{12, 4}, {11, 4}, {48, 16}, {3, 2}, {6, 2}} {
		servers, planner := fleet(test.engines), lwtprefillratio.New()
		if orders := planner.Plan(start, servers, false); len(orders) > 0 {
			t.Fatalf("%d orders before the list is settled", len(orders))
		}
		now := start.Add(2 * time.Second)
		carryOut(planner, now, servers, planner.Plan(now, servers, false))
		now = now.Add(time.Second)
		if orders := planner.Plan(now, servers, false); len(orders) > 0 {
			t.Errorf("%d engines: %d more orders once the stages are right", test.engines, len(orders))
		}
		count, zones := countDecode(servers)
		if count != test.decode {
			t.Errorf("%d engines: %d generate, want %d", test.engines, count, test.decode)
		}
		if test.engines == 12 && len(zones) != 3 {
			t.Errorf("generating engines by availability zone: %v", zones)
		}
	}
}

// TestOrderIsGivenOnce guards against orders that are repeated while the first
// one is being carried out.
func TestOrderIsGivenOnce(t *testing.T) {
	servers, planner := fleet(12), lwtprefillratio.New()
	planner.Plan(start, servers, false)
	now := start.Add(2 * time.Second)
	orders := planner.Plan(now, servers, false)
	for _, order := range orders {
		planner.RecordSent(now, order)
	}
	if again := planner.Plan(now.Add(time.Second), servers, false); len(orders) == 0 || len(again) != 0 {
		t.Errorf("%d orders, then %d again", len(orders), len(again))
	}
	if len(planner.EnginesChangingStage()) != len(orders) {
		t.Errorf("%d engines change, want %d", len(planner.EnginesChangingStage()), len(orders))
	}
}

// staged returns a fleet whose engines have got their first stages by now.
func staged(engines int) (servers []lwtdiscovery.Server, planner *lwtprefillratio.Planner, now time.Time) {
	servers, planner, now = fleet(engines), lwtprefillratio.New(), start.Add(2*time.Second)
	planner.Plan(start, servers, false)
	carryOut(planner, now, servers, planner.Plan(now, servers, false))
	planner.Plan(now.Add(time.Second), servers, false)
	return servers, planner, now
}

// TestLostDecodeEngine guards against a fleet that is left without engines that
// generate when some are lost.
func TestLostDecodeEngine(t *testing.T) {
	servers, planner, now := staged(12)
	lost := 0
	for i := range servers {
		if servers[i].Stage == lwtdiscovery.Decode && lost < 3 {
			servers[i].Draining = true
			lost++
		}
	}
	for step := range 4 {
		now = now.Add(time.Duration(step+6) * time.Second)
		carryOut(planner, now, servers, planner.Plan(now, servers, true))
	}
	if count, _ := countDecode(servers); count < 2 {
		t.Errorf("%d engines generate after a loss", count)
	}
}

// TestLostEnginesTakeNoMoreAway guards against a planner that takes an engine
// from those that generate because others were lost.
func TestLostEnginesTakeNoMoreAway(t *testing.T) {
	servers, planner, now := staged(12)
	left := servers[:0:0]
	for i, server := range servers {
		if server.Stage == lwtdiscovery.Decode || i%3 != 0 {
			left = append(left, server)
		}
	}
	if orders := planner.Plan(now.Add(20*time.Second), left, true); len(orders) > 0 {
		t.Errorf("%d of %d engines are left, and %d change: %+v", len(left), len(servers), len(orders), orders)
	}
}

// TestNewHolderChangesFewAtOnce guards against a daemon that takes over the
// orders and takes many engines away from callers at the same moment.
func TestNewHolderChangesFewAtOnce(t *testing.T) {
	servers, planner := fleet(30), lwtprefillratio.New()
	planner.Plan(start, servers, true)
	if orders := planner.Plan(start.Add(2*time.Second), servers, true); len(orders) == 0 || len(orders) > 6 {
		t.Errorf("%d of %d serving engines change at once", len(orders), len(servers))
	}
}

// TestManySlotsNeedFewEngines guards against engines with many slots that generate
// although the streams fit on fewer, while prompts wait for an engine.
func TestManySlotsNeedFewEngines(t *testing.T) {
	for slots, want := range map[int]int{0: 6, 12: 6, 32: 6, 64: 4, 512: 2} {
		var servers []lwtdiscovery.Server
		for i := range 18 {
			servers = append(servers, lwtdiscovery.Server{
				ID: fmt.Sprint("e", i), Stage: lwtdiscovery.Prefill, AvailabilityZone: "a", Slots: slots,
			})
		}
		planner := lwtprefillratio.New()
		planner.Plan(start, servers, false)
		if orders := planner.Plan(start.Add(time.Minute), servers, false); len(orders) != want {
			t.Errorf("%d slots: %d of 18 engines generate, want %d", slots, len(orders), want)
		}
	}
}

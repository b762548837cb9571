package lwtprefillratio_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtprefillratio"
)

var start = time.Unix(1000, 0)

// fleet returns engines in three availability zones, every fourth of them for prefill.
func fleet(count int) []lwtdiscovery.Server {
	servers := make([]lwtdiscovery.Server, count)
	for i := range servers {
		servers[i] = lwtdiscovery.Server{
			ID: fmt.Sprintf("e%02d", i), AvailabilityZone: fmt.Sprint("z", i%3), Stage: lwtdiscovery.Decode,
		}
		if i%4 == 0 {
			servers[i].Stage = lwtdiscovery.Prefill
		}
	}
	return servers
}

// applyChanges carries out stage changes on the servers.
func applyChanges(
	planner *lwtprefillratio.Planner, now time.Time, servers []lwtdiscovery.Server, changes []lwtprefillratio.StageChange,
) {
	for _, change := range changes {
		planner.RecordSent(now, change)
		for i := range servers {
			if servers[i].ID == change.Server.ID {
				servers[i].Stage = change.Stage
			}
		}
	}
}

func countDecode(servers []lwtdiscovery.Server) (count int, zoneCounts map[string]int) {
	zoneCounts = map[string]int{}
	for _, server := range servers {
		if server.Stage == lwtdiscovery.Decode && !server.Draining {
			count++
			zoneCounts[server.AvailabilityZone]++
		}
	}
	return count, zoneCounts
}

// TestFirstStages guards against a fleet that starts with too few prefill engines, and against
// decode engines that are all in one availability zone.
func TestFirstStages(t *testing.T) {
	for _, test := range []struct{ engines, decode int }{{12, 4}, {11, 4}, {48, 16}, {3, 2}, {6, 2}} {
		servers, planner := fleet(test.engines), lwtprefillratio.New()
		if changes := planner.Plan(start, servers, false); len(changes) > 0 {
			t.Fatalf("%d stage changes before the engines are settled", len(changes))
		}
		now := start.Add(2 * time.Second)
		applyChanges(planner, now, servers, planner.Plan(now, servers, false))
		now = now.Add(time.Second)
		if changes := planner.Plan(now, servers, false); len(changes) > 0 {
			t.Errorf("%d engines: %d more stage changes after the target is reached", test.engines, len(changes))
		}
		count, zones := countDecode(servers)
		if count != test.decode {
			t.Errorf("%d engines: %d decode, want %d", test.engines, count, test.decode)
		}
		if test.engines == 12 && len(zones) != 3 {
			t.Errorf("decode engines by availability zone: %v, want 3 zones", zones)
		}
	}
}

// TestOrderIsGivenOnce guards against planning a stage change again while it is pending.
func TestOrderIsGivenOnce(t *testing.T) {
	servers, planner := fleet(12), lwtprefillratio.New()
	planner.Plan(start, servers, false)
	now := start.Add(2 * time.Second)
	changes := planner.Plan(now, servers, false)
	for _, change := range changes {
		planner.RecordSent(now, change)
	}
	if again := planner.Plan(now.Add(time.Second), servers, false); len(changes) == 0 || len(again) != 0 {
		t.Errorf("%d stage changes, then %d again, want none again", len(changes), len(again))
	}
	if len(planner.EnginesChangingStage()) != len(changes) {
		t.Errorf("%d engines changing stage, want %d", len(planner.EnginesChangingStage()), len(changes))
	}
}

// settledFleet returns a fleet whose engines have reached their first stages at now.
func settledFleet(engines int) (servers []lwtdiscovery.Server, planner *lwtprefillratio.Planner, now time.Time) {
	servers, planner, now = fleet(engines), lwtprefillratio.New(), start.Add(2*time.Second)
	planner.Plan(start, servers, false)
	applyChanges(planner, now, servers, planner.Plan(now, servers, false))
	planner.Plan(now.Add(time.Second), servers, false)
	return servers, planner, now
}

// TestLostDecodeEngine guards against a fleet that keeps too few decode engines after some are
// lost.
func TestLostDecodeEngine(t *testing.T) {
	servers, planner, now := settledFleet(12)
	lost := 0
	for i := range servers {
		if servers[i].Stage == lwtdiscovery.Decode && lost < 3 {
			servers[i].Draining = true
			lost++
		}
	}
	for step := range 4 {
		now = now.Add(time.Duration(step+6) * time.Second)
		applyChanges(planner, now, servers, planner.Plan(now, servers, true))
	}
	if count, _ := countDecode(servers); count < 2 {
		t.Errorf("%d decode engines after the loss of 3, want at least 2", count)
	}
}

// TestLostEnginesTakeNoMoreAway guards against moving a decode engine to prefill because
// prefill engines were lost, which may come back.
func TestLostEnginesTakeNoMoreAway(t *testing.T) {
	servers, planner, now := settledFleet(12)
	remaining := servers[:0:0]
	for i, server := range servers {
		if server.Stage == lwtdiscovery.Decode || i%3 != 0 {
			remaining = append(remaining, server)
		}
	}
	if changes := planner.Plan(now.Add(20*time.Second), remaining, true); len(changes) > 0 {
		t.Errorf("%d of %d engines remain and %d change: %+v", len(remaining), len(servers), len(changes), changes)
	}
}

// TestNewHolderChangesFewAtOnce guards against a daemon that takes over the planning and
// changes many serving engines at once.
func TestNewHolderChangesFewAtOnce(t *testing.T) {
	servers, planner := fleet(30), lwtprefillratio.New()
	planner.Plan(start, servers, true)
	if changes := planner.Plan(start.Add(2*time.Second), servers, true); len(changes) == 0 || len(changes) > 6 {
		t.Errorf("%d of %d serving engines change at once, want 1 to 6", len(changes), len(servers))
	}
}

// TestManySlotsNeedFewEngines guards against more decode engines than the streams need when
// engines have many slots, while prompts wait for prefill engines.
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
		if changes := planner.Plan(start.Add(time.Minute), servers, false); len(changes) != want {
			t.Errorf("%d slots: %d of 18 engines decode, want %d", slots, len(changes), want)
		}
	}
}

// TestEachVersionKeepsBothStages guards against a software version with several engines none of which decodes, so that its streams can't go on, or none of which prefills.
func TestEachVersionKeepsBothStages(t *testing.T) {
	for _, stages := range []struct{ v1Prefill, v1Decode, v2Prefill, v2Decode int }{
		{6, 0, 2, 4}, {8, 0, 0, 4}, {2, 0, 5, 5}, {0, 6, 6, 0}, {4, 2, 4, 2}, {3, 1, 8, 0},
	} {
		var servers []lwtdiscovery.Server
		add := func(version string, stage lwtdiscovery.Stage, count int) {
			for range count {
				servers = append(servers, lwtdiscovery.Server{
					ID: fmt.Sprintf("e%02d", len(servers)), AvailabilityZone: fmt.Sprint("z", len(servers)%3), Stage: stage, Version: version,
				})
			}
		}
		add("v1", lwtdiscovery.Prefill, stages.v1Prefill)
		add("v1", lwtdiscovery.Decode, stages.v1Decode)
		add("v2", lwtdiscovery.Prefill, stages.v2Prefill)
		add("v2", lwtdiscovery.Decode, stages.v2Decode)
		planner, now := lwtprefillratio.New(), start
		for range 6 {
			applyChanges(planner, now, servers, planner.Plan(now, servers, true))
			now = now.Add(6 * time.Second)
		}
		counts := map[string]int{}
		for _, server := range servers {
			counts[server.Version+" "+string(server.Stage)]++
		}
		for _, version := range []string{"v1", "v2"} {
			if counts[version+" decode"] == 0 || counts[version+" prefill"] == 0 {
				t.Errorf("stages %+v: engines after 36 s: %v", stages, counts)
			}
		}
		if decode := counts["v1 decode"] + counts["v2 decode"]; decode < 3 || decode > 6 {
			t.Errorf("stages %+v: %d of %d engines decode, want 3 to 6", stages, decode, len(servers))
		}
	}
}

// settle plans the stages of servers for two minutes, and returns when they changed last.
func settle(servers []lwtdiscovery.Server, streams map[string]int, busy bool) time.Duration {
	planner, now, last := lwtprefillratio.New(), start, start
	for range 40 {
		planner.SetStreams(now, streams)
		changes := planner.Plan(now, servers, busy)
		if len(changes) > 0 {
			last = now
		}
		applyChanges(planner, now, servers, changes)
		now = now.Add(3 * time.Second)
	}
	return last.Sub(start)
}

// versionedFleet returns engines of versions v1, v2 and so on, with the given numbers that prefill and decode.
func versionedFleet(prefillAndDecode ...[2]int) (servers []lwtdiscovery.Server) {
	for i, counts := range prefillAndDecode {
		for number := range counts[0] + counts[1] {
			stage := lwtdiscovery.Prefill
			if number >= counts[0] {
				stage = lwtdiscovery.Decode
			}
			servers = append(servers, lwtdiscovery.Server{
				ID: fmt.Sprintf("e%02d", len(servers)), AvailabilityZone: fmt.Sprint("z", len(servers)%3), Stage: stage,
				Version: fmt.Sprint("v", i+1), Slots: 32,
			})
		}
	}
	return servers
}

// TestEachVersionHasASecondDecodeEngine guards against a version whose streams can go on nowhere once its only decode
// engine has crashed, and against stages that change to and fro.
func TestEachVersionHasASecondDecodeEngine(t *testing.T) {
	for _, versions := range [][][2]int{
		{{4, 0}, {4, 0}},
		{{3, 1}, {2, 2}},
		{{9, 0}, {3, 0}},
		{{3, 0}, {0, 9}},
		{{10, 0}, {2, 0}},
		{{11, 0}, {1, 0}},
		{{3, 0}, {3, 0}, {3, 0}},
		{{0, 4}, {0, 4}, {0, 4}},
		{{2, 0}, {2, 0}},
	} {
		for _, busy := range []bool{false, true} {
			servers := versionedFleet(versions...)
			if settled := settle(servers, nil, busy); settled > time.Minute {
				t.Errorf("versions %v, busy %v: stages still change after %v", versions, busy, settled)
			}
			for i, counts := range versions {
				version, engines := fmt.Sprint("v", i+1), counts[0]+counts[1]
				decode := 0
				for _, server := range servers {
					if server.Version == version && server.Stage == lwtdiscovery.Decode {
						decode++
					}
				}
				least := 1
				if busy && engines >= 3 {
					least = 2
				}
				if engines >= 2 && (decode < least || decode == engines) {
					t.Errorf("versions %v, busy %v: %d of %d engines of %s decode", versions, busy, decode, engines, version)
				}
			}
		}
	}
}

// TestUnreachableDecodeEnginesAreReplaced guards against a version whose decode engines have all crashed and stay without a
// successor until their entries are removed.
func TestUnreachableDecodeEnginesAreReplaced(t *testing.T) {
	for _, test := range []struct {
		down []string
		want string
	}{{[]string{"e02"}, ""}, {[]string{"e02", "e03"}, "v1"}, {[]string{"e00", "e02", "e03"}, "v1"}} {
		servers, planner := versionedFleet([2]int{2, 2}, [2]int{2, 2}), lwtprefillratio.New()
		planner.Plan(start, servers, true)
		now := start.Add(10 * time.Second)
		unreachable := map[string]bool{}
		for _, id := range test.down {
			unreachable[id] = true
		}
		planner.SetUnreachable(unreachable)
		changes := planner.Plan(now, servers, true)
		switch {
		case test.want == "" && len(changes) > 0, test.want != "" && len(changes) != 1:
			t.Errorf("unreachable %v: changes %+v", test.down, changes)
		case test.want != "":
			if to := changes[0]; to.Stage != lwtdiscovery.Decode || to.Server.Version != test.want || unreachable[to.Server.ID] {
				t.Errorf("unreachable %v: change %+v, want one of %s to decode", test.down, to, test.want)
			}
		}
	}
}

// TestThirdDecodeEngineForManyStreams guards against a version with many streams that can go on nowhere once two of its
// engines have crashed at the same moment, and against stages that change to and fro with the streams.
func TestThirdDecodeEngineForManyStreams(t *testing.T) {
	for _, test := range []struct {
		versions [][2]int
		streams  map[string]int
		want     map[string]int
	}{
		{[][2]int{{5, 0}, {5, 0}}, map[string]int{"v1": 24, "v2": 24}, map[string]int{"v1": 3, "v2": 3}},
		{[][2]int{{5, 0}, {5, 0}}, map[string]int{"v1": 24}, map[string]int{"v1": 3, "v2": 2}},
		{[][2]int{{4, 0}, {8, 0}}, map[string]int{"v1": 24, "v2": 24}, map[string]int{"v1": 3, "v2": 3}},
		{[][2]int{{3, 0}, {9, 0}}, map[string]int{"v1": 24, "v2": 24}, map[string]int{"v1": 2, "v2": 3}},
		{[][2]int{{2, 0}, {9, 0}}, map[string]int{"v1": 24, "v2": 24}, map[string]int{"v1": 1, "v2": 3}},
		{[][2]int{{6, 0}, {6, 0}}, map[string]int{"v1": 2, "v2": 2}, map[string]int{"v1": 2, "v2": 2}},
		{[][2]int{{9, 0}, {0, 9}}, map[string]int{"v1": 40, "v2": 9}, map[string]int{"v1": 3, "v2": 3}},
	} {
		servers := versionedFleet(test.versions...)
		if settled := settle(servers, test.streams, true); settled > time.Minute {
			t.Errorf("%+v: stages still change after %v", test, settled)
		}
		decode, prefill := map[string]int{}, map[string]int{}
		for _, server := range servers {
			if server.Stage == lwtdiscovery.Decode {
				decode[server.Version]++
			} else {
				prefill[server.Version]++
			}
		}
		for version, want := range test.want {
			if prefill[version] == 0 {
				t.Errorf("%+v: no engine of %s prefills", test, version)
			}
			if decode[version] < want {
				t.Errorf("%+v: %d engines of %s decode, want %d or more", test, decode[version], version, want)
			}
		}
	}
}

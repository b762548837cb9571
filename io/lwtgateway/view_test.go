package lwtgateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtqueueplacement"
	"lacewingtide/core/lwtretry"
	"lacewingtide/core/lwtroutetable"
	"lacewingtide/platform"
)

func testView() *view {
	retryLimits := lwtretry.SharedBudgetLimits{Ratio: 0.2, Extra: 40, Window: 10 * time.Second}
	return newView("d0", lwtqueueplacement.Options{AvailabilityZone: "a", PrefillTimePerToken: time.Microsecond}, retryLimits)
}

func testConfig(version int64) lwtroutetable.Config {
	return lwtroutetable.New(version, lwtroutetable.RequestLimits{}, nil, []lwtroutetable.Service{
		{Name: "s", MaxConnections: 120},
	})
}

// TestOlderConfiguration guards against an older configuration that replaces a newer one.
func TestOlderConfiguration(t *testing.T) {
	view := testView()
	for _, step := range []struct {
		version int64
		applied bool
		want    int64
	}{{5, true, 5}, {3, false, 5}, {5, false, 5}, {9, true, 9}} {
		applied := view.setConfig(testConfig(step.version), platform.Row{})
		if config, known := view.configuration(); applied != step.applied || !known || config.Version != step.want {
			t.Errorf("version %d: applied %v, active version %d", step.version, applied, config.Version)
		}
	}
}

// TestReadyNeedsServers guards against a daemon that says it is ready after a message about servers that
// names none, while the store rejects it: it would reject every request.
func TestReadyNeedsServers(t *testing.T) {
	gateway := &Gateway{view: testView(), logger: log.NewNopLogger(), serverRows: map[string]serverRowState{}}
	gateway.view.setConfig(testConfig(1), platform.Row{})
	gateway.applyServerChanges(time.Now(), nil, "d1")
	if gateway.view.ready() {
		t.Error("ready after an empty message")
	}
	entry, err := os.ReadFile("../../platform/testdata/server-entry.json")
	if err != nil {
		t.Fatal(err)
	}
	change := serverChange{Row: platform.Row{Table: "servers", Key: "i", Value: entry, Version: 1}}
	gateway.applyServerChanges(time.Now(), []serverChange{change}, "d1")
	if !gateway.view.ready() {
		t.Error("not ready after a message with a server")
	}
	emptyStore := &Gateway{view: testView(), logger: log.NewNopLogger(), serverRows: map[string]serverRowState{}}
	emptyStore.view.setConfig(testConfig(1), platform.Row{})
	emptyStore.applyServerSnapshot(time.Now(), nil)
	if !emptyStore.view.ready() {
		t.Error("not ready after the store's list, which is empty")
	}
}

// TestConnectionsAreShared guards against daemons that together open more connections to a
// server than its limit.
func TestConnectionsAreShared(t *testing.T) {
	view := testView()
	view.setConfig(testConfig(1), platform.Row{})
	view.updateServers(func(serverSet lwtdiscovery.ServerSet) lwtdiscovery.ServerSet {
		return serverSet.WithEntry(lwtdiscovery.Server{ID: "i", Service: "s", Address: "10.0.0.1:1"})
	})
	for daemons, want := range map[int]int{1: 120, 4: 30, 400: minConnectionsPerServer} {
		view.setDaemons(time.Unix(0, 0), make([]string, daemons))
		if got := view.connectionLimit("10.0.0.1:1"); got != want {
			t.Errorf("%d daemons: %d connections each, want %d", daemons, got, want)
		}
	}
	if got := view.connectionLimit("10.0.0.9:1"); got != minConnectionsPerServer {
		t.Errorf("unknown address: %d connections, want the minimum", got)
	}
}

const goodSettings = `name = "d"
availability-zone = "a"
entry-address = "10.0.0.1:1"
readiness-address = "10.0.0.1:2"
lookup-address = "10.0.0.1:3"
peer-address = "10.0.0.1:4"
metrics-address = "10.0.0.1:5"
[store]
address = "10.0.0.2:1"
`

// TestSettings guards against invalid settings that are accepted, and against problems that
// are reported one at a time.
func TestSettings(t *testing.T) {
	good := goodSettings
	if _, problems := CheckSettings([]byte(good)); len(problems) > 0 {
		t.Errorf("valid settings are reported with the problems %v", problems)
	}
	bad := strings.Replace(strings.Replace(good, `"10.0.0.1:3"`, `"nowhere"`, 1), `name = "d"`, "", 1) +
		"[bounds]\ngrace-seconds = 0\n"
	if _, problems := CheckSettings([]byte(bad)); len(problems) != 3 {
		t.Errorf("settings with three faults are reported with %d problems: %v", len(problems), problems)
	}
}

// TestSpentTime guards against resubmitted requests that are treated as first submissions.
func TestSpentTime(t *testing.T) {
	timeoutTracker := newTimeoutTracker()
	if elapsed := timeoutTracker.elapsedBefore("r", 2*time.Second); elapsed != 0 {
		t.Errorf("first submission: %s elapsed before, want 0", elapsed)
	}
	if elapsed := timeoutTracker.elapsedBefore("r", 1400*time.Millisecond); elapsed != 600*time.Millisecond {
		t.Errorf("second submission: %s elapsed before, want 600ms", elapsed)
	}
	if elapsed := timeoutTracker.elapsedBefore("r", 0); elapsed != 0 {
		t.Errorf("submission without a timeout: %s elapsed before, want 0", elapsed)
	}
}

// TestReload guards against changed settings that do not take effect, and against invalid
// ones that do.
func TestReload(t *testing.T) {
	gateway := &Gateway{view: testView(), logger: log.NewNopLogger()}
	gateway.members = newMembers(gateway.settings, 1)
	gateway.orderSender = newOrderSender(gateway)
	gateway.bounds.Store(&Bounds{GraceSeconds: 8})
	path := filepath.Join(t.TempDir(), "settings.toml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(goodSettings + "[bounds]\ngrace-seconds = 5\nretry-extra = 7\n")
	gateway.reload(t.Context(), path, "interval")
	if bounds := gateway.bounds.Load(); bounds.GraceSeconds != 5 || gateway.view.retryLimits.Extra != 7 {
		t.Errorf("after a change of the settings: bounds %+v, want 5 s of grace; retry limits %+v, want 7 extra retries",
			bounds, gateway.view.retryLimits)
	}
	write(goodSettings + "[bounds]\ngrace-seconds = -1\n")
	gateway.reload(t.Context(), path, "signal")
	if grace := gateway.bounds.Load().GraceSeconds; grace != 5 {
		t.Errorf("grace period after invalid settings: %v, want 5", grace)
	}
}

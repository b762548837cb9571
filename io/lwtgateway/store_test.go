package lwtgateway

import (
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/platform"
)

// fakeStore is a store whose table of servers is empty, or that does not respond. Only Rows is used.
type fakeStore struct {
	TableStore
	err error
}

// Rows implements TableStore.
func (fakeStore *fakeStore) Rows(string, time.Duration) ([]platform.Row, platform.Position, error) {
	return nil, platform.Position{Version: 9, Era: 1}, fakeStore.err
}

// TestOnlyOutagesOfTheStoreKeepServers guards against a daemon that takes one call that failed long ago for an
// outage until its next call, though others have read the store for it in between, and goes on to send requests to
// servers that have been removed.
func TestOnlyOutagesOfTheStoreKeepServers(t *testing.T) {
	const failed = 40 * time.Millisecond
	for _, test := range []struct {
		name string
		// covered is how long before the recovery others last read the table.
		covered time.Duration
		kept    bool
	}{
		{"others have read since the failure", failed / 4, false},
		{"others have not read since the failure", 2 * failed, true},
		{"others read before the outage", time.Minute, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := &fakeStore{err: errors.New("not available")}
			gateway := &Gateway{view: testView(), logger: log.NewNopLogger(), serverRows: map[string]serverRowState{}, store: store}
			server := lwtdiscovery.Server{ID: "i", Service: "s", Address: "10.0.0.1:1"}
			gateway.view.updateServers(func(serverSet lwtdiscovery.ServerSet) lwtdiscovery.ServerSet { return serverSet.WithEntry(server) })
			tableFollower := gateway.newServersFollower()
			tableFollower.era = 1
			begun := time.Now().Add(-10 * time.Second)
			tableFollower.reachable.Store(&lwtdiscovery.ReachablePeriod{Since: begun, Until: begun, AnnouncedSince: begun})
			if tableFollower.poll() {
				t.Fatal("a call that fails counts as a response")
			}
			store.err = nil
			time.Sleep(failed)
			gateway.serversCoveredUntil.Store(time.Now().Add(-test.covered).UnixNano())
			if !tableFollower.poll() {
				t.Fatal("the store responds, but the call counts as failed")
			}
			if kept := len(gateway.view.serverSet.Servers()) > 0; kept != test.kept {
				t.Errorf("server kept: %v, want %v", kept, test.kept)
			}
		})
	}
}

package lwtdaemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtengine"
)

// TestPollsAreBoundedAndFair guards against a poll rate that grows with the number of
// engines, and against engines that are never polled because the rate is bounded.
func TestPollsAreBoundedAndFair(t *testing.T) {
	const count = 30
	engines := make([]lwtdeclaredstate.Engine, count)
	for i := range engines {
		engines[i] = lwtdeclaredstate.Engine{
			// No process listens on port 1, so the calls fail at once.
			Name: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("127.0.1.%d:1", i+1),
			Role: lwtdeclaredstate.RoleMixed, Models: []string{"m"},
		}
	}
	poller := newEnginePoller(newTestRouter(engines...), lwtengine.New(), log.NewNopLogger())
	defer poller.pool.Release()
	now, callsMade := time.Now(), 0
	for range 2 * count / maxCallsPerTick {
		poller.tick(now)
		now = now.Add(time.Millisecond)
		if after := len(poller.lastPoll) + len(poller.lastCacheRead); after > callsMade+maxCallsPerTick {
			t.Fatalf("%d calls in one tick", after-callsMade)
		}
		callsMade = len(poller.lastPoll) + len(poller.lastCacheRead)
	}
	if len(poller.lastPoll) != count || len(poller.lastCacheRead) != count {
		t.Errorf("load of %d and cache of %d engines read, want %d", len(poller.lastPoll), len(poller.lastCacheRead), count)
	}
}

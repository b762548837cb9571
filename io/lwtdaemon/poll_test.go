package lwtdaemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtengine"
)

// TestPollsAreBoundedAndFair guards against polls that grow with the number of
// engines, and against engines that are never polled because of the bound.
func TestPollsAreBoundedAndFair(t *testing.T) {
	const count = 30
	engines := make([]lwtdeclaredstate.Engine, count)
	for i := range engines {
		engines[i] = lwtdeclaredstate.Engine{
			// Nothing listens on port 1, so the calls fail at once.
			Name: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("127.0.1.%d:1", i+1),
			Role: lwtdeclaredstate.RoleMixed, Models: []string{"m"},
		}
	}
	poll := newRouterPoll(routerOf(engines...), lwtengine.New(), log.NewNopLogger())
	defer poll.pool.Release()
	now, made := time.Now(), 0
	for range 2 * count / callsPerTick {
		poll.tick(now)
		now = now.Add(time.Millisecond)
		if after := len(poll.polled) + len(poll.read); after > made+callsPerTick {
			t.Fatalf("%d calls in one tick", after-made)
		}
		made = len(poll.polled) + len(poll.read)
	}
	if len(poll.polled) != count || len(poll.read) != count {
		t.Errorf("load of %d and cache of %d engines read, want %d", len(poll.polled), len(poll.read), count)
	}
}

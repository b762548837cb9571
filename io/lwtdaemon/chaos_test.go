package lwtdaemon_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"lacewingtide/io/lwtstandin"
)

// disturb changes one fault of the world.
func (world *world) disturb(random *rand.Rand) {
	shop := fmt.Sprint("shop", 1+random.IntN(3))
	switch random.IntN(8) {
	case 0:
		world.Platform.SetFault(lwtstandin.PlatformFault{LoseAnswers: 1 + random.IntN(2)})
	case 1:
		world.Platform.SetFault(lwtstandin.PlatformFault{Down: true})
	case 2, 3:
		world.Platform.SetFault(lwtstandin.PlatformFault{})
	case 4:
		world.Proxies[shop].SetFault(lwtstandin.ProxyFault{
			AfterBytes: random.Int64N(250), Upstream: random.IntN(2) == 0, Downstream: true, Reset: true, Connections: 3,
		})
	default:
		faults := []lwtstandin.ShopFault{
			lwtstandin.ShopWorks, lwtstandin.ShopWorks, lwtstandin.ShopRefuses, lwtstandin.ShopCrashesBefore,
			lwtstandin.ShopCrashesAfter, lwtstandin.ShopClosesIdle,
		}
		world.Shops[shop].SetFault(faults[random.IntN(len(faults))])
	}
}

// buy orders once through each of the daemons in turn until the order is done,
// and returns whether it was done and whether any answer was unknown.
func (world *world) buy(order string, keyed bool, tries int) (done, unknown bool) {
	for try := range tries {
		headers := []string{"Idempotency-Key", order}
		if !keyed {
			headers = nil
		}
		status, outcome, _ := world.send([]string{"d1", "d2"}[try%2], "POST", "/services/shop/orders", order, headers...)
		done = done || status == 201
		unknown = unknown || outcome == "unknown"
	}
	return done, unknown
}

// TestOrdersUnderFaults guards, on real sockets, against orders that run twice
// and untrue outcomes, while shops, connections and the store fail at random
// and callers repeat their orders through both daemons, done or not.
func TestOrdersUnderFaults(t *testing.T) {
	t.Parallel()
	const (
		workers = 12
		orders  = 40
	)
	world := newWorld(t)
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(20261204, uint64(worker)))
			for i := range orders {
				world.disturb(random)
				order := fmt.Sprintf("w%d-%d", worker, i)
				keyed := i%4 > 0
				tries := 1
				if keyed {
					tries = 4
				}
				done, unknown := world.buy(order, keyed, tries)
				switch ran := world.OrderCount(order); {
				case ran > 1:
					t.Errorf("order %s ran %d times", order, ran)
				case done && ran == 0:
					t.Errorf("order %s was told done and did not run", order)
				case !done && !unknown && ran > 0:
					t.Errorf("order %s was told not-run and ran", order)
				}
			}
		})
	}
	group.Wait()
}

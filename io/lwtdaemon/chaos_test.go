package lwtdaemon_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"lacewingtide/io/lwtstandin"
)

// injectFault sets or clears one randomly chosen fault of the cluster.
func (cluster *cluster) injectFault(rng *rand.Rand) {
	shop := fmt.Sprint("shop", 1+rng.IntN(3))
	switch rng.IntN(8) {
	case 0:
		cluster.Platform.SetFault(lwtstandin.PlatformFault{LoseAnswers: 1 + rng.IntN(2)})
	case 1:
		cluster.Platform.SetFault(lwtstandin.PlatformFault{Down: true})
	case 2, 3:
		cluster.Platform.SetFault(lwtstandin.PlatformFault{})
	case 4:
		cluster.Proxies[shop].SetFault(lwtstandin.ProxyFault{
			AfterBytes: rng.Int64N(250), Upstream: rng.IntN(2) == 0, Downstream: true, Reset: true, Connections: 3,
		})
	default:
		faults := []lwtstandin.ShopFault{
			lwtstandin.ShopWorks, lwtstandin.ShopWorks, lwtstandin.ShopRefuses, lwtstandin.ShopCrashesBefore,
			lwtstandin.ShopCrashesAfter, lwtstandin.ShopClosesIdle,
		}
		cluster.Shops[shop].SetFault(faults[rng.IntN(len(faults))])
	}
}

// submitOrder submits an order several times, through the daemons in turn. It returns
// whether any response confirmed the order and whether any outcome was unknown.
func (cluster *cluster) submitOrder(order string, keyed bool, attempts int) (done, unknown bool) {
	for attempt := range attempts {
		headers := []string{"Idempotency-Key", order}
		if !keyed {
			headers = nil
		}
		status, outcome, _ := cluster.send([]string{"d1", "d2"}[attempt%2], "POST", "/services/shop/orders", order,
			headers...)
		done = done || status == 201
		unknown = unknown || outcome == "unknown"
	}
	return done, unknown
}

// TestOrdersUnderFaults guards against orders that run twice and against false
// outcomes. Over TCP, callers submit each order repeatedly through both daemons, even
// after success, while shops, connections and the store fail at random.
func TestOrdersUnderFaults(t *testing.T) {
	t.Parallel()
	const (
		workers = 12
		orders  = 40
	)
	cluster := newCluster(t)
	var workerGroup sync.WaitGroup
	for worker := range workers {
		workerGroup.Go(func() {
			rng := rand.New(rand.NewPCG(20261204, uint64(worker)))
			for i := range orders {
				cluster.injectFault(rng)
				order := fmt.Sprintf("w%d-%d", worker, i)
				keyed := i%4 > 0
				attempts := 1
				if keyed {
					attempts = 4
				}
				done, unknown := cluster.submitOrder(order, keyed, attempts)
				switch ran := cluster.OrderCount(order); {
				case ran > 1:
					t.Errorf("order %s ran %d times", order, ran)
				case done && ran == 0:
					t.Errorf("order %s was confirmed but did not run", order)
				case !done && !unknown && ran > 0:
					t.Errorf("order %s ran, but its outcome was not-run", order)
				}
			}
		})
	}
	workerGroup.Wait()
}

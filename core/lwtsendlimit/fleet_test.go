package lwtsendlimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lacewingtide/core/lwtsendlimit"
)

// window is the span in which the requests to a limited server are counted.
const window = 4 * time.Second

// fleet is a set of daemons that all have load for one limited server.
type fleet struct {
	names    []string
	limiters []*lwtsendlimit.Limiter
	// detectsLossAt holds when each daemon learns of the daemons that are lost at lossAt.
	detectsLossAt []time.Duration
	sends         []time.Duration
}

const (
	lossAt     = 10 * time.Second
	duration   = 30 * time.Second
	simStep    = 20 * time.Millisecond
	namedAt    = time.Second
	checkAfter = namedAt + window
	// maxSends bounds the requests of a fleet that no limit holds.
	maxSends = 1 << 17
)

func newFleet(random *rand.Rand, daemons int) *fleet {
	fleet := &fleet{}
	for i := range daemons {
		fleet.names = append(fleet.names, fmt.Sprint("d", i))
	}
	for _, name := range fleet.names {
		limiter := lwtsendlimit.New(name)
		limiter.SetDaemons(start, fleet.names)
		fleet.limiters = append(fleet.limiters, limiter)
		fleet.detectsLossAt = append(fleet.detectsLossAt, lossAt+time.Duration(random.Int64N(int64(2*time.Second))))
	}
	return fleet
}

// run lets every daemon send as often as the limiter allows from the moment at which the limit
// is named. A fifth of the daemons is lost at lossAt.
func (fleet *fleet) run(perSecond float64) {
	lost := len(fleet.names) / 5
	for offset := namedAt; offset < duration; offset += simStep {
		for i, limiter := range fleet.limiters {
			if i < lost && offset >= lossAt {
				continue
			}
			if offset >= fleet.detectsLossAt[i] {
				limiter.SetDaemons(at(offset), fleet.names[lost:])
			}
			// Each daemon's or another one's response names the limit.
			limiter.ObserveResponse(at(offset), at(offset), server("s"), perSecond, true)
			fleet.sendAll(offset, limiter)
		}
	}
}

// sendAll sends as often as a limiter allows.
func (fleet *fleet) sendAll(offset time.Duration, limiter *lwtsendlimit.Limiter) {
	for limiter.Take(at(offset), server("s")) && len(fleet.sends) < maxSends {
		fleet.sends = append(fleet.sends, offset)
	}
}

// mostInWindow returns the most requests of any window that ends after checkAfter, and the number
// of requests after checkAfter.
func (fleet *fleet) mostInWindow() (most, total int) {
	for last, send := range fleet.sends {
		first, _ := slices.BinarySearch(fleet.sends, send-window)
		if send > checkAfter {
			total++
			most = max(most, last-first+1)
		}
	}
	return most, total
}

// TestLimitHoldsInFleets guards against limits that daemons keep alone but exceed together, or do not use.
func TestLimitHoldsInFleets(t *testing.T) {
	for _, daemons := range []int{1, 4, 31, 117, 370} {
		for _, perSecond := range []float64{0, 0.5, 1.9, 6.7, 14.5, 200} {
			random := rand.New(rand.NewPCG(uint64(daemons), 1))
			fleet := newFleet(random, daemons)
			fleet.run(perSecond)
			most, total := fleet.mostInWindow()
			if allowed := int(1.5*perSecond*window.Seconds()) + 5; most > allowed {
				t.Errorf("%d daemons, %g per second: %d requests in %s, want at most %d", daemons, perSecond, most, window, allowed)
			}
			if want := 0.8 * perSecond * (duration - checkAfter).Seconds(); float64(total) < want {
				t.Errorf("%d daemons, %g per second: %d requests, want at least %.0f", daemons, perSecond, total, want)
			}
		}
	}
}

// TestLimitHoldsWhileMembersChange guards against requests that each change of the members adds.
func TestLimitHoldsWhileMembersChange(t *testing.T) {
	for _, daemons := range []int{4, 31, 117} {
		const perSecond = 6.7
		fleet := newFleet(rand.New(rand.NewPCG(uint64(daemons), 1)), daemons)
		for offset, step := namedAt, 0; offset < duration; offset, step = offset+simStep, step+1 {
			// Every 0.1 s another daemon is missing for all others. It goes on sending.
			missing := step / 5 % daemons
			for i, limiter := range fleet.limiters {
				if i != missing {
					names := slices.Clone(fleet.names)
					limiter.SetDaemons(at(offset), slices.Delete(names, missing, missing+1))
				}
				limiter.ObserveResponse(at(offset), at(offset), server("s"), perSecond, true)
				fleet.sendAll(offset, limiter)
			}
		}
		if most, _ := fleet.mostInWindow(); most > int(1.5*perSecond*window.Seconds())+5 {
			t.Errorf("%d daemons: %d requests in %s, want at most %d",
				daemons, most, window, int(1.5*perSecond*window.Seconds())+5)
		}
	}
}

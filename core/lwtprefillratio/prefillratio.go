// Package lwtprefillratio decides which engines prefill prompts and which generate tokens.
//
// The load it answers: prompts of thousands of tokens with answers of a few,
// beside chats with short prompts and answers of thousands, in a mix that turns
// every few seconds. Prefill binds, so most engines prefill. A change takes an
// engine away for longer than the mix lasts, so the stages do not follow the
// mix: the planner gives each service its share at the start and makes good for
// engines that come and go.
package lwtprefillratio

import (
	"math"
	"slices"
	"strings"
	"time"

	"lacewingtide/core/lwtdiscovery"
)

// Bounds of the planner.
const (
	// orderTimeout is how long an order without an effect stays pending. An
	// order whose answer was lost may be carried out several seconds later.
	orderTimeout = 15 * time.Second
	// settleTime is how long an engine must be listed before it gets an order,
	// so that a roster that is still being read causes none.
	settleTime = 1500 * time.Millisecond
	// minDwell is the least time between two changes of one engine.
	minDwell = 5 * time.Second
	// maxChanging is the largest share of the engines that change at once while
	// they serve.
	maxChanging = 0.2
	// spareDecode is by how many the engines that generate may exceed their share
	// while they serve: engines that are gone may come back.
	spareDecode = 1
	// minDecode is the least number of engines that generate: one may fail.
	minDecode = 2
	// slotsForEach is the number of slots that generate for each engine of the fleet:
	// what streams need at the start of a shift towards them. Engines with more slots
	// carry more streams, and fewer of them have to generate.
	slotsForEach = 14
	// maxDecodeShare is the largest share of engines that generate. Beyond it prompts
	// wait for longer than streams gain.
	maxDecodeShare = 0.34
)

// StageChange changes the stage of one engine.
type StageChange struct {
	Server lwtdiscovery.Server
	Stage  lwtdiscovery.Stage
}

// Planner remembers the orders that were given.
type Planner struct {
	seen map[string]time.Time
	// pending holds the orders that have shown no effect yet.
	pending map[string]pending
	// changed holds when an engine last got an order.
	changed map[string]time.Time
}

type pending struct {
	since time.Time
	stage lwtdiscovery.Stage
}

// New returns a planner that has given no order.
func New() *Planner {
	return &Planner{seen: map[string]time.Time{}, pending: map[string]pending{}, changed: map[string]time.Time{}}
}

// Plan returns the orders to give to the engines of one service now. Busy says
// that they serve requests.
func (planner *Planner) Plan(now time.Time, servers []lwtdiscovery.Server, busy bool) []StageChange {
	planner.observe(now, servers)
	engines, all := planner.settled(now, servers)
	if len(engines) < minDecode+1 || len(engines) < all {
		return nil
	}
	return planner.orders(now, engines, wanted(engines), busy)
}

// RecordSent notes that an order was sent.
func (planner *Planner) RecordSent(now time.Time, order StageChange) {
	planner.pending[order.Server.ID] = pending{since: now, stage: order.Stage}
	planner.changed[order.Server.ID] = now
}

// EnginesChangingStage returns the engines whose change of stage is not complete.
func (planner *Planner) EnginesChangingStage() []string {
	ids := make([]string, 0, len(planner.pending))
	for id := range planner.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (planner *Planner) observe(now time.Time, servers []lwtdiscovery.Server) {
	listed := map[string]bool{}
	for _, server := range servers {
		listed[server.ID] = true
		if _, known := planner.seen[server.ID]; !known {
			planner.seen[server.ID] = now
		}
		order, waiting := planner.pending[server.ID]
		if waiting && (server.Stage == order.stage || now.Sub(order.since) > orderTimeout) {
			delete(planner.pending, server.ID)
		}
	}
	for id := range planner.seen {
		if !listed[id] {
			delete(planner.seen, id)
			delete(planner.pending, id)
			delete(planner.changed, id)
		}
	}
}

// settled returns the engines that are not new, and the number of all.
func (planner *Planner) settled(now time.Time, servers []lwtdiscovery.Server) (engines []lwtdiscovery.Server, all int) {
	for _, server := range servers {
		if server.Draining || server.Stage == lwtdiscovery.NoStage {
			continue
		}
		all++
		if now.Sub(planner.seen[server.ID]) >= settleTime {
			engines = append(engines, server)
		}
	}
	return engines, all
}

// stage returns the stage that an engine has or is changing to.
func (planner *Planner) stage(engine lwtdiscovery.Server) lwtdiscovery.Stage {
	if order, waiting := planner.pending[engine.ID]; waiting {
		return order.stage
	}
	return engine.Stage
}

// wanted returns how many engines should generate.
func wanted(engines []lwtdiscovery.Server) int {
	slots, count := 0, float64(len(engines))
	for _, engine := range engines {
		slots += engine.Slots
	}
	share := maxDecodeShare
	if slots > 0 {
		share = min(slotsForEach*count/float64(slots), maxDecodeShare)
	}
	return min(max(int(math.Round(share*count)), minDecode), len(engines)-1)
}

// orders changes as many engines as the wanted number asks for, those first
// whose availability zone has most of the stage that they leave.
func (planner *Planner) orders(now time.Time, engines []lwtdiscovery.Server, wanted int, busy bool) []StageChange {
	var orders []StageChange
	changing := len(planner.pending)
	for changing < max(int(maxChanging*float64(len(engines))), 1) || !busy {
		from, to := lwtdiscovery.Prefill, lwtdiscovery.Decode
		difference := wanted - planner.count(engines, orders, lwtdiscovery.Decode)
		if busy && difference >= -spareDecode && difference < 0 {
			return orders
		}
		if difference < 0 {
			from, to = to, from
		}
		engine, found := planner.pick(now, engines, orders, from)
		if difference == 0 || !found {
			return orders
		}
		orders = append(orders, StageChange{Server: engine, Stage: to})
		changing++
	}
	return orders
}

func (planner *Planner) count(engines []lwtdiscovery.Server, orders []StageChange, stage lwtdiscovery.Stage) int {
	count := 0
	for _, engine := range engines {
		if planner.stageAfter(engine, orders) == stage {
			count++
		}
	}
	return count
}

func (planner *Planner) stageAfter(engine lwtdiscovery.Server, orders []StageChange) lwtdiscovery.Stage {
	for _, order := range orders {
		if order.Server.ID == engine.ID {
			return order.Stage
		}
	}
	return planner.stage(engine)
}

// pick chooses the engine that leaves a stage.
func (planner *Planner) pick(now time.Time, engines []lwtdiscovery.Server, orders []StageChange, from lwtdiscovery.Stage) (lwtdiscovery.Server, bool) {
	zones := map[string]int{}
	var candidates []lwtdiscovery.Server
	for _, engine := range engines {
		if planner.stageAfter(engine, orders) != from {
			continue
		}
		zones[engine.AvailabilityZone]++
		_, waiting := planner.pending[engine.ID]
		if !waiting && engine.Stage == from && now.Sub(planner.changed[engine.ID]) >= minDwell {
			candidates = append(candidates, engine)
		}
	}
	if len(candidates) == 0 {
		return lwtdiscovery.Server{}, false
	}
	return slices.MinFunc(candidates, func(a, b lwtdiscovery.Server) int {
		if most := zones[b.AvailabilityZone] - zones[a.AvailabilityZone]; most != 0 {
			return most
		}
		return strings.Compare(a.ID, b.ID)
	}), true
}

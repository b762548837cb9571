package lwtqueueplacement_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtqueueplacement"
	"lacewingtide/core/lwtroutetable"
)

var (
	start      = time.Unix(1000, 0)
	engineSpec = lwtroutetable.EngineSpec{Slots: 32, KVCacheTokens: 232000}
)

func engineServers(prefill, decode int) []lwtdiscovery.Server {
	var servers []lwtdiscovery.Server
	add := func(stage lwtdiscovery.Stage, count int) {
		for i := range count {
			servers = append(servers, lwtdiscovery.Server{
				ID: fmt.Sprintf("%s-%d", stage, i), AvailabilityZone: fmt.Sprint("z", i%3), Stage: stage, StartTime: start,
			})
		}
	}
	add(lwtdiscovery.Prefill, prefill)
	add(lwtdiscovery.Decode, decode)
	return servers
}

func newEnginePool(prefill, decode int) *lwtqueueplacement.EnginePool {
	pool := lwtqueueplacement.NewEnginePool(lwtqueueplacement.Options{
		AvailabilityZone: "z0", PrefillTimePerToken: 3 * time.Microsecond,
	})
	pool.SetServers(engineSpec, engineServers(prefill, decode))
	return pool
}

// longPrompt returns a request with a prompt of 9,000 tokens, 6,000 of them in a shared prefix.
func longPrompt(segment int) lwtroutetable.Request {
	return lwtroutetable.Request{
		PromptTokens: 9000, OutputTokens: 2,
		Segments: []lwtroutetable.PromptSegment{
			{ID: "root", Tokens: 2500}, {ID: fmt.Sprint("part", segment), Tokens: 3500}, {ID: "own", Tokens: 3000},
		},
	}
}

func placementRequest(request lwtroutetable.Request) lwtqueueplacement.PlacementRequest {
	return lwtqueueplacement.PlacementRequest{
		Request: request, TimeToObjective: 150 * time.Millisecond, TimeToDeadline: 2 * time.Second,
	}
}

// TestSamePartSameEngine guards against prompts with the same prefix being prefilled on
// engines that have not cached it, and against daemons that choose different engines.
func TestSamePartSameEngine(t *testing.T) {
	first, second := newEnginePool(8, 4), newEnginePool(8, 4)
	for prefix := range 50 {
		a, _ := first.Place(start, placementRequest(longPrompt(prefix)))
		b, _ := second.Place(start, placementRequest(longPrompt(prefix)))
		if a.Prefill.ID == "" || a.Prefill.ID != b.Prefill.ID || !a.PrefixCached {
			t.Fatalf("prefix %d: engines %q and %q, cached %v", prefix, a.Prefill.ID, b.Prefill.ID, a.PrefixCached)
		}
	}
}

// TestLostEngineMovesItsPartsOnly guards against the loss of one engine moving the prefixes of
// the others, which would have to be prefilled again.
func TestLostEngineMovesItsPartsOnly(t *testing.T) {
	before, after := newEnginePool(8, 4), newEnginePool(7, 4)
	for prefix := range 200 {
		a, _ := before.Place(start, placementRequest(longPrompt(prefix)))
		b, _ := after.Place(start, placementRequest(longPrompt(prefix)))
		if a.Prefill.ID != "prefill-7" && a.Prefill.ID != b.Prefill.ID {
			t.Errorf("prefix %d moved from %s to %s, but only prefill-7 was lost", prefix, a.Prefill.ID, b.Prefill.ID)
		}
	}
}

// TestShortPromptsRunDirectly guards against short prompts being sent to a prefill engine,
// where the extra hop takes longer than it saves.
func TestShortPromptsRunDirectly(t *testing.T) {
	placement, rejection := newEnginePool(8, 4).
		Place(start, placementRequest(lwtroutetable.Request{PromptTokens: 220, OutputTokens: 4000}))
	if rejection != nil || placement.Prefill.ID != "" || placement.Decode.Stage != lwtdiscovery.Decode {
		t.Errorf("placement of a short prompt: %+v, rejection %v", placement, rejection)
	}
}

// TestNoDecodeEngine guards against requests being queued although no engine can decode them.
func TestNoDecodeEngine(t *testing.T) {
	_, rejection := newEnginePool(3, 0).Place(start, placementRequest(longPrompt(1)))
	if rejection == nil || rejection.RetryAfter <= 0 {
		t.Errorf("rejection without a decode engine: %+v", rejection)
	}
}

// TestFailedEngineIsAvoided guards against an engine that receives requests right after it
// failed, and against one that is avoided for ever.
func TestFailedEngineIsAvoided(t *testing.T) {
	pool := newEnginePool(8, 4)
	first, _ := pool.Place(start, placementRequest(longPrompt(1)))
	pool.RecordFailure(start, first.Prefill.ID)
	if second, _ := pool.Place(start, placementRequest(longPrompt(1))); second.Prefill.ID == first.Prefill.ID {
		t.Error("an engine that failed receives the next prompt")
	}
	if chosen, _ := pool.Place(start.Add(time.Minute),
		placementRequest(longPrompt(1))); chosen.Prefill.ID != first.Prefill.ID {
		t.Error("an engine that failed once is avoided for ever")
	}
}

// TestRestartedEngineIsForgotten guards against counting load on an engine that has restarted
// and lost it.
func TestRestartedEngineIsForgotten(t *testing.T) {
	pool := newEnginePool(1, 1)
	placement, _ := pool.Place(start, placementRequest(longPrompt(1)))
	pool.PrefillStarted(start, longPrompt(1), placement)
	servers := engineServers(1, 1)
	servers[0].StartTime = start.Add(time.Second)
	pool.SetServers(engineSpec, servers)
	if again, _ := pool.Place(start, placementRequest(longPrompt(1))); again.QueueTime != 0 {
		t.Errorf("a restarted engine has a queue time of %s, want 0", again.QueueTime)
	}
}

// TestPeersCount guards against daemons that ignore each other's load and together overload an
// engine, and against the load of a terminated daemon being counted.
func TestPeersCount(t *testing.T) {
	pool := newEnginePool(1, 1)
	pool.ApplyReport(start, "other", lwtqueueplacement.LoadReport{
		Full: true, Loads: map[string]lwtqueueplacement.Load{"prefill-0": {PrefillTime: 80 * time.Millisecond}},
	})
	if placement, _ := pool.Place(start, placementRequest(longPrompt(1))); placement.QueueTime != 80*time.Millisecond {
		t.Errorf("queue time %s, want the 80ms that another daemon reported", placement.QueueTime)
	}
	if placement, _ := pool.Place(start.Add(time.Minute), placementRequest(longPrompt(1))); placement.QueueTime != 0 {
		t.Errorf("queue time %s from a daemon that has not reported for a minute, want 0", placement.QueueTime)
	}
}

// simPrefillTimePerToken is the time in which the simulated engines prefill a token.
const simPrefillTimePerToken = 3200 * time.Nanosecond

// overloadSim simulates requests at a rate above the prefill capacity and counts the results.
// Each engine prefills one prompt at a time and caches all prefixes.
type overloadSim struct {
	pool *lwtqueueplacement.EnginePool
	// cachedPrefixes is the set of engine id and prefix key pairs that are cached.
	cachedPrefixes map[string]bool
	onTime         int
	late           int
	rejected       int
	pending        []pendingPrefill
}

type pendingPrefill struct {
	endsAt    time.Time
	placement lwtqueueplacement.Placement
	request   lwtroutetable.Request
	arrivedAt time.Time
}

func (sim *overloadSim) run(rate int, duration time.Duration, rejectLate bool) {
	random := rand.New(rand.NewPCG(1, 2))
	engineFreeAt := map[string]time.Time{}
	interval := time.Second / time.Duration(rate)
	for now := start; now.Before(start.Add(duration)); now = now.Add(interval) {
		sim.finishPrefills(now)
		request := longPrompt(random.IntN(100))
		toPlace := placementRequest(request)
		if !rejectLate {
			// Reject only requests that cannot be served before their deadline.
			toPlace.TimeToObjective = toPlace.TimeToDeadline
		}
		placement, rejection := sim.pool.Place(now, toPlace)
		if rejection != nil {
			sim.rejected++
			continue
		}
		sim.pool.PrefillStarted(now, request, placement)
		id := placement.PrefillEngine().ID
		begin := now
		if engineFreeAt[id].After(now) {
			begin = engineFreeAt[id]
		}
		engineFreeAt[id] = begin.Add(sim.prefillTime(id, request))
		sim.pending = append(sim.pending, pendingPrefill{
			endsAt: engineFreeAt[id], placement: placement, request: request, arrivedAt: now,
		})
	}
	sim.finishPrefills(start.Add(duration + time.Minute))
}

// prefillTime returns how long an engine prefills a prompt. A shared prefix is prefilled once
// per engine.
func (sim *overloadSim) prefillTime(id string, request lwtroutetable.Request) time.Duration {
	tokens := request.PromptTokens
	if key := id + request.SharedPrefixKey(); sim.cachedPrefixes[key] {
		tokens -= request.SharedPrefixTokens()
	} else {
		sim.cachedPrefixes[key] = true
	}
	prefillTime := time.Duration(tokens) * simPrefillTimePerToken
	if strings.HasPrefix(id, "decode") {
		prefillTime *= 2
	}
	return prefillTime
}

func (sim *overloadSim) finishPrefills(now time.Time) {
	var remaining []pendingPrefill
	for _, prefill := range sim.pending {
		if prefill.endsAt.After(now) {
			remaining = append(remaining, prefill)
			continue
		}
		sim.pool.PrefillEnded(prefill.request, prefill.placement, prefill.endsAt.Sub(prefill.arrivedAt))
		if prefill.endsAt.Sub(prefill.arrivedAt) <= 125*time.Millisecond {
			sim.onTime++
		} else {
			sim.late++
		}
	}
	sim.pending = remaining
}

// TestOverload guards against queues that make every response late at twice the prefill
// capacity. Rejecting early must serve at least twice as many requests on time as queueing
// until the deadline.
func TestOverload(t *testing.T) {
	const engines, duration = 8, 3 * time.Second
	capacity := engines * int(time.Second/(3000*simPrefillTimePerToken))
	rate := 2 * capacity
	rejecting := &overloadSim{pool: newEnginePool(engines, 4), cachedPrefixes: map[string]bool{}}
	rejecting.run(rate, duration, true)
	queueing := &overloadSim{pool: newEnginePool(engines, 4), cachedPrefixes: map[string]bool{}}
	queueing.run(rate, duration, false)
	t.Logf("rejecting early: %+v on time, %d late, %d rejected", rejecting.onTime, rejecting.late, rejecting.rejected)
	t.Logf("queueing: %+v on time, %d late, %d rejected", queueing.onTime, queueing.late, queueing.rejected)
	if rejecting.onTime < 2*queueing.onTime {
		t.Errorf("rejecting early serves %d on time, queueing %d", rejecting.onTime, queueing.onTime)
	}
	// At least three quarters of the prefill capacity must be on time.
	if possible := capacity * int(duration/time.Second); rejecting.onTime < possible*3/4 {
		t.Errorf("%d requests on time, want at least 3/4 of the prefill capacity of %d", rejecting.onTime, possible)
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, count := range []int{12, 48, 600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			pool := newEnginePool(count*2/3, count/3)
			for i := range b.N {
				pool.Place(start, placementRequest(longPrompt(i%500)))
			}
		})
	}
}

// TestRefusalTellsEstimates guards against rejections without the estimates that caused them,
// which the log needs.
func TestRefusalTellsEstimates(t *testing.T) {
	pool := newEnginePool(1, 1)
	pool.ApplyReport(start, "other", lwtqueueplacement.LoadReport{
		Full:  true,
		Loads: map[string]lwtqueueplacement.Load{"prefill-0": {PrefillTime: time.Second}, "decode-0": {Running: 20}},
	})
	placement, rejection := pool.Place(start, placementRequest(longPrompt(1)))
	if rejection == nil || placement.Prefill.ID != "prefill-0" || placement.QueueTime != time.Second ||
		placement.PrefillTime <= 0 {
		t.Errorf("rejection %+v with placement %+v", rejection, placement)
	}
}

// TestFullDecodeEngines guards against prefilling prompts that no engine can decode.
func TestFullDecodeEngines(t *testing.T) {
	pool := newEnginePool(8, 2)
	for range 80 {
		pool.DecodeStarted("decode-0")
		pool.DecodeStarted("decode-1")
	}
	_, rejection := pool.Place(start, placementRequest(longPrompt(1)))
	if rejection == nil || rejection.Reason != "decode-engines-full" || rejection.RetryAfter <= 0 {
		t.Errorf("rejection while all decode engines are full: %+v", rejection)
	}
}

// TestHolderIsKept guards against prefilling a prompt again although an engine holds its KV
// cache.
func TestHolderIsKept(t *testing.T) {
	request := placementRequest(longPrompt(1))
	request.KVCacheHolder = lwtdiscovery.Server{ID: "prefill-3", AvailabilityZone: "z0"}
	placement, rejection := newEnginePool(8, 4).Place(start, request)
	if rejection != nil || placement.Prefill.ID != "prefill-3" || placement.Decode.Stage != lwtdiscovery.Decode ||
		placement.PrefillTime != 0 {
		t.Errorf("placement %+v, rejection %+v", placement, rejection)
	}
}

// TestSpillBesideFewRuns guards against rejecting prompts while decode engines have capacity
// to prefill them, and against prefills that delay the tokens of many chats.
func TestSpillBesideFewRuns(t *testing.T) {
	for _, test := range []struct {
		running   int
		overflows bool
	}{{0, true}, {5, true}, {6, false}} {
		pool := newEnginePool(1, 1)
		pool.ApplyReport(start, "other", lwtqueueplacement.LoadReport{
			Full: true, Loads: map[string]lwtqueueplacement.Load{
				"prefill-0": {PrefillTime: time.Second}, "decode-0": {Running: test.running},
			},
		})
		placement, rejection := pool.Place(start, placementRequest(longPrompt(1)))
		if (rejection == nil) != test.overflows {
			t.Fatalf("%d running requests: rejection %+v", test.running, rejection)
		}
		if rejection != nil {
			continue
		}
		if !placement.PrefillOverflow || placement.Decode.ID != "decode-0" || placement.Prefill.ID != "" {
			t.Errorf("%d running requests: placement %+v", test.running, placement)
		}
		pool.PrefillStarted(start, longPrompt(1), placement)
		if _, rejection := pool.Place(start, placementRequest(longPrompt(2))); rejection == nil {
			t.Errorf("%d running requests: a second prompt is placed on a decode engine that prefills one", test.running)
		}
	}
}

// TestSpillServesMore guards against decode engines with few chats not helping out at twice the
// capacity of the prefill engines: together they must serve more requests on time than the
// prefill engines alone.
func TestSpillServesMore(t *testing.T) {
	const duration = 3 * time.Second
	rate := 2 * 8 * int(time.Second/(3000*simPrefillTimePerToken))
	onTime := map[int]int{}
	for _, chats := range []int{4, 20} {
		sim := &overloadSim{pool: newEnginePool(8, 4), cachedPrefixes: map[string]bool{}}
		for engine := range 4 {
			for range chats {
				sim.pool.DecodeStarted(fmt.Sprint("decode-", engine))
			}
		}
		sim.run(rate, duration, true)
		onTime[chats] = sim.onTime
	}
	t.Logf("on time with 4 and 20 chats on each decode engine: %d, %d", onTime[4], onTime[20])
	// Four decode engines at half the speed add at most a quarter to eight prefill engines.
	if float64(onTime[4]) < 1.1*float64(onTime[20]) {
		t.Errorf("%d requests on time while decode engines have few chats, %d while they have many", onTime[4], onTime[20])
	}
}

// TestRunIsChosenAfterPrefill guards against sending a request to a decode engine that filled
// up during the prefill.
func TestRunIsChosenAfterPrefill(t *testing.T) {
	pool := newEnginePool(2, 2)
	request := placementRequest(longPrompt(1))
	placement, _ := pool.Place(start, request)
	for range 20 {
		pool.DecodeStarted(placement.Decode.ID)
	}
	chosen := pool.ChooseDecode(start, request, placement)
	if chosen.Decode.ID == placement.Decode.ID || chosen.Prefill.ID != placement.Prefill.ID {
		t.Errorf("decode engine %s before the prefill, %s after it had 20 more requests",
			placement.Decode.ID, chosen.Decode.ID)
	}
	request.Excluded = map[string]bool{"decode-0": true, "decode-1": true}
	if none := pool.ChooseDecode(start, request, placement); none.Decode.ID != placement.Decode.ID {
		t.Errorf("decode engine %s with all engines excluded, want %s as before", none.Decode.ID, placement.Decode.ID)
	}
}

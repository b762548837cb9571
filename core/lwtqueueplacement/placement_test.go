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
	start = time.Unix(1000, 0)
	kind  = lwtroutetable.EngineSpec{Slots: 32, KVCacheTokens: 232000}
)

func engines(prefill, decode int) []lwtdiscovery.Server {
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

func model(prefill, decode int) *lwtqueueplacement.EnginePool {
	model := lwtqueueplacement.NewEnginePool(lwtqueueplacement.Options{AvailabilityZone: "z0", PrefillTimePerToken: 3 * time.Microsecond})
	model.SetServers(kind, engines(prefill, decode))
	return model
}

// long is a prompt of 9,000 tokens of which 6,000 are shared.
func long(part int) lwtroutetable.Request {
	return lwtroutetable.Request{
		PromptTokens: 9000, OutputTokens: 2,
		Segments: []lwtroutetable.PromptSegment{{ID: "root", Tokens: 2500}, {ID: fmt.Sprint("part", part), Tokens: 3500}, {ID: "own", Tokens: 3000}},
	}
}

func demand(request lwtroutetable.Request) lwtqueueplacement.PlacementRequest {
	return lwtqueueplacement.PlacementRequest{Request: request, TimeToObjective: 150 * time.Millisecond, TimeToDeadline: 2 * time.Second}
}

// TestSamePartSameEngine guards against prompts with the same parts being prefilled
// on engines that have not got them, and against daemons that disagree.
func TestSamePartSameEngine(t *testing.T) {
	first, second := model(8, 4), model(8, 4)
	for part := range 50 {
		a, _ := first.Place(start, demand(long(part)))
		b, _ := second.Place(start, demand(long(part)))
		if a.Prefill.ID == "" || a.Prefill.ID != b.Prefill.ID || !a.PrefixCached {
			t.Fatalf("part %d: %q and %q, cached %v", part, a.Prefill.ID, b.Prefill.ID, a.PrefixCached)
		}
	}
}

// TestLostEngineMovesItsPartsOnly guards against a lost engine that makes all
// others read their parts again.
func TestLostEngineMovesItsPartsOnly(t *testing.T) {
	before, after := model(8, 4), model(7, 4)
	for part := range 200 {
		a, _ := before.Place(start, demand(long(part)))
		b, _ := after.Place(start, demand(long(part)))
		if a.Prefill.ID != "prefill-7" && a.Prefill.ID != b.Prefill.ID {
			t.Errorf("part %d moved from %s to %s", part, a.Prefill.ID, b.Prefill.ID)
		}
	}
}

// TestShortPromptsRunDirectly guards against short prompts that pay for a hop
// to a prefill engine.
func TestShortPromptsRunDirectly(t *testing.T) {
	choice, refusal := model(8, 4).Place(start, demand(lwtroutetable.Request{PromptTokens: 220, OutputTokens: 4000}))
	if refusal != nil || choice.Prefill.ID != "" || choice.Decode.Stage != lwtdiscovery.Decode {
		t.Errorf("a short prompt: %+v, %v", choice, refusal)
	}
}

// TestNoDecodeEngine guards against requests that wait although nothing can
// serve them.
func TestNoDecodeEngine(t *testing.T) {
	_, refusal := model(3, 0).Place(start, demand(long(1)))
	if refusal == nil || refusal.RetryAfter <= 0 {
		t.Errorf("refusal without a generating engine: %+v", refusal)
	}
}

// TestFailedEngineIsAvoided guards against an engine that goes on getting work
// after it failed.
func TestFailedEngineIsAvoided(t *testing.T) {
	model := model(8, 4)
	first, _ := model.Place(start, demand(long(1)))
	model.RecordFailure(start, first.Prefill.ID)
	if second, _ := model.Place(start, demand(long(1))); second.Prefill.ID == first.Prefill.ID {
		t.Error("a failed engine gets the next prompt")
	}
	if later, _ := model.Place(start.Add(time.Minute), demand(long(1))); later.Prefill.ID != first.Prefill.ID {
		t.Error("an engine that failed once is avoided for good")
	}
}

// TestRestartedEngineIsForgotten guards against work counted at an engine that
// has started again.
func TestRestartedEngineIsForgotten(t *testing.T) {
	model := model(1, 1)
	choice, _ := model.Place(start, demand(long(1)))
	model.PrefillStarted(start, long(1), choice)
	servers := engines(1, 1)
	servers[0].StartTime = start.Add(time.Second)
	model.SetServers(kind, servers)
	if again, _ := model.Place(start, demand(long(1))); again.QueueTime != 0 {
		t.Errorf("a restarted engine has %s of work", again.QueueTime)
	}
}

// TestPeersCount guards against daemons that each fill an engine alone.
func TestPeersCount(t *testing.T) {
	model := model(1, 1)
	model.ApplyReport(start, "other", lwtqueueplacement.LoadReport{
		Full: true, Loads: map[string]lwtqueueplacement.Load{"prefill-0": {PrefillTime: 80 * time.Millisecond}},
	})
	if choice, _ := model.Place(start, demand(long(1))); choice.QueueTime != 80*time.Millisecond {
		t.Errorf("waiting %s beside another daemon's 80ms", choice.QueueTime)
	}
	if choice, _ := model.Place(start.Add(time.Minute), demand(long(1))); choice.QueueTime != 0 {
		t.Errorf("a daemon that is silent for a minute still counts with %s", choice.QueueTime)
	}
}

// tokenTime is how long the played engines read a token.
const tokenTime = 3200 * time.Nanosecond

// overload plays callers who ask for more than the engines can read, and counts
// what they get. Each engine prefills one prompt after another and keeps the parts.
type overload struct {
	model *lwtqueueplacement.EnginePool
	// parts holds which engine has which part in memory.
	parts   map[string]bool
	onTime  int
	late    int
	refused int
	events  []ending
}

type ending struct {
	at      time.Time
	choice  lwtqueueplacement.Placement
	request lwtroutetable.Request
	arrived time.Time
}

func (overload *overload) play(rate int, span time.Duration, strict bool) {
	random := rand.New(rand.NewPCG(1, 2))
	free := map[string]time.Time{}
	gap := time.Second / time.Duration(rate)
	for now := start; now.Before(start.Add(span)); now = now.Add(gap) {
		overload.finish(now)
		request := long(random.IntN(100))
		want := demand(request)
		if !strict {
			// A policy that refuses only what cannot be served before its deadline.
			want.TimeToObjective = want.TimeToDeadline
		}
		choice, refusal := overload.model.Place(now, want)
		if refusal != nil {
			overload.refused++
			continue
		}
		overload.model.PrefillStarted(now, request, choice)
		id := choice.PrefillEngine().ID
		begin := now
		if free[id].After(now) {
			begin = free[id]
		}
		free[id] = begin.Add(overload.prefillTime(id, request))
		overload.events = append(overload.events, ending{at: free[id], choice: choice, request: request, arrived: now})
	}
	overload.finish(start.Add(span + time.Minute))
}

// prefillTime is how long an engine prefills a prompt: the shared parts only once.
func (overload *overload) prefillTime(id string, request lwtroutetable.Request) time.Duration {
	tokens := request.PromptTokens
	if key := id + request.SharedPrefixKey(); overload.parts[key] {
		tokens -= request.SharedPrefixTokens()
	} else {
		overload.parts[key] = true
	}
	took := time.Duration(tokens) * tokenTime
	if strings.HasPrefix(id, "decode") {
		took *= 2
	}
	return took
}

func (overload *overload) finish(now time.Time) {
	var left []ending
	for _, event := range overload.events {
		if event.at.After(now) {
			left = append(left, event)
			continue
		}
		overload.model.PrefillEnded(event.request, event.choice, event.at.Sub(event.arrived))
		if event.at.Sub(event.arrived) <= 125*time.Millisecond {
			overload.onTime++
		} else {
			overload.late++
		}
	}
	overload.events = left
}

// TestOverload guards against queues that make every answer late when callers
// ask for twice what the engines can read: refusing early serves more callers
// in time than queueing until the deadline.
func TestOverload(t *testing.T) {
	const engines, span = 8, 3 * time.Second
	capacity := engines * int(time.Second/(3000*tokenTime))
	rate := 2 * capacity
	early := &overload{model: model(engines, 4), parts: map[string]bool{}}
	early.play(rate, span, true)
	queued := &overload{model: model(engines, 4), parts: map[string]bool{}}
	queued.play(rate, span, false)
	t.Logf("refusing early: %+v in time, %d late, %d refused", early.onTime, early.late, early.refused)
	t.Logf("queueing: %+v in time, %d late, %d refused", queued.onTime, queued.late, queued.refused)
	if early.onTime < 2*queued.onTime {
		t.Errorf("refusing early serves %d in time, queueing %d", early.onTime, queued.onTime)
	}
	// Three quarters of what the engines can read come in time.
	if most := capacity * int(span/time.Second); early.onTime < most*3/4 {
		t.Errorf("%d in time of %d that the engines can read", early.onTime, most)
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, count := range []int{12, 48, 600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			model := model(count*2/3, count/3)
			for i := range b.N {
				model.Place(start, demand(long(i%500)))
			}
		})
	}
}

// TestRefusalTellsEstimates guards against a refusal whose cause is not in the log.
func TestRefusalTellsEstimates(t *testing.T) {
	model := model(1, 1)
	model.ApplyReport(start, "other", lwtqueueplacement.LoadReport{
		Full: true, Loads: map[string]lwtqueueplacement.Load{"prefill-0": {PrefillTime: time.Second}, "decode-0": {Running: 20}},
	})
	choice, refusal := model.Place(start, demand(long(1)))
	if refusal == nil || choice.Prefill.ID != "prefill-0" || choice.QueueTime != time.Second || choice.PrefillTime <= 0 {
		t.Errorf("refusal %+v with the estimates %+v", refusal, choice)
	}
}

// TestFullDecodeEngines guards against prompts that are prefilled although no engine
// can run them.
func TestFullDecodeEngines(t *testing.T) {
	model := model(8, 2)
	for range 80 {
		model.DecodeStarted("decode-0")
		model.DecodeStarted("decode-1")
	}
	_, refusal := model.Place(start, demand(long(1)))
	if refusal == nil || refusal.Reason != "decode-engines-full" || refusal.RetryAfter <= 0 {
		t.Errorf("a prompt while all slots are taken: %+v", refusal)
	}
}

// TestHolderIsKept guards against a prompt that is prefilled again although an
// engine holds its memory.
func TestHolderIsKept(t *testing.T) {
	want := demand(long(1))
	want.KVCacheHolder = lwtdiscovery.Server{ID: "prefill-3", AvailabilityZone: "z0"}
	choice, refusal := model(8, 4).Place(start, want)
	if refusal != nil || choice.Prefill.ID != "prefill-3" || choice.Decode.Stage != lwtdiscovery.Decode || choice.PrefillTime != 0 {
		t.Errorf("choice %+v, refusal %+v", choice, refusal)
	}
}

// TestSpillBesideFewRuns guards against prompts that are refused while generating
// engines have time for them, and against chats whose tokens wait for prompts.
func TestSpillBesideFewRuns(t *testing.T) {
	for _, test := range []struct {
		runs   int
		spills bool
	}{{0, true}, {5, true}, {6, false}} {
		model := model(1, 1)
		model.ApplyReport(start, "other", lwtqueueplacement.LoadReport{
			Full: true, Loads: map[string]lwtqueueplacement.Load{"prefill-0": {PrefillTime: time.Second}, "decode-0": {Running: test.runs}},
		})
		choice, refusal := model.Place(start, demand(long(1)))
		if (refusal == nil) != test.spills {
			t.Fatalf("beside %d runs: refusal %+v", test.runs, refusal)
		}
		if refusal != nil {
			continue
		}
		if !choice.PrefillOverflow || choice.Decode.ID != "decode-0" || choice.Prefill.ID != "" {
			t.Errorf("beside %d runs: %+v", test.runs, choice)
		}
		model.PrefillStarted(start, long(1), choice)
		if _, refusal := model.Place(start, demand(long(2))); refusal == nil {
			t.Errorf("a second prompt at an engine that prefills one beside %d runs", test.runs)
		}
	}
}

// TestSpillServesMore plays twice the load that prefill engines read, while the
// generating engines have a few chats each: more callers are served in time
// than by the prefill engines alone.
func TestSpillServesMore(t *testing.T) {
	const span = 3 * time.Second
	rate := 2 * 8 * int(time.Second/(3000*tokenTime))
	served := map[int]int{}
	for _, chats := range []int{4, 20} {
		played := &overload{model: model(8, 4), parts: map[string]bool{}}
		for engine := range 4 {
			for range chats {
				played.model.DecodeStarted(fmt.Sprint("decode-", engine))
			}
		}
		played.play(rate, span, true)
		served[chats] = played.onTime
	}
	t.Logf("in time beside 4 and 20 chats on each generating engine: %d, %d", served[4], served[20])
	// Four engines that read at half the speed add a quarter to eight at most.
	if float64(served[4]) < 1.1*float64(served[20]) {
		t.Errorf("%d in time with generating engines that have few chats, %d when they have many", served[4], served[20])
	}
}

// TestRunIsChosenAfterPrefill guards against a run that is sent to an engine
// which became full during the prefill.
func TestRunIsChosenAfterPrefill(t *testing.T) {
	model := model(2, 2)
	want := demand(long(1))
	choice, _ := model.Place(start, want)
	for range 20 {
		model.DecodeStarted(choice.Decode.ID)
	}
	later := model.ChooseDecode(start, want, choice)
	if later.Decode.ID == choice.Decode.ID || later.Prefill.ID != choice.Prefill.ID {
		t.Errorf("first %s, then %s with 20 more runs there", choice.Decode.ID, later.Decode.ID)
	}
	want.Excluded = map[string]bool{"decode-0": true, "decode-1": true}
	if none := model.ChooseDecode(start, want, choice); none.Decode.ID != choice.Decode.ID {
		t.Errorf("without another engine: %s, want %s", none.Decode.ID, choice.Decode.ID)
	}
}

package lwtscorerouter_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtscorerouter"
)

// naive answers from the whole history what the router answers from the state
// that it keeps, for the rule of the least work.
type naive struct {
	engines []lwtdeclaredstate.Engine
	history []happening
}

// happening is a report, a sent request or a cache event of one engine.
type happening struct {
	engine  string
	report  *lwtscorerouter.LoadReport
	sentAt  time.Time
	tokens  float64
	level   int
	streams float64
	blocks  float64
	stored  []uint64
}

type naiveEngine struct {
	role                    lwtdeclaredstate.Role
	report                  lwtscorerouter.LoadReport
	tokens                  [lwtscorerouter.NumPriorities]float64
	streams, blocks, waited float64
	cached                  map[uint64]bool
}

func (naive *naive) engine(declared lwtdeclaredstate.Engine) naiveEngine {
	engine := naiveEngine{
		role: declared.Role, report: lwtscorerouter.LoadReport{FreeBlocks: declared.MemoryBlocks}, cached: map[uint64]bool{},
	}
	for _, event := range naive.history {
		if event.engine != declared.Name {
			continue
		}
		if event.report != nil && !event.report.TakenAt.Before(engine.report.TakenAt) {
			engine.report, engine.role = *event.report, event.report.Role
		}
		for _, prefix := range event.stored {
			engine.cached[prefix] = true
		}
	}
	for _, event := range naive.history {
		if event.engine == declared.Name && event.report == nil && event.sentAt.After(engine.report.TakenAt) {
			engine.tokens[event.level] += event.tokens
			engine.streams += event.streams
			engine.blocks += event.blocks
		}
	}
	for level := range lwtscorerouter.NumPriorities {
		engine.waited += float64(engine.report.WaitingTokens[level]) + engine.tokens[level]
	}
	return engine
}

// Constants as the design and the package's documentation state them.
const (
	naiveHop, naiveDecode, naiveInterference, naivePenalty = 0.001, 0.1, 0.002, 1000
	naiveLimit                                             = 0.97 * 0.032
)

func (engine naiveEngine) decode(request lwtscorerouter.Request, prefills bool) (score, between float64) {
	rates := lwtscorerouter.DefaultCostModel()
	streams := float64(engine.report.Running+engine.report.Waiting) + engine.streams + 1
	between = rates.StepBase.Seconds() + streams*rates.StepPerStream.Seconds()
	if prefills {
		between += float64(rates.MixedChunk) / rates.PrefillRate
	}
	score = naiveDecode * float64(request.OutputTokens) * between
	if between > naiveLimit {
		score += naivePenalty * (1 + between - naiveLimit)
	}
	if float64(request.PromptTokens+request.OutputTokens)/lwtscorerouter.BlockTokens >
		float64(engine.report.FreeBlocks)-engine.blocks {
		score += naivePenalty
	}
	return score, between
}

func (engine naiveEngine) prefill(now time.Time, request lwtscorerouter.Request) (wait, work float64) {
	rates := lwtscorerouter.DefaultCostModel()
	chunk, streams := float64(rates.PrefillChunk), 0.0
	if engine.role == lwtdeclaredstate.RoleMixed {
		chunk, streams = float64(rates.MixedChunk), float64(engine.report.Running)
	}
	speed := chunk / (rates.StepBase.Seconds() + streams*rates.StepPerStream.Seconds() + chunk/rates.PrefillRate)
	tokens := 0.0
	for level := request.Class.Priority(); level < lwtscorerouter.NumPriorities; level++ {
		tokens += float64(engine.report.WaitingTokens[level]) + engine.tokens[level]
	}
	elapsed := min(1, max(0, now.Sub(engine.report.TakenAt).Seconds()))
	saved := 0.0
	for _, prefix := range request.PrefixHashes {
		if !engine.cached[prefix] {
			break
		}
		saved += lwtscorerouter.BlockTokens
	}
	saved = min(saved, max(0, float64(request.PromptTokens)-1))
	return max(0, tokens-elapsed*speed) / speed, (float64(request.PromptTokens) - saved) / speed
}

// pick returns the engines with the least score and the score.
func (naive *naive) pick(now time.Time, request lwtscorerouter.Request) (prefillAt, decodeAt string, least float64) {
	least = math.Inf(1)
	bestDecode, decodeScore := "", math.Inf(1)
	for _, declared := range naive.engines {
		engine := naive.engine(declared)
		score, _ := engine.decode(request, engine.role == lwtdeclaredstate.RoleMixed && engine.waited > 0)
		if engine.role != lwtdeclaredstate.RolePrefill && score < decodeScore {
			bestDecode, decodeScore = declared.Name, score
		}
	}
	rates := lwtscorerouter.DefaultCostModel()
	transfer := rates.TransferBase.Seconds() + float64(request.PromptTokens)/rates.TransferRate
	for _, declared := range naive.engines {
		engine := naive.engine(declared)
		if engine.role == lwtdeclaredstate.RoleDecode {
			continue
		}
		wait, work := engine.prefill(now, request)
		first := wait + work
		if declared.AvailabilityZone != request.AvailabilityZone {
			first += naiveHop
		}
		running := float64(engine.report.Running)
		if engine.role == lwtdeclaredstate.RoleMixed {
			score, _ := engine.decode(request, true)
			if total := first + naiveInterference*work*running + score; total < least {
				prefillAt, decodeAt, least = declared.Name, declared.Name, total
			}
		}
		if bestDecode == "" || bestDecode == declared.Name {
			continue
		}
		total := first + transfer + decodeScore
		if engine.role == lwtdeclaredstate.RoleMixed {
			streams := float64(engine.report.Running+engine.report.Waiting) + engine.streams
			if rates.StepBase.Seconds()+streams*rates.StepPerStream.Seconds()+
				float64(rates.MixedChunk)/rates.PrefillRate > naiveLimit {
				total += naivePenalty
			}
			total += naiveInterference * running * naive.uncached(engine, request) / rates.PrefillRate
		}
		if total < least {
			prefillAt, decodeAt, least = declared.Name, bestDecode, total
		}
	}
	return prefillAt, decodeAt, least
}

func (naive *naive) uncached(engine naiveEngine, request lwtscorerouter.Request) float64 {
	saved := 0.0
	for _, prefix := range request.PrefixHashes {
		if !engine.cached[prefix] {
			break
		}
		saved += lwtscorerouter.BlockTokens
	}
	return float64(request.PromptTokens) - min(saved, max(0, float64(request.PromptTokens)-1))
}

var origin = time.Unix(1_000_000, 0)

func drawRequest(t *rapid.T) lwtscorerouter.Request {
	request := lwtscorerouter.Request{
		Model: "m", AvailabilityZone: "z1",
		Class:        rapid.SampledFrom([]lwtdeclaredstate.Class{"chat", "match", "plan", "lookup"}).Draw(t, "class"),
		PromptTokens: rapid.IntRange(1, 9000).Draw(t, "prompt"),
		OutputTokens: rapid.IntRange(1, 2000).Draw(t, "output"),
	}
	for i := range min(3, request.PromptTokens/lwtscorerouter.BlockTokens) {
		request.PrefixHashes = append(request.PrefixHashes, uint64(10*rapid.IntRange(0, 2).Draw(t, "prefix")+i))
	}
	return request
}

func drawFleet(t *rapid.T) []lwtdeclaredstate.Engine {
	roles := []lwtdeclaredstate.Role{lwtdeclaredstate.RolePrefill, lwtdeclaredstate.RoleDecode, lwtdeclaredstate.RoleMixed}
	engines := make([]lwtdeclaredstate.Engine, rapid.IntRange(1, 8).Draw(t, "engines"))
	for i := range engines {
		engines[i] = lwtdeclaredstate.Engine{
			Name: fmt.Sprintf("e%d", i), Models: []string{"m"}, MemoryBlocks: 256,
			Role:             rapid.SampledFrom(roles).Draw(t, "role"),
			AvailabilityZone: rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone"),
		}
	}
	return engines
}

func stateOf(engines []lwtdeclaredstate.Engine) lwtdeclaredstate.State {
	return lwtdeclaredstate.New().WithChange(lwtdeclaredstate.Change{
		Revision: 1, Engines: engines, Models: []lwtdeclaredstate.Model{{Name: "m", Version: "1"}},
	})
}

func drawReport(t *rapid.T, now time.Time) lwtscorerouter.LoadReport {
	report := lwtscorerouter.LoadReport{
		TakenAt:     now.Add(-time.Duration(rapid.IntRange(0, 400).Draw(t, "age")) * time.Millisecond),
		Incarnation: 1, Running: rapid.IntRange(0, 260).Draw(t, "running"), Waiting: rapid.IntRange(0, 9).Draw(t, "waiting"),
		FreeBlocks: rapid.IntRange(0, 256).Draw(t, "free"),
	}
	for level := range report.WaitingTokens {
		report.WaitingTokens[level] = rapid.IntRange(0, 20_000).Draw(t, "tokens")
	}
	return report
}

// TestRouterAgreesWithNaive guards against sent work that is counted twice or
// forgotten, reports that are taken out of order, and errors of the score.
func TestRouterAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		naive := &naive{engines: drawFleet(t)}
		view := lwtscorerouter.NewView("d1", lwtscorerouter.DefaultCostModel()).WithState(stateOf(naive.engines))
		router := lwtscorerouter.New(view, lwtscorerouter.StrategyLeastWork, rand.New(rand.NewPCG(1, 2)))
		now := origin
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "step")) * time.Millisecond)
			declared := rapid.SampledFrom(naive.engines).Draw(t, "engine")
			if rapid.Bool().Draw(t, "report") {
				report := drawReport(t, now)
				report.Role = declared.Role
				view.WithLoadReport(declared.Name, report)
				naive.history = append(naive.history, happening{engine: declared.Name, report: &report})
				continue
			}
			request := drawRequest(t)
			choice, err := router.Pick(now, request)
			naive.compare(t, now, request, choice, err)
			if err == nil {
				view.WithSent(now, request, choice)
				naive.sent(now, request, choice)
			}
		}
	})
}

func (naive *naive) compare(t *rapid.T, now time.Time, request lwtscorerouter.Request, choice lwtscorerouter.Choice, err error) {
	prefillAt, decodeAt, least := naive.pick(now, request)
	if (err != nil) != (prefillAt == "") {
		t.Fatalf("router: %v, naive: %q", err, prefillAt)
	}
	got := choice.DecodeEngine
	if got == "" {
		got = choice.Engine
	}
	if err == nil && (choice.Engine != prefillAt || got != decodeAt) && !naive.tie(now, request, choice.Engine, least) {
		t.Fatalf("router takes %s and %s, naive %s and %s (%f)", choice.Engine, got, prefillAt, decodeAt, least)
	}
}

// tie reports whether an engine alone has the same least score.
func (naive *naive) tie(now time.Time, request lwtscorerouter.Request, engine string, least float64) bool {
	alone := *naive
	alone.engines = slices.DeleteFunc(slices.Clone(naive.engines), func(other lwtdeclaredstate.Engine) bool {
		return other.Role != lwtdeclaredstate.RoleDecode && other.Name != engine
	})
	_, _, score := alone.pick(now, request)
	return math.Abs(score-least) < 1e-9
}

func (naive *naive) sent(now time.Time, request lwtscorerouter.Request, choice lwtscorerouter.Choice) {
	blocks := float64(request.PromptTokens+request.OutputTokens) / lwtscorerouter.BlockTokens
	prefill := happening{
		engine: choice.Engine, sentAt: now, level: request.Class.Priority(), stored: request.PrefixHashes,
		tokens: float64(request.PromptTokens - choice.CachedTokens),
	}
	if !choice.Split() {
		prefill.streams, prefill.blocks = 1, blocks
	} else {
		naive.history = append(naive.history, happening{engine: choice.DecodeEngine, sentAt: now, streams: 1, blocks: blocks})
	}
	naive.history = append(naive.history, prefill)
}

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

// naive is a reference implementation of StrategyLeastWork. It recomputes each
// decision from the full history instead of keeping incremental state.
type naive struct {
	engines []lwtdeclaredstate.Engine
	history []engineEvent
}

// engineEvent is a load report or a sent request of one engine.
type engineEvent struct {
	engine         string
	report         *lwtscorerouter.LoadReport
	sentAt         time.Time
	prefillTokens  float64
	priority       int
	streams        float64
	blocks         float64
	storedPrefixes []uint64
}

type naiveEngine struct {
	role                                   lwtdeclaredstate.Role
	report                                 lwtscorerouter.LoadReport
	sentPrefillTokens                      [lwtscorerouter.NumPriorities]float64
	sentStreams, sentBlocks, waitingTokens float64
	cachedPrefixes                         map[uint64]bool
}

func (naive *naive) engine(declared lwtdeclaredstate.Engine) naiveEngine {
	engine := naiveEngine{
		role: declared.Role, report: lwtscorerouter.LoadReport{FreeBlocks: declared.MemoryBlocks},
		cachedPrefixes: map[uint64]bool{},
	}
	for _, event := range naive.history {
		if event.engine != declared.Name {
			continue
		}
		if event.report != nil && !event.report.TakenAt.Before(engine.report.TakenAt) {
			engine.report, engine.role = *event.report, event.report.Role
		}
		for _, prefix := range event.storedPrefixes {
			engine.cachedPrefixes[prefix] = true
		}
	}
	for _, event := range naive.history {
		if event.engine == declared.Name && event.report == nil && event.sentAt.After(engine.report.TakenAt) {
			engine.sentPrefillTokens[event.priority] += event.prefillTokens
			engine.sentStreams += event.streams
			engine.sentBlocks += event.blocks
		}
	}
	for level := range lwtscorerouter.NumPriorities {
		engine.waitingTokens += float64(engine.report.WaitingTokens[level]) + engine.sentPrefillTokens[level]
	}
	return engine
}

// The weights of the score, repeated here so that a changed weight fails the test.
const (
	naiveCrossZoneCost, naiveDecodeWeight, naiveInterferenceWeight, naiveCapacityPenalty = 0.001, 0.1, 0.002, 1000
	naiveMaxInterTokenLatency                                                            = 0.97 * 0.032
)

func (engine naiveEngine) decode(request lwtscorerouter.Request, prefillsToo bool) (score, interTokenLatency float64) {
	costModel := lwtscorerouter.DefaultCostModel()
	streams := float64(engine.report.Running+engine.report.Waiting) + engine.sentStreams + 1
	interTokenLatency = costModel.StepBase.Seconds() + streams*costModel.StepPerStream.Seconds()
	if prefillsToo {
		interTokenLatency += float64(costModel.MixedChunk) / costModel.PrefillRate
	}
	score = naiveDecodeWeight * float64(request.OutputTokens) * interTokenLatency
	if interTokenLatency > naiveMaxInterTokenLatency {
		score += naiveCapacityPenalty * (1 + interTokenLatency - naiveMaxInterTokenLatency)
	}
	if float64(request.PromptTokens+request.OutputTokens)/lwtscorerouter.BlockTokens >
		float64(engine.report.FreeBlocks)-engine.sentBlocks {
		score += naiveCapacityPenalty
	}
	return score, interTokenLatency
}

func (engine naiveEngine) prefill(now time.Time, request lwtscorerouter.Request) (queueTime, prefillTime float64) {
	costModel := lwtscorerouter.DefaultCostModel()
	chunk, streams := float64(costModel.PrefillChunk), 0.0
	if engine.role == lwtdeclaredstate.RoleMixed {
		chunk, streams = float64(costModel.MixedChunk), float64(engine.report.Running)
	}
	prefillRate := chunk /
		(costModel.StepBase.Seconds() + streams*costModel.StepPerStream.Seconds() + chunk/costModel.PrefillRate)
	tokens := 0.0
	for level := request.Class.Priority(); level < lwtscorerouter.NumPriorities; level++ {
		tokens += float64(engine.report.WaitingTokens[level]) + engine.sentPrefillTokens[level]
	}
	elapsed := min(1, max(0, now.Sub(engine.report.TakenAt).Seconds()))
	cachedTokens := 0.0
	for _, prefix := range request.PrefixHashes {
		if !engine.cachedPrefixes[prefix] {
			break
		}
		cachedTokens += lwtscorerouter.BlockTokens
	}
	cachedTokens = min(cachedTokens, max(0, float64(request.PromptTokens)-1))
	return max(0, tokens-elapsed*prefillRate) / prefillRate, (float64(request.PromptTokens) - cachedTokens) / prefillRate
}

// pick returns the engines with the least score, and that score.
func (naive *naive) pick(
	now time.Time, request lwtscorerouter.Request,
) (prefillEngine, decodeEngine string, leastScore float64) {
	leastScore = math.Inf(1)
	bestDecode, decodeScore := "", math.Inf(1)
	for _, declared := range naive.engines {
		engine := naive.engine(declared)
		score, _ := engine.decode(request, engine.role == lwtdeclaredstate.RoleMixed && engine.waitingTokens > 0)
		if engine.role != lwtdeclaredstate.RolePrefill && score < decodeScore {
			bestDecode, decodeScore = declared.Name, score
		}
	}
	costModel := lwtscorerouter.DefaultCostModel()
	transferTime := costModel.TransferBase.Seconds() + float64(request.PromptTokens)/costModel.TransferRate
	for _, declared := range naive.engines {
		engine := naive.engine(declared)
		if engine.role == lwtdeclaredstate.RoleDecode {
			continue
		}
		queueTime, prefillTime := engine.prefill(now, request)
		timeToFirstToken := queueTime + prefillTime
		if declared.AvailabilityZone != request.AvailabilityZone {
			timeToFirstToken += naiveCrossZoneCost
		}
		running := float64(engine.report.Running)
		if engine.role == lwtdeclaredstate.RoleMixed {
			score, _ := engine.decode(request, true)
			if total := timeToFirstToken + naiveInterferenceWeight*prefillTime*running + score; total < leastScore {
				prefillEngine, decodeEngine, leastScore = declared.Name, declared.Name, total
			}
		}
		if bestDecode == "" || bestDecode == declared.Name {
			continue
		}
		total := timeToFirstToken + transferTime + decodeScore
		if engine.role == lwtdeclaredstate.RoleMixed {
			streams := float64(engine.report.Running+engine.report.Waiting) + engine.sentStreams
			if costModel.StepBase.Seconds()+streams*costModel.StepPerStream.Seconds()+
				float64(costModel.MixedChunk)/costModel.PrefillRate > naiveMaxInterTokenLatency {
				total += naiveCapacityPenalty
			}
			total += naiveInterferenceWeight * running * naive.uncachedTokens(engine, request) / costModel.PrefillRate
		}
		if total < leastScore {
			prefillEngine, decodeEngine, leastScore = declared.Name, bestDecode, total
		}
	}
	return prefillEngine, decodeEngine, leastScore
}

func (naive *naive) uncachedTokens(engine naiveEngine, request lwtscorerouter.Request) float64 {
	cachedTokens := 0.0
	for _, prefix := range request.PrefixHashes {
		if !engine.cachedPrefixes[prefix] {
			break
		}
		cachedTokens += lwtscorerouter.BlockTokens
	}
	return float64(request.PromptTokens) - min(cachedTokens, max(0, float64(request.PromptTokens)-1))
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

func drawEngines(t *rapid.T) []lwtdeclaredstate.Engine {
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

func newState(engines []lwtdeclaredstate.Engine) lwtdeclaredstate.State {
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

// TestRouterAgreesWithNaive guards against sent requests that are counted twice
// or dropped, reports that are applied out of order, and errors in the score.
func TestRouterAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		naive := &naive{engines: drawEngines(t)}
		view := lwtscorerouter.NewView("d1", lwtscorerouter.DefaultCostModel()).WithState(newState(naive.engines))
		router := lwtscorerouter.New(view, lwtscorerouter.StrategyLeastWork, rand.New(rand.NewPCG(1, 2)))
		now := origin
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "step")) * time.Millisecond)
			declared := rapid.SampledFrom(naive.engines).Draw(t, "engine")
			if rapid.Bool().Draw(t, "report") {
				report := drawReport(t, now)
				report.Role = declared.Role
				view.WithLoadReport(declared.Name, report)
				naive.history = append(naive.history, engineEvent{engine: declared.Name, report: &report})
				continue
			}
			request := drawRequest(t)
			choice, err := router.Pick(now, request)
			naive.compare(t, now, request, choice, err)
			if err == nil {
				view.WithSent(now, request, choice)
				naive.recordSent(now, request, choice)
			}
		}
	})
}

func (naive *naive) compare(
	t *rapid.T, now time.Time, request lwtscorerouter.Request, choice lwtscorerouter.Choice, err error,
) {
	prefillEngine, decodeEngine, leastScore := naive.pick(now, request)
	if (err != nil) != (prefillEngine == "") {
		t.Fatalf("router: %v, naive: %q", err, prefillEngine)
	}
	got := choice.DecodeEngine
	if got == "" {
		got = choice.Engine
	}
	if err == nil && (choice.Engine != prefillEngine || got != decodeEngine) &&
		!naive.isTie(now, request, choice.Engine, leastScore) {
		t.Fatalf("router chose %s and %s, naive chose %s and %s (score %f)",
			choice.Engine, got, prefillEngine, decodeEngine, leastScore)
	}
}

// isTie reports whether an engine has the same least score when it is the only
// one that can run the prefill.
func (naive *naive) isTie(now time.Time, request lwtscorerouter.Request, engine string, leastScore float64) bool {
	alone := *naive
	alone.engines = slices.DeleteFunc(slices.Clone(naive.engines), func(other lwtdeclaredstate.Engine) bool {
		return other.Role != lwtdeclaredstate.RoleDecode && other.Name != engine
	})
	_, _, score := alone.pick(now, request)
	return math.Abs(score-leastScore) < 1e-9
}

func (naive *naive) recordSent(now time.Time, request lwtscorerouter.Request, choice lwtscorerouter.Choice) {
	blocks := float64(request.PromptTokens+request.OutputTokens) / lwtscorerouter.BlockTokens
	prefill := engineEvent{
		engine: choice.Engine, sentAt: now, priority: request.Class.Priority(), storedPrefixes: request.PrefixHashes,
		prefillTokens: float64(request.PromptTokens - choice.CachedTokens),
	}
	if !choice.Split() {
		prefill.streams, prefill.blocks = 1, blocks
	} else {
		naive.history = append(naive.history, engineEvent{
			engine: choice.DecodeEngine, sentAt: now, streams: 1, blocks: blocks,
		})
	}
	naive.history = append(naive.history, prefill)
}

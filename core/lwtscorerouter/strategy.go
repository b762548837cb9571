package lwtscorerouter

import "math"

// Strategy selects one engine from scored candidates.
type Strategy int

// The strategies. docs/measurements/routing.md compares them.
const (
	// StrategyTwoChoicesPrefix considers the engines with free capacity. It selects
	// the one with the longest cached prefix whose load is within the bound, or
	// else the better of two random engines.
	StrategyTwoChoicesPrefix Strategy = iota
	// StrategyLeastWork selects the engine with the best score.
	StrategyLeastWork
	// StrategyTwoChoices selects the better of two random engines.
	StrategyTwoChoices
	// StrategyPrefixBounded selects the engine with the longest cached prefix whose
	// load is within the bound, or else the engine with the best score.
	StrategyPrefixBounded
	// StrategyShortestQueue selects the engine with the fewest reported requests.
	StrategyShortestQueue
	// StrategyScoreBand selects a random engine among those whose score is close
	// to the best.
	StrategyScoreBand
)

const (
	// maxHolderLoad is the load, as a multiple of the mean, up to which an engine
	// is preferred for its cached prefix.
	maxHolderLoad = 1.25
	// holderLoadSlack is in seconds of queue time. Without it the bound would
	// exclude every engine with a cached prefix while queues are short.
	holderLoadSlack = 0.05
	// scoreBandRatio is the width of the band as a fraction of the best score;
	// minScoreBand is its least width in seconds.
	scoreBandRatio = 0.1
	minScoreBand   = 0.01
)

// Strategies returns all strategies in a fixed order.
func Strategies() []Strategy {
	return []Strategy{
		StrategyTwoChoicesPrefix, StrategyLeastWork, StrategyTwoChoices, StrategyPrefixBounded, StrategyShortestQueue,
		StrategyScoreBand,
	}
}

// String returns the strategy's name as used in reports.
func (strategy Strategy) String() string {
	return [...]string{
		"two-choices-prefix", "least-work", "two-choices", "prefix-bounded", "shortest-queue", "band",
	}[strategy]
}

// selectCandidate applies the router's strategy. It returns false when there are
// no candidates.
func (router *Router) selectCandidate(candidates []candidate) (candidate, bool) {
	if len(candidates) == 0 {
		return candidate{engineIndex: -1}, false
	}
	switch router.strategy {
	case StrategyLeastWork:
		return lowestScore(candidates), true
	case StrategyTwoChoices:
		return router.betterOfTwo(candidates), true
	case StrategyPrefixBounded:
		if holder, found := prefixHolder(candidates); found {
			return holder, true
		}
		return lowestScore(candidates), true
	case StrategyShortestQueue:
		return router.shortestQueue(candidates), true
	case StrategyScoreBand:
		return router.randomWithinBand(candidates), true
	default:
		candidates = withCapacity(candidates)
		if holder, found := prefixHolder(candidates); found {
			return holder, true
		}
		return router.betterOfTwo(candidates), true
	}
}

func lowestScore(candidates []candidate) candidate {
	chosen := candidates[0]
	for _, other := range candidates[1:] {
		if other.score < chosen.score {
			chosen = other
		}
	}
	return chosen
}

func (router *Router) betterOfTwo(candidates []candidate) candidate {
	first := router.random.IntN(len(candidates))
	if len(candidates) == 1 {
		return candidates[first]
	}
	second := router.random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if candidates[second].score < candidates[first].score {
		first = second
	}
	return candidates[first]
}

// prefixHolder returns the candidate with the longest cached prefix among those
// whose load is within the bound. The lower score breaks ties.
func prefixHolder(candidates []candidate) (candidate, bool) {
	total := 0.0
	for i := range candidates {
		total += candidates[i].load
	}
	bound := maxHolderLoad*total/float64(len(candidates)) + holderLoadSlack
	chosen, found := candidate{}, false
	for _, other := range candidates {
		if other.cachedTokens > 0 && other.load <= bound &&
			(!found || other.cachedTokens > chosen.cachedTokens ||
				other.cachedTokens == chosen.cachedTokens && other.score < chosen.score) {
			chosen, found = other, true
		}
	}
	return chosen, found
}

// shortestQueue returns the candidate with the fewest reported requests, and a
// random one of equals.
func (router *Router) shortestQueue(candidates []candidate) candidate {
	chosen, least, equals := candidates[0], math.MaxInt, 0
	for _, other := range candidates {
		report := &router.view.engines[other.engineIndex].report
		switch queue := report.Running + report.Waiting; {
		case queue < least:
			chosen, least, equals = other, queue, 1
		case queue == least:
			if equals++; router.random.IntN(equals) == 0 {
				chosen = other
			}
		}
	}
	return chosen
}

func (router *Router) randomWithinBand(candidates []candidate) candidate {
	limit := lowestScore(candidates).score
	limit += max(minScoreBand, scoreBandRatio*limit)
	chosen, within := candidates[0], 0
	for _, other := range candidates {
		if other.score > limit {
			continue
		}
		if within++; router.random.IntN(within) == 0 {
			chosen = other
		}
	}
	return chosen
}

// withCapacity returns the candidates with a free stream slot and memory for the
// request, or all candidates when there are none. It reorders the slice.
func withCapacity(candidates []candidate) []candidate {
	count := 0
	for i := range candidates {
		if candidates[i].score < capacityPenalty {
			candidates[count], candidates[i] = candidates[i], candidates[count]
			count++
		}
	}
	if count == 0 {
		return candidates
	}
	return candidates[:count]
}

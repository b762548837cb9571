package lwtscorerouter

import "math"

// Strategy says how one engine is chosen from scored candidates.
type Strategy int

// The rules that were measured against each other; see
// docs/measurements/routing.md.
const (
	// StrategyTwoChoicesPrefix takes, of the engines with room, the best prefix
	// holder within the load bound, else the better of two random engines.
	StrategyTwoChoicesPrefix Strategy = iota
	// StrategyLeastWork takes the best score of all engines.
	StrategyLeastWork
	// StrategyTwoChoices takes the better of two random engines.
	StrategyTwoChoices
	// StrategyPrefixBounded takes the best prefix holder within the load bound, else the
	// engine with the least load.
	StrategyPrefixBounded
	// StrategyShortestQueue takes the shortest queue by the last reports alone.
	StrategyShortestQueue
	// StrategyScoreBand takes a random engine of those whose score is within a band
	// of the best.
	StrategyScoreBand
)

const (
	// loadBound is the load, as a multiple of the mean, up to which a prefix
	// holder is preferred.
	loadBound = 1.25
	// loadSlack, in seconds of queue, keeps the bound from excluding every
	// holder while the queues are short.
	loadSlack = 0.05
	// bandShare and bandLeast are the width of the band: a share of the best
	// score, and at least so many seconds.
	bandShare = 0.1
	bandLeast = 0.01
)

// Strategies returns the names of the rules in a fixed order.
func Strategies() []Strategy {
	return []Strategy{StrategyTwoChoicesPrefix, StrategyLeastWork, StrategyTwoChoices, StrategyPrefixBounded, StrategyShortestQueue, StrategyScoreBand}
}

// String returns the rule's name as used in reports.
func (rule Strategy) String() string {
	return [...]string{
		"two-choices-prefix", "least-work", "two-choices", "prefix-bounded", "shortest-queue", "band",
	}[rule]
}

// choose returns the candidate that the router's rule takes; false when there
// is none.
func (router *Router) choose(candidates []candidate) (candidate, bool) {
	if len(candidates) == 0 {
		return candidate{engine: -1}, false
	}
	switch router.rule {
	case StrategyLeastWork:
		return best(candidates), true
	case StrategyTwoChoices:
		return router.two(candidates), true
	case StrategyPrefixBounded:
		if holder, found := prefixHolder(candidates); found {
			return holder, true
		}
		return best(candidates), true
	case StrategyShortestQueue:
		return router.shortest(candidates), true
	case StrategyScoreBand:
		return router.band(candidates), true
	default:
		candidates = withRoom(candidates)
		if holder, found := prefixHolder(candidates); found {
			return holder, true
		}
		return router.two(candidates), true
	}
}

func best(candidates []candidate) candidate {
	chosen := candidates[0]
	for _, other := range candidates[1:] {
		if other.score < chosen.score {
			chosen = other
		}
	}
	return chosen
}

func (router *Router) two(candidates []candidate) candidate {
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

// prefixHolder returns the candidate with the longest cached prefix whose load
// is within the bound.
func prefixHolder(candidates []candidate) (candidate, bool) {
	total := 0.0
	for i := range candidates {
		total += candidates[i].load
	}
	bound := loadBound*total/float64(len(candidates)) + loadSlack
	chosen, found := candidate{}, false
	for _, other := range candidates {
		if other.saved > 0 && other.load <= bound &&
			(!found || other.saved > chosen.saved || other.saved == chosen.saved && other.score < chosen.score) {
			chosen, found = other, true
		}
	}
	return chosen, found
}

// shortest compares the reported requests alone and takes a random one of
// equals.
func (router *Router) shortest(candidates []candidate) candidate {
	chosen, least, equals := candidates[0], math.MaxInt, 0
	for _, other := range candidates {
		report := &router.view.engines[other.engine].report
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

func (router *Router) band(candidates []candidate) candidate {
	limit := best(candidates).score
	limit += max(bandLeast, bandShare*limit)
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

// withRoom moves the candidates with room for the request to the front and
// returns them; all when none has room.
func withRoom(candidates []candidate) []candidate {
	count := 0
	for i := range candidates {
		if candidates[i].score < fullPenalty {
			candidates[count], candidates[i] = candidates[i], candidates[count]
			count++
		}
	}
	if count == 0 {
		return candidates
	}
	return candidates[:count]
}

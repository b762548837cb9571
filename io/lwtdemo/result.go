package lwtdemo

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Outcomes as the demo counts them.
const (
	outcomeWhole   = "whole"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// ClassResult counts the requests of a class.
type ClassResult struct {
	Class    lwtdeclaredstate.Class `json:"class"`
	Requests int                    `json:"requests"`
	Complete int                    `json:"whole"`
	OnTime   int                    `json:"on-time"`
	NotRun   int                    `json:"not-run"`
	Unknown  int                    `json:"unknown"`
}

// Result is what a run of the demo found.
type Result struct {
	Deployment string        `json:"deployment"`
	Classes    []ClassResult `json:"classes"`
	// RoleChanges is the number of orders that changed an engine's role.
	RoleChanges int `json:"role-changes"`
	// OrdersRunOnce is the number of shop orders that ran exactly once.
	OrdersRunOnce int `json:"orders-once"`
	// Violations lists the guarantees that did not hold; empty in a good run.
	Violations []string `json:"broken"`
}

// scores collects results from many callers.
type scores struct {
	mutex   sync.Mutex
	classes map[lwtdeclaredstate.Class]ClassResult
	// orders holds the last outcome of each shop order by its key.
	orders map[string]string
	// prompts holds the outcome of each completion by its prompt.
	prompts map[string]string
	broken  []string
}

func newScores() *scores {
	return &scores{classes: map[lwtdeclaredstate.Class]ClassResult{}, orders: map[string]string{}, prompts: map[string]string{}}
}

func (scores *scores) add(class lwtdeclaredstate.Class, outcome string, onTime bool) {
	scores.mutex.Lock()
	defer scores.mutex.Unlock()
	score := scores.classes[class]
	score.Class = class
	score.Requests++
	switch outcome {
	case outcomeWhole:
		score.Complete++
	case outcomeNotRun:
		score.NotRun++
	default:
		score.Unknown++
	}
	if onTime {
		score.OnTime++
	}
	scores.classes[class] = score
}

func (scores *scores) addOrder(key, outcome string) {
	scores.mutex.Lock()
	defer scores.mutex.Unlock()
	scores.orders[key] = outcome
}

func (scores *scores) addPrompt(prompt, outcome string) {
	scores.mutex.Lock()
	defer scores.mutex.Unlock()
	scores.prompts[prompt] = outcome
}

func (scores *scores) violate(format string, args ...any) {
	scores.mutex.Lock()
	defer scores.mutex.Unlock()
	scores.broken = append(scores.broken, fmt.Sprintf(format, args...))
}

func onTime(objectives []lwtdeclaredstate.Objective, class lwtdeclaredstate.Class, first, whole time.Duration) bool {
	for _, objective := range objectives {
		if objective.Class == class {
			return (objective.TimeToFirstToken == 0 || first <= objective.TimeToFirstToken.Std()) && whole <= objective.EndToEndLatency.Std()
		}
	}
	return true
}

// judge compares what callers were told with what engines and shops did.
func (fleet *Fleet) judge(scores *scores) Result {
	score := Result{Deployment: fleet.layout.Name}
	for _, class := range slices.Sorted(maps.Keys(scores.classes)) {
		score.Classes = append(score.Classes, scores.classes[class])
	}
	score.OrdersRunOnce = fleet.judgeOrders(scores)
	fleet.judgePrompts(scores)
	score.RoleChanges = fleet.judgeEngines(scores)
	score.Violations = scores.broken
	return score
}

func (fleet *Fleet) judgeOrders(scores *scores) int {
	ran, once := map[string]int{}, 0
	for _, shop := range fleet.shops {
		for key, count := range shop.OrderCounts() {
			ran[key] += count
		}
	}
	for key, outcome := range scores.orders {
		switch count := ran[key]; {
		case count > 1:
			scores.violate("order %s ran %d times", key, count)
		case count == 1 && outcome == outcomeNotRun:
			scores.violate("order %s ran, and its caller was told not-run", key)
		case count == 0 && outcome == outcomeWhole:
			scores.violate("order %s did not run, and its caller was told that it did", key)
		case count == 1:
			once++
		}
	}
	return once
}

func (fleet *Fleet) judgePrompts(scores *scores) {
	for prompt, outcome := range scores.prompts {
		if outcome != outcomeNotRun {
			continue
		}
		for _, engine := range fleet.engines {
			if engine.RanPrompt(prompt) {
				scores.violate("request %.40q ran, and its caller was told not-run", prompt)
			}
		}
	}
}

func (fleet *Fleet) judgeEngines(scores *scores) int {
	changes := 0
	for i, engine := range fleet.engines {
		orders, conflicts, interrupted := engine.AcceptedOrders()
		if conflicts > 0 {
			scores.violate("%s was given %d conflicting orders", engineName(i), conflicts)
		}
		if interrupted > 0 {
			scores.violate("%s had %d answers cut by planned changes", engineName(i), interrupted)
		}
		role := lwtdeclaredstate.RoleMixed
		for _, order := range orders {
			if order.Order.Role != role {
				role = order.Order.Role
				changes++
			}
		}
	}
	return changes
}

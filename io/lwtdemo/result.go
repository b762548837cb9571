package lwtdemo

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Request outcomes that the demo counts.
const (
	outcomeComplete = "whole"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
)

// ClassResult holds the request counts of a class by outcome.
type ClassResult struct {
	Class    lwtdeclaredstate.Class `json:"class"`
	Requests int                    `json:"requests"`
	Complete int                    `json:"whole"`
	OnTime   int                    `json:"on-time"`
	NotRun   int                    `json:"not-run"`
	Unknown  int                    `json:"unknown"`
}

// Result is the result of a run of the demo.
type Result struct {
	Deployment string        `json:"deployment"`
	Classes    []ClassResult `json:"classes"`
	// RoleChanges is the number of orders that changed an engine's role.
	RoleChanges int `json:"role-changes"`
	// OrdersRunOnce is the number of shop orders that ran exactly once, except those
	// whose caller got the outcome not-run.
	OrdersRunOnce int `json:"orders-once"`
	// Violations describes the guarantees that did not hold. It is empty if all held.
	Violations []string `json:"broken"`
}

// recorder collects the outcomes that callers got. It is safe for concurrent use.
type recorder struct {
	mutex   sync.Mutex
	classes map[lwtdeclaredstate.Class]ClassResult
	// orders holds the last outcome of each shop order by its key.
	orders map[string]string
	// prompts holds the outcome of each completion by its prompt.
	prompts    map[string]string
	violations []string
}

func newRecorder() *recorder {
	return &recorder{
		classes: map[lwtdeclaredstate.Class]ClassResult{}, orders: map[string]string{}, prompts: map[string]string{},
	}
}

func (recorder *recorder) recordRequest(class lwtdeclaredstate.Class, outcome string, onTime bool) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	result := recorder.classes[class]
	result.Class = class
	result.Requests++
	switch outcome {
	case outcomeComplete:
		result.Complete++
	case outcomeNotRun:
		result.NotRun++
	default:
		result.Unknown++
	}
	if onTime {
		result.OnTime++
	}
	recorder.classes[class] = result
}

func (recorder *recorder) recordOrder(key, outcome string) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.orders[key] = outcome
}

func (recorder *recorder) recordPrompt(prompt, outcome string) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.prompts[prompt] = outcome
}

func (recorder *recorder) recordViolation(format string, args ...any) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.violations = append(recorder.violations, fmt.Sprintf(format, args...))
}

// onTime reports whether a request met the objective of its class.
func onTime(
	objectives []lwtdeclaredstate.Objective, class lwtdeclaredstate.Class, timeToFirstToken, latency time.Duration,
) bool {
	for _, objective := range objectives {
		if objective.Class == class {
			return (objective.TimeToFirstToken == 0 || timeToFirstToken <= objective.TimeToFirstToken.Std()) &&
				latency <= objective.EndToEndLatency.Std()
		}
	}
	return true
}

// evaluate compares the outcomes that callers got with what the engines and shops
// ran.
func (fleet *Fleet) evaluate(recorder *recorder) Result {
	result := Result{Deployment: fleet.layout.Name}
	for _, class := range slices.Sorted(maps.Keys(recorder.classes)) {
		result.Classes = append(result.Classes, recorder.classes[class])
	}
	result.OrdersRunOnce = fleet.checkOrders(recorder)
	fleet.checkPrompts(recorder)
	result.RoleChanges = fleet.checkEngines(recorder)
	result.Violations = recorder.violations
	return result
}

// checkOrders records a violation for each order that ran more than once or against
// the outcome that its caller got. It returns the number of orders that ran once.
func (fleet *Fleet) checkOrders(recorder *recorder) int {
	runCounts, once := map[string]int{}, 0
	for _, shop := range fleet.shops {
		for key, count := range shop.OrderCounts() {
			runCounts[key] += count
		}
	}
	for key, outcome := range recorder.orders {
		switch count := runCounts[key]; {
		case count > 1:
			recorder.recordViolation("order %s ran %d times", key, count)
		case count == 1 && outcome == outcomeNotRun:
			recorder.recordViolation("order %s ran, and its caller was told not-run", key)
		case count == 0 && outcome == outcomeComplete:
			recorder.recordViolation("order %s did not run, and its caller was told that it did", key)
		case count == 1:
			once++
		}
	}
	return once
}

// checkPrompts records a violation for each completion that ran although its caller
// got the outcome not-run.
func (fleet *Fleet) checkPrompts(recorder *recorder) {
	for prompt, outcome := range recorder.prompts {
		if outcome != outcomeNotRun {
			continue
		}
		for _, engine := range fleet.engines {
			if engine.RanPrompt(prompt) {
				recorder.recordViolation("request %.40q ran, and its caller was told not-run", prompt)
			}
		}
	}
}

// checkEngines records a violation for each engine with conflicting orders or
// interrupted streams. It returns the number of role changes.
func (fleet *Fleet) checkEngines(recorder *recorder) int {
	changes := 0
	for i, engine := range fleet.engines {
		orders, conflicts, interrupted := engine.AcceptedOrders()
		if conflicts > 0 {
			recorder.recordViolation("%s was given %d conflicting orders", engineName(i), conflicts)
		}
		if interrupted > 0 {
			recorder.recordViolation("%s had %d answers cut by planned changes", engineName(i), interrupted)
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

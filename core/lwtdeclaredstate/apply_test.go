package lwtdeclaredstate_test

import (
	"fmt"
	"testing"

	"lacewingtide/core/lwtdeclaredstate"
)

// stateOf returns a state with the given number of engines and callers, in about
// the same proportion as at the target size: 600 engines and 870 callers of 1,470
// objects.
func stateOf(objects int) lwtdeclaredstate.State {
	change := lwtdeclaredstate.Change{Revision: 1, Models: []lwtdeclaredstate.Model{{Name: "m"}}}
	for i := range objects {
		if i%5 < 2 {
			change.Engines = append(change.Engines, lwtdeclaredstate.Engine{Name: fmt.Sprintf("e%d", i), Models: []string{"m"}})
		} else {
			change.Callers = append(change.Callers, lwtdeclaredstate.Caller{Name: fmt.Sprintf("c%d", i), KeyHash: fmt.Sprint(i)})
		}
	}
	return lwtdeclaredstate.New().WithChange(change)
}

// BenchmarkApply measures the cost of applying one ticket by the size of the
// state.
func BenchmarkApply(b *testing.B) {
	for _, objects := range []int{100, 500, 1500, 5000, 15000} {
		state := stateOf(objects)
		change := lwtdeclaredstate.Change{
			Revision: 2, Engines: []lwtdeclaredstate.Engine{{Name: "e0", Draining: true, Models: []string{"m"}}},
		}
		b.Run(fmt.Sprintf("objects=%d", objects), func(b *testing.B) {
			for b.Loop() {
				state.WithChange(change)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(objects), "ns/object")
		})
	}
}

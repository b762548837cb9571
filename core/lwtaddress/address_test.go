package lwtaddress_test

import (
	"fmt"
	"slices"
	"testing"

	"lacewingtide/core/lwtaddress"
)

func candidates(count, zones int) []lwtaddress.Candidate {
	list := make([]lwtaddress.Candidate, count)
	for i := range list {
		list[i] = lwtaddress.Candidate{
			Name: fmt.Sprint(i), EntryAddress: fmt.Sprintf("10.0.0.%d:7000", i),
			AvailabilityZone: fmt.Sprintf("r-%d", i%zones), Serving: true,
		}
	}
	return list
}

// TestOnlyServingDaemonsAreNamed guards against addresses of daemons that are
// draining or suspected.
func TestOnlyServingDaemonsAreNamed(t *testing.T) {
	list := candidates(6, 3)
	list[0].Serving, list[1].Serving, list[2].Serving = false, false, false
	got := lwtaddress.EntryAddresses(list, "c", "r-0")
	slices.Sort(got)
	if want := []string{"10.0.0.3:7000", "10.0.0.4:7000", "10.0.0.5:7000"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestNearestComesFirstUnlessLoaded guards against callers that are sent to another
// availability zone unnecessarily or to an overloaded daemon.
func TestNearestComesFirstUnlessLoaded(t *testing.T) {
	list := candidates(4, 4)
	if got := lwtaddress.EntryAddresses(list, "c", "r-2"); got[0] != list[2].EntryAddress {
		t.Errorf("first address is %s, want that of the daemon in the zone", got[0])
	}
	list[2].RequestRate = 100
	if got := lwtaddress.EntryAddresses(list, "c", "r-2"); got[3] != list[2].EntryAddress {
		t.Errorf("got %v, want the overloaded daemon last", got)
	}
}

// TestHomesAreSpreadAndStable guards against an uneven distribution of callers
// over the daemons, and against home daemons that change for most callers when a
// single daemon is removed.
func TestHomesAreSpreadAndStable(t *testing.T) {
	const callers = 2000
	list := candidates(48, 4)
	fewer := slices.Clone(list)
	fewer[7].Serving = false
	counts, moved := map[string]int{}, 0
	for i := range callers {
		caller := fmt.Sprint("caller-", i)
		homes := lwtaddress.EntryAddresses(list, caller, "r-0")
		for _, home := range homes {
			counts[home]++
		}
		for _, home := range lwtaddress.EntryAddresses(fewer, caller, "r-0") {
			if !slices.Contains(homes, home) {
				moved++
			}
		}
	}
	mean := callers * lwtaddress.HomeCount / len(list)
	for address, count := range counts {
		if count < mean*2/3 || count > mean*4/3 {
			t.Errorf("%s is a home daemon of %d callers, mean %d", address, count, mean)
		}
	}
	if moved > mean*4/3 {
		t.Errorf("%d home daemons changed when one of 48 was removed, want about %d", moved, mean)
	}
}

package lwtaddress_test

import (
	"fmt"
	"testing"

	"lacewingtide/core/lwtaddress"
)

// TestShareCoversAll guards against daemons that are in the subset of no zone, and
// against subsets that change by more than two addresses when one daemon leaves.
func TestShareCoversAll(t *testing.T) {
	zones := []string{"a", "b", "c", "d", "e"}
	var endpoints []lwtaddress.Endpoint
	for i := range 117 {
		endpoints = append(endpoints, lwtaddress.Endpoint{Name: fmt.Sprint("d", i), Address: fmt.Sprint("10.0.0.", i)})
	}
	named := map[string]int{}
	for _, zone := range zones {
		before := lwtaddress.Subset(endpoints, zones, zone, 64)
		if len(before) != 64 {
			t.Fatalf("%d addresses, want 64", len(before))
		}
		kept := map[string]bool{}
		for _, address := range before {
			named[address]++
			kept[address] = true
		}
		moved := 0
		for _, address := range lwtaddress.Subset(endpoints[1:], zones, zone, 64) {
			if !kept[address] {
				moved++
			}
		}
		if moved > 2 {
			t.Errorf("zone %s: %d addresses are new after one daemon has left", zone, moved)
		}
	}
	for _, endpoint := range endpoints {
		if count := named[endpoint.Address]; count < 2 || count > 3 {
			t.Errorf("%s is in the subsets of %d zones, want 2 or 3", endpoint.Name, count)
		}
	}
}

// TestShareOfFew guards against daemons that are missing although the limit allows
// all of them.
func TestShareOfFew(t *testing.T) {
	endpoints := []lwtaddress.Endpoint{{Name: "d1", Address: "1"}, {Name: "d2", Address: "2"}}
	for _, zone := range []string{"a", "b", "unknown"} {
		if got := lwtaddress.Subset(endpoints, []string{"a", "b"}, zone, 64); len(got) != 2 {
			t.Errorf("zone %s: %v", zone, got)
		}
	}
}

package lwtaddress_test

import (
	"fmt"
	"testing"

	"lacewingtide/core/lwtaddress"
)

// TestShareCoversAll guards against daemons that no caller is sent to because an
// answer names only some of them, and against callers that are moved to other
// daemons when one leaves.
func TestShareCoversAll(t *testing.T) {
	zones := []string{"a", "b", "c", "d", "e"}
	var entries []lwtaddress.Endpoint
	for i := range 117 {
		entries = append(entries, lwtaddress.Endpoint{Name: fmt.Sprint("d", i), Address: fmt.Sprint("10.0.0.", i)})
	}
	named := map[string]int{}
	for _, zone := range zones {
		before := lwtaddress.Subset(entries, zones, zone, 64)
		if len(before) != 64 {
			t.Fatalf("%d addresses, want 64", len(before))
		}
		kept := map[string]bool{}
		for _, address := range before {
			named[address]++
			kept[address] = true
		}
		moved := 0
		for _, address := range lwtaddress.Subset(entries[1:], zones, zone, 64) {
			if !kept[address] {
				moved++
			}
		}
		if moved > 2 {
			t.Errorf("zone %s: %d addresses are new after one daemon has left", zone, moved)
		}
	}
	for _, entry := range entries {
		if count := named[entry.Address]; count < 2 || count > 3 {
			t.Errorf("%s is named to the callers of %d zones, want 2 or 3", entry.Name, count)
		}
	}
}

// TestShareOfFew guards against daemons that are left out although all can be named.
func TestShareOfFew(t *testing.T) {
	entries := []lwtaddress.Endpoint{{Name: "d1", Address: "1"}, {Name: "d2", Address: "2"}}
	for _, zone := range []string{"a", "b", "unknown"} {
		if got := lwtaddress.Subset(entries, []string{"a", "b"}, zone, 64); len(got) != 2 {
			t.Errorf("zone %s: %v", zone, got)
		}
	}
}

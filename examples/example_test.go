// Package examples_test checks the example files in this directory.
package examples_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
	"lacewingtide/core/lwttoml"
	"lacewingtide/io/lwtsetting"
)

// TestExamplesAreValid guards against example files that no longer match the
// formats of settings and tickets.
func TestExamplesAreValid(t *testing.T) {
	paths, err := filepath.Glob("*.toml")
	if err != nil || len(paths) != 4 {
		t.Fatalf("example files %v, error %v, want 4 files", paths, err)
	}
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.HasSuffix(path, "-ticket.toml") {
			if _, err := lwtsetting.Parse(content); err != nil {
				t.Errorf("%s: %v", path, err)
			}
			continue
		}
		ticket, _ := lwtticket.Parse(content)
		if err := lwttoml.Join(lwtticket.Check(lwtdeclaredstate.New(), ticket)); err != nil {
			t.Errorf("%s: %v", path, err)
		}
		if len(ticket.Engines) != 12 || len(ticket.Services[0].BackendServers) != 3 {
			t.Errorf("%s: %d engines and %d shop order servers, want 12 and 3",
				path, len(ticket.Engines), len(ticket.Services[0].BackendServers))
		}
	}
}

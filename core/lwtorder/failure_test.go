package lwtorder_test

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
)

// kinds are the kinds of engines that the declared state permits.
var kinds = []string{"checks", "timeout=1s", "checks timeout=1s"}

// moments are the times of a failure: before the first order of the base script
// is decided, while it is sent or carried out, and during the second round.
var moments = []string{"20500ms", "23200ms", "25s", "28s"}

func readFailures(t *testing.T) (base string, failures map[string]string) {
	t.Helper()
	failures = map[string]string{}
	paths, err := filepath.Glob("testdata/failure/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		archive, err := txtar.ParseFile(path)
		if err != nil || len(archive.Files) != 1 {
			t.Fatalf("%s: %v", path, err)
		}
		name, text := strings.TrimSuffix(filepath.Base(path), ".txtar"), string(archive.Files[0].Data)
		if name == "base" {
			base = text
			continue
		}
		failures[name] = text
	}
	return base, failures
}

// shifted replaces AT in each line by a moment.
func shifted(t *testing.T, text, moment string) string {
	t.Helper()
	var result strings.Builder
	for line := range strings.Lines(text) {
		at, rest, _ := strings.Cut(line, " ")
		start, err := time.ParseDuration(moment)
		if err != nil {
			t.Fatal(err)
		}
		if _, plus, found := strings.Cut(at, "+"); found {
			more, err := time.ParseDuration(plus)
			if err != nil {
				t.Fatal(err)
			}
			start += more
		}
		fmt.Fprintf(&result, "%s %s", start, rest)
	}
	return result.String()
}

// TestFailuresAlone guards against a violated guarantee, or an engine that never
// reaches the declared state, after any single failure at any of the moments.
func TestFailuresAlone(t *testing.T) {
	base, failures := readFailures(t)
	for name, failure := range failures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, kind := range kinds {
				for _, moment := range moments {
					text := strings.ReplaceAll(base, "KIND", kind) + shifted(t, failure, moment)
					runScript(t, kind+", "+moment, 1, parseLines(t, text))
				}
			}
		})
	}
}

// TestFailuresInPairs guards against the same after any two failures, or the
// same one twice, a little apart. The kinds of engines, the moments and the
// order of the two alternate over the pairs.
func TestFailuresInPairs(t *testing.T) {
	base, failures := readFailures(t)
	names := slices.Sorted(maps.Keys(failures))
	for i, first := range names {
		t.Run(first, func(t *testing.T) {
			t.Parallel()
			for j, second := range names[i:] {
				kind, earlier, later := kinds[(i+j)%3], moments[(i+j)%3], moments[(i+j)%3+1]
				if j%2 == 1 {
					earlier, later = later, earlier
				}
				text := strings.ReplaceAll(base, "KIND", kind) +
					shifted(t, failures[first], earlier) + shifted(t, failures[second], later)
				runScript(t, fmt.Sprintf("with %s, %s", second, kind), 1, parseLines(t, text))
			}
		})
	}
}

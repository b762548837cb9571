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

// engineKinds are the kinds of engines that the declared state permits.
var engineKinds = []string{"checks", "timeout=1s", "checks timeout=1s"}

// failureTimes are the times at which a failure starts: before the first order
// of the base script is decided, while it is sent, while it is executed, and
// during the second round of tickets.
var failureTimes = []string{"20500ms", "23200ms", "25s", "28s"}

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

// shiftTimes replaces AT in each line by a time.
func shiftTimes(t *testing.T, text, failureTime string) string {
	t.Helper()
	var result strings.Builder
	for line := range strings.Lines(text) {
		at, rest, _ := strings.Cut(line, " ")
		start, err := time.ParseDuration(failureTime)
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
// reaches the declared state, after each failure alone at each failure time.
func TestFailuresAlone(t *testing.T) {
	base, failures := readFailures(t)
	for name, failure := range failures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, kind := range engineKinds {
				for _, failureTime := range failureTimes {
					text := strings.ReplaceAll(base, "KIND", kind) + shiftTimes(t, failure, failureTime)
					runScript(t, kind+", "+failureTime, 1, parseLines(t, text))
				}
			}
		})
	}
}

// TestFailuresInPairs guards against the same after each pair of failures, which
// includes the same failure twice, at consecutive failure times. The engine
// kinds, the times and the order of the two alternate over the pairs.
func TestFailuresInPairs(t *testing.T) {
	base, failures := readFailures(t)
	names := slices.Sorted(maps.Keys(failures))
	for i, first := range names {
		t.Run(first, func(t *testing.T) {
			t.Parallel()
			for j, second := range names[i:] {
				kind, earlier, later := engineKinds[(i+j)%3], failureTimes[(i+j)%3], failureTimes[(i+j)%3+1]
				if j%2 == 1 {
					earlier, later = later, earlier
				}
				text := strings.ReplaceAll(base, "KIND", kind) +
					shiftTimes(t, failures[first], earlier) + shiftTimes(t, failures[second], later)
				runScript(t, fmt.Sprintf("with %s, %s", second, kind), 1, parseLines(t, text))
			}
		})
	}
}

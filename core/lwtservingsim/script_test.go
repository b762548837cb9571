package lwtservingsim

import (
	"bufio"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
)

// script is a failure test read from a txtar file. The section "experiment" holds
// lines "KEY VALUE" and failures "KIND INDEX AT FOR". The section "expect" holds
// lines "FIGURE least|most VALUE".
type script struct {
	experiment Experiment
	expect     []string
}

func readScript(t *testing.T, path string) script {
	t.Helper()
	archive, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var script script
	for _, file := range archive.Files {
		lines := bufio.NewScanner(strings.NewReader(string(file.Data)))
		for lines.Scan() {
			if file.Name == "expect" {
				script.expect = append(script.expect, lines.Text())
				continue
			}
			if err := script.experiment.parse(strings.Fields(lines.Text())); err != nil {
				t.Fatalf("%s: %q: %v", path, lines.Text(), err)
			}
		}
	}
	return script
}

func (experiment *Experiment) parse(words []string) error {
	var err error
	switch words[0] {
	case "deployment":
		experiment.Deployment, err = FindDeployment(words[1])
	case "seed":
		experiment.Seed, err = strconv.ParseUint(words[1], 10, 64)
	case "load":
		experiment.Load, err = strconv.ParseFloat(words[1], 64)
	case "duration":
		experiment.Duration, err = time.ParseDuration(words[1])
	default:
		err = experiment.parseFailure(words)
	}
	return err
}

func (experiment *Experiment) parseFailure(words []string) error {
	if len(words) != 4 {
		return fmt.Errorf("want KIND INDEX AT FOR")
	}
	failure := Failure{Kind: FailureKind(words[0])}
	var err error
	if failure.Index, err = strconv.Atoi(words[1]); err != nil {
		return err
	}
	if failure.At, err = time.ParseDuration(words[2]); err != nil {
		return err
	}
	if failure.Duration, err = time.ParseDuration(words[3]); err != nil {
		return err
	}
	experiment.Failures = append(experiment.Failures, failure)
	return nil
}

// figures returns the measurements that scripts can set limits for.
func (result Result) figures() map[string]float64 {
	figures := map[string]float64{
		"goodput": result.Goodput(), "cut": float64(result.Interrupted),
		"late-share": float64(result.Late) / float64(result.Offered), "ran-twice": float64(result.RanTwice),
		"not-run-but-ran": float64(result.RejectedButRan), "role-changes": float64(result.RoleChanges),
		"chat-first-token-p95": result.ChatTimeToFirstTokenP95.Seconds(),
		"between-tokens-p95":   result.InterTokenLatencyP95.Seconds(),
	}
	worst := 1.0
	for _, class := range result.Classes {
		worst = min(worst, float64(class.OnTime)/float64(class.Offered))
	}
	figures["worst-class"] = worst
	return figures
}

// TestFailureScripts guards against failures that affect more requests than the
// scripts in testdata/failures allow.
func TestFailureScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/failures/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			t.Parallel()
			script := readScript(t, path)
			experiment := script.experiment
			arrivals := Arrivals(experiment.Deployment, experiment.Seed, experiment.Load, experiment.Duration)
			policies := Policies(experiment.Deployment)
			figures := Run(experiment, policies[2], arrivals).figures()
			for _, line := range script.expect {
				checkLine(t, line, figures)
			}
		})
	}
}

func checkLine(t *testing.T, line string, figures map[string]float64) {
	t.Helper()
	words := strings.Fields(line)
	value, found := figures[words[0]]
	bound, err := strconv.ParseFloat(words[2], 64)
	if !found || err != nil {
		t.Fatalf("%q: figure known %t, %v", line, found, err)
	}
	if words[1] == "least" && value < bound || words[1] == "most" && value > bound {
		t.Errorf("%s is %g, want at %s %g", words[0], value, words[1], bound)
	}
}

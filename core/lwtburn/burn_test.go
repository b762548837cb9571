package lwtburn

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	"lacewingtide/core/lwtdeclaredstate"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func objectives() map[lwtdeclaredstate.Class]lwtdeclaredstate.Objective {
	return map[lwtdeclaredstate.Class]lwtdeclaredstate.Objective{
		lwtdeclaredstate.ClassChat: {Class: lwtdeclaredstate.ClassChat, Target: 0.99},
	}
}

// TestScripts guards against wrong windows, burn rates and alerts.
func TestScripts(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/burn.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(archive.Files); i += 2 {
		steps, want := archive.Files[i], archive.Files[i+1]
		t.Run(steps.Name, func(t *testing.T) {
			if got := runScript(t, string(steps.Data)); got != string(want.Data) {
				t.Errorf("got:\n%swant:\n%s", got, want.Data)
			}
		})
	}
}

func runScript(t *testing.T, script string) string {
	t.Helper()
	recorder := New("d1")
	var out strings.Builder
	for line := range strings.Lines(script) {
		var offset, class, caller, outcome string
		var count int
		if n, _ := fmt.Sscanf(line, "at %s %s %s %s %d", &offset, &class, &caller, &outcome, &count); n == 5 {
			request := FinishedRequest{Key: BudgetKey{lwtdeclaredstate.Class(class), caller}, Outcome: Outcome(outcome)}
			for range count {
				recorder.Add(epoch.Add(parseDuration(t, offset)), request)
			}
			continue
		}
		if _, err := fmt.Sscanf(line, "report %s", &offset); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		printReport(&out, NewReport(recorder.Snapshot(epoch.Add(parseDuration(t, offset))), objectives()))
	}
	return out.String()
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return duration
}

func printReport(out *strings.Builder, report Report) {
	for _, line := range report.Lines {
		for _, window := range line.Windows {
			if window.Span.Std() == 5*time.Minute || window.Span.Std() == time.Hour {
				fmt.Fprintf(out, "%s %s %s total=%d bad=%d burn=%.2f\n", line.Key.Class, line.Key.Caller,
					window.Span.Std(), window.Counts.Total(), window.Counts.Bad(), window.BurnRate)
			}
		}
		for _, alert := range line.Alerts {
			fmt.Fprintf(out, "alert %s %s %s\n", alert.Severity, alert.LongWindow.Std(), alert.ShortWindow.Std())
		}
	}
}

// TestMergedSnapshotsEqualOneLedger guards against a report on several daemons
// that counts a request twice or not at all.
func TestMergedSnapshotsEqualOneLedger(t *testing.T) {
	outcomes := []Outcome{OutcomeGood, OutcomeLate, OutcomeCut, OutcomeRejected, OutcomeUnknown}
	rapid.Check(t, func(t *rapid.T) {
		single, parts := New("all"), []*Recorder{New("d1"), New("d2"), New("d3")}
		now := epoch
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 7200).Draw(t, "gap")) * time.Second)
			request := FinishedRequest{
				Key: BudgetKey{
					Class: lwtdeclaredstate.ClassChat, Caller: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller"),
				},
				Outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome"),
			}
			single.Add(now, request)
			parts[rapid.IntRange(0, 2).Draw(t, "daemon")].Add(now, request)
		}
		merged := parts[0].Snapshot(now).With(parts[1].Snapshot(now)).With(parts[2].Snapshot(now))
		if got, want := fmt.Sprint(merged.Rows), fmt.Sprint(single.Snapshot(now).Rows); got != want {
			t.Fatalf("merged %s, want %s", got, want)
		}
	})
}

package lwtrequestflow_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"lacewingtide/core/lwtrequestflow"
	"lacewingtide/core/lwtretry"
	"lacewingtide/core/lwtroutetable"
)

var stepNames = map[lwtrequestflow.Step]string{
	lwtrequestflow.Place: "place", lwtrequestflow.Prefill: "prefill", lwtrequestflow.Run: "run", lwtrequestflow.Deliver: "deliver",
	lwtrequestflow.Reject: "refuse", lwtrequestflow.Fail: "fail", lwtrequestflow.Abort: "cut", lwtrequestflow.Stop: "stop",
}

// repeats is a budget that holds a number of repeats.
type repeats struct{ left int }

func (repeats *repeats) Spend(time.Time) bool {
	repeats.left--
	return repeats.left >= 0
}

// script drives one course. Lines of a script:
//
//	request KIND attempts=N budget=N deadline=SPAN   KIND: never, always or resume
//	after SPAN
//	placed | placed prefill | full SPAN | prefilled | answered STATUS | refused | misdirected | delivered | gone
//	not-sent | unknown | broken EVENT | timeout | timeout begun
//	=> STEP [STATUS]
type script struct {
	now    time.Time
	course lwtrequestflow.Flow
	step   lwtrequestflow.Step
}

func (script *script) line(t *testing.T, line string) {
	t.Helper()
	words := strings.Fields(line)
	switch words[0] {
	case "request":
		script.request(t, words[1:])
	case "after":
		script.now = script.now.Add(span(t, words[1]))
	case "=>":
		script.expect(t, line, words[1:])
	default:
		script.course, script.step = script.course.Update(script.now, script.step, message(t, words))
	}
}

func (script *script) request(t *testing.T, words []string) {
	t.Helper()
	kinds := map[string]lwtroutetable.RetryPolicy{"never": lwtroutetable.RetryIfNotRun, "always": lwtroutetable.RetryAlways, "resume": lwtroutetable.RetryResume}
	route := lwtroutetable.Route{RetryPolicy: kinds[words[0]], MaxAttempts: 1, Timeout: 2 * time.Second}
	request, budget := lwtroutetable.Request{}, &repeats{left: 10}
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "attempts":
			route.MaxAttempts = number(t, value)
		case "budget":
			budget.left = number(t, value)
		case "deadline":
			request.Timeout = span(t, value)
		}
	}
	script.course = lwtrequestflow.New(script.now, route, request, budget)
	script.course, script.step = script.course.Start(script.now)
}

func (script *script) expect(t *testing.T, line string, words []string) {
	t.Helper()
	got := stepNames[script.step]
	if script.step == lwtrequestflow.Fail {
		got += " " + strconv.Itoa(script.course.Status())
	}
	if script.step == lwtrequestflow.Place && script.course.LastEventID() != "" {
		got += " after " + script.course.LastEventID()
	}
	if script.step == lwtrequestflow.Place && script.course.HasKVCache() {
		got += " holding"
	}
	if want := strings.Join(words, " "); got != want {
		t.Errorf("%q: step %q (%s)", line, got, script.course.Reason())
	}
}

func message(t *testing.T, words []string) any {
	t.Helper()
	rest := strings.Join(words[1:], " ")
	switch words[0] {
	case "placed":
		return lwtrequestflow.Placed{SeparatePrefill: rest == "prefill"}
	case "full":
		return lwtrequestflow.NotPlaced{Reason: "full", RetryAfter: span(t, rest)}
	case "prefilled":
		return lwtrequestflow.Prefilled{}
	case "answered":
		return lwtrequestflow.ResponseStarted{Status: number(t, rest)}
	case "refused":
		return lwtrequestflow.ResponseStarted{Status: 503, NotRun: true}
	case "misdirected":
		return lwtrequestflow.ResponseStarted{Status: 421, NotRun: true, Misdirected: true}
	case "delivered":
		return lwtrequestflow.Delivered{}
	case "gone":
		return lwtrequestflow.CallerGone{}
	case "not-sent":
		return lwtrequestflow.Failed{Outcome: lwtretry.NotSent, Reason: "not-sent"}
	case "unknown":
		return lwtrequestflow.Failed{Outcome: lwtretry.Unknown, Reason: "unknown"}
	case "broken":
		return lwtrequestflow.Failed{Outcome: lwtretry.Unknown, PartiallyDelivered: true, LastEventID: rest, Reason: "broken"}
	case "timeout":
		return lwtrequestflow.TimedOut{PartiallyDelivered: rest == "begun"}
	}
	t.Fatalf("unknown line %q", strings.Join(words, " "))
	return nil
}

func span(t *testing.T, text string) time.Duration {
	t.Helper()
	span, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return span
}

func number(t *testing.T, text string) int {
	t.Helper()
	number, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return number
}

// TestScripts guards against requests that run twice, refusals of requests that
// may have run, and joined answers. Each section of the file says which.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, section := range txtar.Parse(content).Files {
			t.Run(section.Name, func(t *testing.T) {
				script := &script{now: time.Unix(1000, 0)}
				for _, line := range strings.Split(strings.TrimSpace(string(section.Data)), "\n") {
					if line != "" && !strings.HasPrefix(line, "#") {
						script.line(t, line)
					}
				}
			})
		}
	}
}

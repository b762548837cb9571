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
	lwtrequestflow.Place: "place", lwtrequestflow.Prefill: "prefill", lwtrequestflow.Send: "run",
	lwtrequestflow.Deliver: "deliver", lwtrequestflow.Reject: "reject", lwtrequestflow.Fail: "fail",
	lwtrequestflow.Abort: "abort", lwtrequestflow.Stop: "stop",
}

// retryBudget allows a number of retries.
type retryBudget struct{ remaining int }

func (retryBudget *retryBudget) Spend(time.Time) bool {
	retryBudget.remaining--
	return retryBudget.remaining >= 0
}

// script drives one flow. The first line of a script is the request, "=>" checks the current
// step, and all other lines are results of steps or the passing of time:
//
//	request POLICY attempts=N budget=N timeout=DURATION   POLICY: if-not-run, always or resume
//	after DURATION
//	placed | placed prefill | not-placed DURATION | prefilled
//	response STATUS | unproven STATUS | rejected | misdirected | not-sent | unknown [not-retryable] | broken [EVENT-ID]
//	delivered | caller-gone | timeout | timeout partially-delivered
//	=> STEP [STATUS] [after EVENT-ID] [with-kv-cache]
type script struct {
	now  time.Time
	flow lwtrequestflow.Flow
	step lwtrequestflow.Step
}

func (script *script) line(t *testing.T, line string) {
	t.Helper()
	words := strings.Fields(line)
	switch words[0] {
	case "request":
		script.request(t, words[1:])
	case "after":
		script.now = script.now.Add(parseDuration(t, words[1]))
	case "=>":
		script.expect(t, line, words[1:])
	default:
		script.flow, script.step = script.flow.Update(script.now, script.step, parseMessage(t, words))
	}
}

func (script *script) request(t *testing.T, words []string) {
	t.Helper()
	policies := map[string]lwtroutetable.RetryPolicy{
		"if-not-run": lwtroutetable.RetryIfNotRun, "always": lwtroutetable.RetryAlways, "resume": lwtroutetable.RetryResume,
	}
	route := lwtroutetable.Route{RetryPolicy: policies[words[0]], MaxAttempts: 1, Timeout: 2 * time.Second}
	request, budget := lwtroutetable.Request{}, &retryBudget{remaining: 10}
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "attempts":
			route.MaxAttempts = parseInt(t, value)
		case "budget":
			budget.remaining = parseInt(t, value)
		case "timeout":
			request.Timeout = parseDuration(t, value)
		}
	}
	script.flow = lwtrequestflow.New(script.now, route, request, budget)
	script.flow, script.step = script.flow.Start(script.now)
}

func (script *script) expect(t *testing.T, line string, words []string) {
	t.Helper()
	got := stepNames[script.step]
	if script.step == lwtrequestflow.Fail {
		got += " " + strconv.Itoa(script.flow.Status())
	}
	if script.step == lwtrequestflow.Place && script.flow.LastEventID() != "" {
		got += " after " + script.flow.LastEventID()
	}
	if script.step == lwtrequestflow.Place && script.flow.HasKVCache() {
		got += " with-kv-cache"
	}
	if want := strings.Join(words, " "); got != want {
		t.Errorf("%q: got step %q (reason %s)", line, got, script.flow.Reason())
	}
}

func parseMessage(t *testing.T, words []string) any {
	t.Helper()
	rest := strings.Join(words[1:], " ")
	switch words[0] {
	case "placed":
		return lwtrequestflow.Placed{SeparatePrefill: rest == "prefill"}
	case "not-placed":
		return lwtrequestflow.NotPlaced{Reason: "not-placed", RetryAfter: parseDuration(t, rest)}
	case "prefilled":
		return lwtrequestflow.Prefilled{}
	case "response":
		return lwtrequestflow.ResponseStarted{Status: parseInt(t, rest)}
	case "unproven":
		return lwtrequestflow.ResponseStarted{Status: parseInt(t, rest), PromisesNotRun: true}
	case "rejected":
		return lwtrequestflow.ResponseStarted{Status: 503, NotRun: true, PromisesNotRun: true}
	case "misdirected":
		return lwtrequestflow.ResponseStarted{Status: 421, NotRun: true, Misdirected: true}
	case "delivered":
		return lwtrequestflow.Delivered{}
	case "caller-gone":
		return lwtrequestflow.CallerDisconnected{}
	case "not-sent":
		return lwtrequestflow.Failed{Outcome: lwtretry.NotSent, Reason: "not-sent"}
	case "unknown":
		return lwtrequestflow.Failed{Outcome: lwtretry.Unknown, Reason: "unknown", NotRetryable: rest == "not-retryable"}
	case "broken":
		return lwtrequestflow.Failed{Outcome: lwtretry.Unknown, PartiallyDelivered: true, LastEventID: rest, Reason: "broken"}
	case "timeout":
		return lwtrequestflow.TimedOut{PartiallyDelivered: rest == "partially-delivered"}
	}
	t.Fatalf("unknown line %q", strings.Join(words, " "))
	return nil
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return duration
}

func parseInt(t *testing.T, text string) int {
	t.Helper()
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// TestScripts guards against requests that run twice, "not run" for requests that may have run,
// and responses joined from two runs. Each section of the file is named after the rule that it
// checks.
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

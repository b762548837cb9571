package lwtquarantine_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"lacewingtide/core/lwtquarantine"
	"lacewingtide/core/lwtroutetable"
)

// script drives one daemon. Its lines are:
//
//	after DURATION
//	daemons NAME,...
//	answered SEGMENT,... [sent=DURATION-ago]
//	crash ENGINE REQUEST:SEGMENT,... ...
//	report ENGINE SEGMENT=ANSWERED,...
//	observe SEGMENT revision=N [lifted] [answered] [tied] [expired] [first-crash=DURATION-ago]
//	admit REQUEST:SEGMENT,... => yes|no
//	end-probe REQUEST
//	quarantined SEGMENT,...|none    with "?" if it was answered before, "=" if it is tied with others
//	refuted SEGMENT                 by the last observe
type script struct {
	now        time.Time
	quarantine *lwtquarantine.Quarantine
	refuted    *lwtquarantine.Entry
}

func (script *script) line(t *testing.T, line string) {
	t.Helper()
	words := strings.Fields(line)
	options := map[string]string{}
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		options[name] = value
	}
	switch words[0] {
	case "after":
		script.now = script.now.Add(parseDuration(t, words[1]))
	case "daemons":
		script.quarantine.SetDaemons(strings.Split(words[1], ","))
	case "answered":
		script.quarantine.RecordAnswer(script.now, script.ago(t, options["sent"]), service, parseRequest("answered:"+words[1]))
	case "crash":
		script.crash(words)
	case "report":
		script.report(t, words)
	case "observe":
		script.observe(t, words, options)
	case "admit":
		_, admitted := script.quarantine.Admit(script.now, service, parseRequest(words[1]))
		if admitted != (words[3] == "yes") {
			t.Errorf("%s: admitted %v", line, admitted)
		}
	case "end-probe":
		script.quarantine.EndProbe(script.now, words[1])
	case "quarantined":
		script.expectQuarantined(t, words[1])
	case "refuted":
		if script.refuted == nil || script.refuted.Segment != words[1] || !script.refuted.Lifted {
			t.Errorf("%s: refuted %+v", line, script.refuted)
		}
	default:
		t.Fatalf("unknown line %q", line)
	}
}

// ago returns the moment that lies a duration of the form "DURATION-ago" back, or now.
func (script *script) ago(t *testing.T, text string) time.Time {
	t.Helper()
	if text == "" {
		return script.now
	}
	return script.now.Add(-parseDuration(t, strings.TrimSuffix(text, "-ago")))
}

func (script *script) crash(words []string) {
	crash := lwtquarantine.Crash{Service: service, ServerID: words[1], At: script.now}
	var requests []lwtroutetable.Request
	for _, word := range words[2:] {
		requests = append(requests, parseRequest(word))
	}
	script.quarantine.RecordCrash(script.now, crash, requests)
}

func (script *script) report(t *testing.T, words []string) {
	t.Helper()
	report := lwtquarantine.Crash{
		Service: service, ServerID: words[1], At: script.now, Suspects: map[string]int{},
	}
	for _, suspect := range strings.Split(words[2], ",") {
		segment, answered, _ := strings.Cut(suspect, "=")
		report.Suspects[segment] = parseInt(t, answered)
	}
	script.quarantine.ObserveCrash(script.now, report)
}

func (script *script) observe(t *testing.T, words []string, options map[string]string) {
	t.Helper()
	entry := lwtquarantine.Entry{
		Key: lwtquarantine.Key{Service: service, Segment: words[1]}, Revision: parseInt(t, options["revision"]),
		FirstCrashAt: script.ago(t, options["first-crash"]), ProbeAt: script.now.Add(time.Minute),
		ExpiresAt: script.now.Add(time.Hour),
	}
	if _, expired := options["expired"]; expired {
		entry.ExpiresAt = script.now
	}
	_, entry.Lifted = options["lifted"]
	_, entry.Answered = options["answered"]
	if _, tied := options["tied"]; tied {
		entry.TieID = 1
	}
	_, script.refuted = script.quarantine.ObserveEntry(script.now, entry)
}

func (script *script) expectQuarantined(t *testing.T, want string) {
	t.Helper()
	var held []string
	for _, entry := range script.quarantine.Entries(script.now) {
		segment := entry.Segment
		if entry.Answered {
			segment += "?"
		}
		if entry.TieID != 0 {
			segment += "="
		}
		if !entry.Lifted {
			held = append(held, segment)
		}
	}
	if want == "none" {
		want = ""
	}
	if got := strings.Join(held, ","); got != want {
		t.Errorf("quarantined %q, want %q", got, want)
	}
}

func parseRequest(text string) lwtroutetable.Request {
	id, segments, _ := strings.Cut(text, ":")
	request := lwtroutetable.Request{ID: id}
	for _, segment := range strings.Split(segments, ",") {
		request.Segments = append(request.Segments, lwtroutetable.PromptSegment{ID: segment, Tokens: 100})
	}
	return request
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

// TestScripts guards against quarantines that come too early or late, or that do not end.
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
				script := &script{now: start, quarantine: lwtquarantine.New("self")}
				for line := range strings.Lines(string(section.Data)) {
					if line = strings.TrimSpace(line); line != "" {
						script.line(t, line)
					}
				}
			})
		}
	}
}

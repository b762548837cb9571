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
//	crash SERVER REQUEST:SEGMENT,... ...
//	report SERVER SEGMENT=ANSWERED,... [FINGERPRINT:SEGMENT,...]
//	observe KEY revision=N [lifted] [answered] [tied] [expired] [first-crash=DURATION-ago]
//	admit REQUEST:SEGMENT,... => yes|no
//	suspected REQUEST:SEGMENT,... => yes|no
//	end-probe REQUEST
//	quarantined KEY,...|none    with "?" if it was answered before, "=" if it is tied with others
//	refuted KEY                 by the last observe
//
// REQUEST is an id, or ID/FINGERPRINT. KEY is a segment, or /FINGERPRINT.
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
		request := words[1]
		if !strings.Contains(request, ":") {
			request = "answered:" + request
		}
		script.quarantine.RecordAnswer(script.now, script.ago(t, options["sent"]), service, parseRequest(request))
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
	case "suspected":
		if suspected := script.quarantine.Suspected(service, parseRequest(words[1])); suspected != (words[3] == "yes") {
			t.Errorf("%s: suspected %v", line, suspected)
		}
	case "end-probe":
		script.quarantine.EndProbe(script.now, words[1])
	case "quarantined":
		script.expectQuarantined(t, words[1])
	case "refuted":
		if script.refuted == nil || script.refuted.Key != parseKey(words[1]) || !script.refuted.Lifted {
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
		Service: service, ServerID: words[1], At: script.now, Segments: map[string]int{},
	}
	for _, word := range words[2:] {
		if fingerprint, segments, found := strings.Cut(word, ":"); found {
			report.Requests = append(report.Requests, lwtquarantine.SuspectRequest{
				Fingerprint: fingerprint, Segments: strings.Split(segments, ","),
			})
			continue
		}
		for _, suspect := range strings.Split(word, ",") {
			segment, answered, _ := strings.Cut(suspect, "=")
			report.Segments[segment] = parseInt(t, answered)
		}
	}
	script.quarantine.ObserveCrash(script.now, report)
}

func (script *script) observe(t *testing.T, words []string, options map[string]string) {
	t.Helper()
	entry := lwtquarantine.Entry{
		Key: parseKey(words[1]), Revision: parseInt(t, options["revision"]),
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
		key := entry.ID
		if entry.Kind == lwtquarantine.Request {
			key = "/" + key
		}
		if entry.Answered {
			key += "?"
		}
		if entry.TieID != 0 {
			key += "="
		}
		if !entry.Lifted {
			held = append(held, key)
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
	names, segments, _ := strings.Cut(text, ":")
	id, fingerprint, _ := strings.Cut(names, "/")
	request := lwtroutetable.Request{ID: id, Fingerprint: fingerprint}
	for _, segment := range strings.Split(segments, ",") {
		request.Segments = append(request.Segments, lwtroutetable.PromptSegment{ID: segment, Tokens: 100})
	}
	return request
}

func parseKey(text string) lwtquarantine.Key {
	if fingerprint, isRequest := strings.CutPrefix(text, "/"); isRequest {
		return lwtquarantine.Key{Service: service, Kind: lwtquarantine.Request, ID: fingerprint}
	}
	return lwtquarantine.Key{Service: service, ID: text}
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

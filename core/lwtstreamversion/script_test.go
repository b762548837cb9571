package lwtstreamversion_test

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"lacewingtide/core/lwtstreamversion"
)

const service = "engines"

// script drives the table of one daemon. Its lines are:
//
//	after DURATION
//	serving VERSION,...
//	reported-mixed DURATION            by another daemon, for a time
//	begin REQUEST VERSION lifetime=DURATION
//	observe REQUEST VERSION lifetime=DURATION
//	end REQUEST
//	holders NAME:BOOT,...              of all streams
//	report                             all that are due
//	confirm REQUEST NAME:BOOT
//	find REQUEST => VERSION|unknown
//	observe-version VERSION            in the store, or of a stream
//	mixed => yes|no
//	only => VERSION|none
//	mixed-for => DURATION|none
//	due => REQUEST,...|none            for any holder
//	due-for NAME:BOOT => REQUEST,...|none
type script struct {
	now     time.Time
	table   *lwtstreamversion.Table
	names   map[lwtstreamversion.Key]string
	holders []lwtstreamversion.Holder
}

func (script *script) line(t *testing.T, line string) {
	t.Helper()
	command, want, _ := strings.Cut(line, " => ")
	words := strings.Fields(command)
	var got string
	switch words[0] {
	case "after":
		script.now = script.now.Add(parseDuration(t, words[1]))
	case "serving":
		serving := map[string]bool{}
		for _, version := range strings.Split(words[1], ",") {
			serving[version] = true
		}
		script.table.SetVersions(script.now, service, serving)
	case "reported-mixed":
		script.table.ObserveMixed(service, script.now.Add(parseDuration(t, words[1])))
	case "begin":
		script.table.Begin(script.now, script.stream(t, words))
	case "observe":
		script.table.Observe(script.now, script.stream(t, words), script.holders)
	case "end":
		script.table.End(lwtstreamversion.KeyOf(words[1]))
	case "holders":
		script.holders = nil
		for _, holder := range strings.Split(words[1], ",") {
			script.holders = append(script.holders, parseHolder(t, holder))
		}
		script.table.ReviewHolders()
	case "report":
		for holder, streams := range script.dueReports() {
			for _, stream := range streams {
				script.table.RecordReport(script.now, stream.Key, holder)
			}
		}
	case "confirm":
		script.table.Confirm(lwtstreamversion.KeyOf(words[1]), parseHolder(t, words[2]))
	case "find":
		got = "unknown"
		if stream, found := script.table.Find(script.now, lwtstreamversion.KeyOf(words[1])); found {
			got = stream.Version
		}
	case "observe-version":
		script.table.ObserveVersion(script.now, service, words[1])
	case "only":
		got = "none"
		if version, only := script.table.OnlyVersion(script.now, service); only {
			got = version
		}
	case "mixed":
		got = map[bool]string{true: "yes", false: "no"}[script.table.Mixed(script.now, service)]
	case "mixed-for":
		got = "none"
		if until, found := script.table.MixedUntil(script.now)[service]; found {
			got = until.Sub(script.now).String()
		}
	case "due":
		var due []lwtstreamversion.Stream
		for _, streams := range script.dueReports() {
			due = append(due, streams...)
		}
		got = script.list(due)
	case "due-for":
		got = script.list(script.dueReports()[parseHolder(t, words[1])])
	default:
		t.Fatalf("unknown line %q", line)
	}
	if got != want {
		t.Errorf("%s: got %s", line, got)
	}
}

func (script *script) stream(t *testing.T, words []string) lwtstreamversion.Stream {
	t.Helper()
	key := lwtstreamversion.KeyOf(words[1])
	script.names[key] = words[1]
	return lwtstreamversion.Stream{
		Key: key, Service: service, Version: words[2],
		ExpiresAt: script.now.Add(parseDuration(t, strings.TrimPrefix(words[3], "lifetime="))),
	}
}

func (script *script) dueReports() map[lwtstreamversion.Holder][]lwtstreamversion.Stream {
	return script.table.DueReports(script.now, func(lwtstreamversion.Key) []lwtstreamversion.Holder { return script.holders })
}

func (script *script) list(streams []lwtstreamversion.Stream) string {
	var names []string
	for _, stream := range streams {
		names = append(names, script.names[stream.Key])
	}
	if len(names) == 0 {
		return "none"
	}
	slices.Sort(names)
	return strings.Join(slices.Compact(names), ",")
}

func parseHolder(t *testing.T, text string) lwtstreamversion.Holder {
	t.Helper()
	name, number, _ := strings.Cut(text, ":")
	boot, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return lwtstreamversion.Holder{Name: name, Boot: boot}
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return duration
}

// TestScripts guards against streams whose version is forgotten too early, never reported, or taken for known.
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
				script := &script{
					now: time.Unix(1000, 0), table: lwtstreamversion.New(), names: map[lwtstreamversion.Key]string{},
					holders: []lwtstreamversion.Holder{{Name: "a", Boot: 1}},
				}
				for line := range strings.Lines(string(section.Data)) {
					if line = strings.TrimSpace(line); line != "" {
						script.line(t, line)
					}
				}
			})
		}
	}
}

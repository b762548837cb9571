package lwtstatesync_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtstatesync"
	"lacewingtide/core/lwtticket"
)

var update = flag.Bool("update", false, "rewrite the transcripts in the scripts")

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestScripts guards against daemons that activate an outdated or older state or
// stay behind while the store is down. Each script is a list of events; the
// transcript adds the commands and the daemon's status after each event.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			got := transcript(t, string(archive.Files[0].Data))
			if *update {
				archive.Files[0].Data = []byte(got)
				if err := os.WriteFile(path, txtar.Format(archive), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			if want := string(archive.Files[0].Data); got != want {
				t.Errorf("got:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

// transcript runs the events of a script and returns it with their output. Lines
// that start with a space are output of an earlier run and are ignored.
func transcript(t *testing.T, script string) string {
	t.Helper()
	var out strings.Builder
	model := lwtstatesync.New(epoch)
	var activated int64
	for line := range strings.Lines(script) {
		if strings.HasPrefix(line, " ") {
			continue
		}
		out.WriteString(line)
		at, event, _ := strings.Cut(strings.TrimSpace(line), " ")
		after, err := time.ParseDuration(at)
		if err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		now := epoch.Add(after)
		var cmds []lwtstatesync.Cmd
		model, cmds = model.Update(now, parseEvent(t, now, event))
		for _, cmd := range cmds {
			fmt.Fprintf(&out, "  %s\n", describe(cmd))
			if activate, found := cmd.(lwtstatesync.Activate); found {
				if activate.State.Revision <= activated {
					t.Errorf("line %q: revision %d activated after %d", line, activate.State.Revision, activated)
				}
				activated = activate.State.Revision
			}
		}
		fmt.Fprintf(&out, "  = %s\n", status(now, model))
	}
	return out.String()
}

func status(now time.Time, model lwtstatesync.Model) string {
	applied, seen := model.Revisions()
	text := fmt.Sprintf("held %d seen %d", applied, seen)
	if _, ok := model.State(); !ok {
		text += " not in force"
	}
	if age, known := model.Staleness(now); known {
		text += fmt.Sprintf(" age %s", age)
	}
	return text
}

// parseEvent parses an event: its name, followed by key=value arguments.
func parseEvent(t *testing.T, now time.Time, event string) lwtstatesync.Msg {
	t.Helper()
	words := strings.Fields(event)
	args := map[string]string{}
	for _, word := range words[1:] {
		key, value, _ := strings.Cut(word, "=")
		args[key] = value
	}
	integer := func(key string) int64 {
		value, err := strconv.ParseInt("0"+args[key], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	switch words[0] {
	case "tick":
		return lwtstatesync.Tick{MemberCount: int(integer("members")), Random: 0.5}
	case "head":
		return lwtstatesync.HeadRead{Head: head(integer("number"), integer("snapshot")), SentAt: now}
	case "head-failed":
		return lwtstatesync.HeadReadFailed{}
	case "loaded":
		return lwtstatesync.StoreRead{Snapshot: state(integer("state")), Records: records(args["records"])}
	case "load-failed":
		return lwtstatesync.StoreReadFailed{}
	case "told":
		told := lwtstatesync.Told{
			Member: args["by"], Revision: integer("number"),
			Records: records(args["records"]), State: state(integer("state")),
		}
		if args["age"] != "" {
			told.AsOf = now.Add(-time.Duration(integer("age")) * time.Second)
		}
		return told
	case "asked":
		return lwtstatesync.Asked{Member: args["by"], After: integer("after"), OnlyRevision: args["only"] == "number"}
	case "accepted":
		revision := integer("number")
		return lwtstatesync.TicketAccepted{Head: head(revision, 0), Record: record(revision)}
	}
	t.Fatalf("unknown event %q", event)
	return nil
}

func head(revision, snapshot int64) lwtticket.Head {
	return lwtticket.Head{Revision: revision, Snapshot: lwtticket.SnapshotRef{Revision: snapshot, Hash: "hash"}}
}

func record(revision int64) lwtticket.Record {
	return lwtticket.Record{Change: lwtdeclaredstate.Change{Revision: revision}}
}

func records(interval string) []lwtticket.Record {
	var first, last int64
	if _, err := fmt.Sscanf(interval, "%d-%d", &first, &last); err != nil {
		return nil
	}
	var all []lwtticket.Record
	for ; first <= last; first++ {
		all = append(all, record(first))
	}
	return all
}

func state(revision int64) *lwtdeclaredstate.State {
	if revision == 0 {
		return nil
	}
	return &lwtdeclaredstate.State{Revision: revision}
}

func formatRecords(records []lwtticket.Record) string {
	if len(records) == 0 {
		return ""
	}
	return fmt.Sprintf(" records=%d-%d", records[0].Change.Revision, records[len(records)-1].Change.Revision)
}

func describe(cmd lwtstatesync.Cmd) string {
	switch cmd := cmd.(type) {
	case lwtstatesync.ReadHead:
		return "read head"
	case lwtstatesync.ReadStore:
		text := "read store"
		if cmd.Plan.Snapshot != nil {
			text += fmt.Sprintf(" snapshot %d", cmd.Plan.Snapshot.Revision)
		}
		if tickets := cmd.Plan.Tickets; len(tickets) > 0 {
			text += fmt.Sprintf(" tickets %d-%d", tickets[0], tickets[len(tickets)-1])
		}
		return text
	case lwtstatesync.Ask:
		if cmd.Member == "" {
			return "ask all"
		}
		return fmt.Sprintf("ask %s after %d", cmd.Member, cmd.After)
	case lwtstatesync.Tell:
		return fmt.Sprintf("tell members=%d number=%d%s", cmd.Fanout, cmd.Revision, formatRecords(cmd.Records))
	case lwtstatesync.Answer:
		text := fmt.Sprintf("answer %s number=%d%s", cmd.Member, cmd.Revision, formatRecords(cmd.Records))
		if cmd.State != nil {
			text += fmt.Sprintf(" state=%d", cmd.State.Revision)
		}
		return text
	case lwtstatesync.Activate:
		return fmt.Sprintf("force %d", cmd.State.Revision)
	}
	return fmt.Sprintf("unknown command %T", cmd)
}

// TestIntervalKeepsTheFleetUnderItsReads guards against polling that exceeds the
// store's read budget in a large fleet.
func TestIntervalKeepsTheFleetUnderItsReads(t *testing.T) {
	for memberCount := 1; memberCount <= 400; memberCount++ {
		interval := lwtstatesync.PollInterval(memberCount)
		if interval < 500*time.Millisecond || interval > 10*time.Second {
			t.Fatalf("%d members: interval %s", memberCount, interval)
		}
		if reads := float64(memberCount) / interval.Seconds(); reads > 40.001 {
			t.Fatalf("%d members: %.1f reads/s", memberCount, reads)
		}
	}
}

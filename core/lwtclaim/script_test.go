package lwtclaim_test

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

	"lacewingtide/core/lwtclaim"
)

var update = flag.Bool("update", false, "write the results of scripts to their files")

// script runs the lines of a script against one model:
//
//	at TIME
//	open KEY NONCE HASH
//	done KEY NONCE | release KEY NONCE | forget KEY NONCE
//	committed BATCH VERSION | lost BATCH | tick
//	conflicted BATCH KEY@VERSION:STATE:NONCE:HASH ...
//
// The command done sends Finish, forget sends LeaveOpen, and lost sends
// CommitUnknown. The output shows each OpenResult as answer and each ScheduleTick
// as wake.
type script struct {
	start, now time.Time
	model      lwtclaim.Model
	output     strings.Builder
}

func (script *script) line(t *testing.T, line string) {
	t.Helper()
	words := strings.Fields(line)
	fmt.Fprintf(&script.output, "%s\n", line)
	if words[0] == "at" {
		offset, err := time.ParseDuration(words[1])
		if err != nil {
			t.Fatal(err)
		}
		script.now = script.start.Add(offset)
		return
	}
	var cmds []lwtclaim.Cmd
	script.model, cmds = script.model.Update(script.now, script.message(t, words))
	for _, cmd := range cmds {
		script.print(cmd)
	}
}

func (script *script) message(t *testing.T, words []string) lwtclaim.Msg {
	t.Helper()
	number := func(text string) uint64 {
		value, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	switch words[0] {
	case "open":
		return lwtclaim.Open{
			Key: words[1], Nonce: words[2], RequestHash: words[3], Deadline: script.now.Add(2500 * time.Millisecond),
		}
	case "done":
		response := lwtclaim.Response{Status: 201, Body: []byte(words[2])}
		return lwtclaim.Finish{Key: words[1], Nonce: words[2], Response: response}
	case "release":
		return lwtclaim.Release{Key: words[1], Nonce: words[2]}
	case "forget":
		return lwtclaim.LeaveOpen{Key: words[1], Nonce: words[2]}
	case "committed":
		return lwtclaim.Committed{Batch: number(words[1]), Version: int64(number(words[2]))}
	case "lost":
		return lwtclaim.CommitUnknown{Batch: number(words[1])}
	case "tick":
		return lwtclaim.Tick{}
	case "conflicted":
		return lwtclaim.Conflicted{Batch: number(words[1]), Rows: script.rows(words[2:], number)}
	}
	t.Fatalf("unknown line %q", words)
	return nil
}

func (script *script) rows(words []string, number func(string) uint64) []lwtclaim.StoredRow {
	var rows []lwtclaim.StoredRow
	for _, word := range words {
		key, rest, _ := strings.Cut(word, "@")
		fields := strings.Split(rest, ":")
		stored := lwtclaim.StoredRow{Key: key, Version: int64(number(fields[0]))}
		if len(fields) == 4 {
			stored.Row = lwtclaim.Row{
				State: lwtclaim.State(fields[1]), Nonce: fields[2], RequestHash: fields[3], Opened: script.start,
			}
			if stored.Row.State == lwtclaim.StateDone {
				stored.Row.Response = &lwtclaim.Response{Status: 201, Body: []byte(fields[2])}
			}
		}
		rows = append(rows, stored)
	}
	return rows
}

func (script *script) print(cmd lwtclaim.Cmd) {
	switch cmd := cmd.(type) {
	case lwtclaim.Commit:
		fmt.Fprintf(&script.output, "  commit %d", cmd.Batch)
		for _, write := range cmd.Writes {
			fmt.Fprintf(&script.output, " %s@%d:%s:%s", write.Key, write.Version, write.Row.State, write.Row.Nonce)
		}
		fmt.Fprintln(&script.output)
	case lwtclaim.OpenResult:
		decision := []string{"granted", "not-run", "in-progress", "replay", "mismatch"}[cmd.Decision]
		fmt.Fprintf(&script.output, "  answer %s %s %s\n", cmd.Nonce, decision, cmd.Response.Body)
	case lwtclaim.Settled:
		fmt.Fprintf(&script.output, "  settled %s\n", cmd.Nonce)
	case lwtclaim.ScheduleTick:
		fmt.Fprintf(&script.output, "  wake %v\n", cmd.At.Sub(script.start))
	}
}

// TestScripts replays one script per failure that affects a claim, and guards
// against commands that differ from the recorded ones.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			start := time.Unix(1_000_000, 0)
			script := &script{start: start, now: start, model: lwtclaim.New("d1", lwtclaim.DefaultOptions())}
			for _, line := range strings.Split(strings.TrimSpace(string(archive.Files[0].Data)), "\n") {
				script.line(t, line)
			}
			got := script.output.String()
			if *update {
				archive.Files = append(archive.Files[:1], txtar.File{Name: "want", Data: []byte(got)})
				if err := os.WriteFile(path, txtar.Format(archive), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if want := string(archive.Files[1].Data); got != want {
				t.Errorf("got:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

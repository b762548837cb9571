package lwtticket_test

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
	"lacewingtide/core/lwtticket"
)

var update = flag.Bool("update", false, "rewrite the transcripts in the scripts")

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestScripts guards against operators who overwrite each other's changes,
// tickets that take effect twice, and wrong outcomes after the store fails. Each
// script runs submissions step by step against a store; the transcript adds each
// command and the one that follows it.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/submit/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			script := script{store: newStore(), operators: map[string]*operator{}, knownState: lwtdeclaredstate.New()}
			got := script.run(t, string(archive.Files[0].Data))
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

type script struct {
	store      *store
	operators  map[string]*operator
	knownState lwtdeclaredstate.State
	now        time.Duration
	transcript strings.Builder
}

func (script *script) run(t *testing.T, text string) string {
	t.Helper()
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, " ") {
			continue
		}
		script.transcript.WriteString(line)
		words := strings.Fields(line)
		if err := script.execute(words[0], words[1:]); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
	}
	return script.transcript.String()
}

// execute executes one line: an operator's action or a change of the store.
func (script *script) execute(verb string, args []string) error {
	now := epoch.Add(script.now)
	switch verb {
	case "at":
		after, err := time.ParseDuration(args[0])
		script.now = after
		return err
	case "store":
		script.store.unavailable, script.store.losesResponses = args[0] == "down", args[0] == "mute"
	case "hold":
		script.knownState = script.store.state()
	case "arrive":
		script.store.deliverDelayedCommits()
		script.print("head %d", script.store.head.Revision)
	case "submit":
		return script.submit(now, args)
	case "give-up":
		script.operators[args[0]].timeOut(now, script.store)
		script.print("next %s", describe(script.operators[args[0]].next))
	case "step":
		script.step(now, args[0])
	case "finish":
		for script.operators[args[0]].result == nil {
			script.step(now, args[0])
			script.now += waitTime(script.operators[args[0]].next)
			now = epoch.Add(script.now)
		}
	default:
		return fmt.Errorf("unknown verb")
	}
	return nil
}

// submit starts a submission with the arguments NAME base=N OBJECT... and an
// optional id=WRITE-ID, which defaults to NAME.
func (script *script) submit(now time.Time, args []string) error {
	request := lwtticket.Request{WriteID: args[0], Operator: args[0], Deadline: now.Add(10 * time.Second)}
	var base int64
	var names []string
	for _, arg := range args[1:] {
		key, value, found := strings.Cut(arg, "=")
		switch {
		case found && key == "id":
			request.WriteID = value
		case found:
			var err error
			if base, err = strconv.ParseInt(value, 10, 64); err != nil {
				return err
			}
		default:
			names = append(names, arg)
		}
	}
	request.Ticket = serviceTicket(base, names...)
	script.operators[args[0]] = newOperator(now, request, script.knownState)
	return nil
}

func (script *script) step(now time.Time, name string) {
	operator := script.operators[name]
	cmd := operator.next
	operator.step(now, script.store)
	script.print("%s: %s -> %s", name, describe(cmd), describe(operator.next))
}

func (script *script) print(format string, args ...any) {
	fmt.Fprintf(&script.transcript, "  "+format+"\n", args...)
}

func waitTime(cmd lwtticket.Cmd) time.Duration {
	if wait, found := cmd.(lwtticket.Wait); found {
		return wait.For
	}
	return 0
}

func describe(cmd lwtticket.Cmd) string {
	switch cmd := cmd.(type) {
	case lwtticket.ReadHead:
		return "read head"
	case lwtticket.ReadIdempotencyRecord:
		return "read write id"
	case lwtticket.LoadState:
		return fmt.Sprintf("load %d to %d", cmd.From.Revision, cmd.Head.Revision)
	case lwtticket.StoreSnapshot:
		return "store snapshot"
	case lwtticket.Commit:
		return fmt.Sprintf("commit %d snapshot %d", cmd.Head.Revision, cmd.Head.Snapshot.Revision)
	case lwtticket.Wait:
		return fmt.Sprintf("wait %s", cmd.For)
	case lwtticket.Done:
		text := fmt.Sprintf("%s %d", cmd.Result.Outcome, cmd.Result.Revision)
		if conflict := cmd.Result.Conflict; conflict != nil {
			return text + fmt.Sprintf(" conflict object=%s ticket=%d", conflict.Object, conflict.Revision)
		}
		return strings.TrimSpace(text + " " + cmd.Result.Reason)
	}
	return fmt.Sprintf("unknown command %T", cmd)
}

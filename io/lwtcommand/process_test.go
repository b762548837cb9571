package lwtcommand_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"lacewingtide/io/lwtentry"
	"lacewingtide/io/lwtoperator"
	"lacewingtide/io/lwtstandin"
)

const (
	processCallerKey   = "process-caller-key"
	processOperatorKey = "process-operator-key"
)

// processes runs the lacewingtide binary in separate processes.
type processes struct {
	t         *testing.T
	binary    string
	directory string
}

func newProcesses(t *testing.T) processes {
	t.Helper()
	directory := t.TempDir()
	binary := filepath.Join(directory, "lacewingtide")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "lacewingtide").
		CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return processes{t: t, binary: binary, directory: directory}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// start runs a command until the test ends. The command must then exit with
// status 0 on SIGTERM.
func (processes processes) start(args ...string) {
	processes.t.Helper()
	var log bytes.Buffer
	command := exec.Command(processes.binary, args...)
	command.Stderr = &log
	if err := command.Start(); err != nil {
		processes.t.Fatal(err)
	}
	processes.t.Cleanup(func() {
		if err := command.Process.Signal(syscall.SIGTERM); err != nil {
			processes.t.Error(err)
		}
		if err := command.Wait(); err != nil {
			processes.t.Errorf("%v: %v\n%s", args, err, &log)
		}
	})
}

// run runs a command to completion and returns its combined output.
func (processes processes) run(args ...string) (string, error) {
	command := exec.CommandContext(processes.t.Context(), processes.binary, args...)
	command.Env = append(os.Environ(), "LACEWINGTIDE_OPERATOR_KEY="+processOperatorKey)
	out, err := command.CombinedOutput()
	return string(out), err
}

func (processes processes) write(name, content string) string {
	processes.t.Helper()
	path := filepath.Join(processes.directory, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		processes.t.Fatal(err)
	}
	return path
}

// TestSeparateProcesses guards against a request path that only works when all
// parts share one process. Platform, engine and daemon run as separate processes,
// a ticket is submitted on the command line, and a completion must succeed.
func TestSeparateProcesses(t *testing.T) {
	processes := newProcesses(t)
	platform, engine := freeAddress(t), freeAddress(t)
	entry, peer, operator := freeAddress(t), freeAddress(t), freeAddress(t)
	processes.start("stand-in", "platform", "--address", platform)
	processes.start("stand-in", "engine", "--address", engine, "--name", "e1", "--model", "m")
	processes.start("serve", "--settings", processes.write("settings.toml", fmt.Sprintf(`
name = "entry-1"
availability-zone = "zone-a"
entry-address = %q
peer-address = %q
operator-address = %q
peer-key = "0123456789abcdef"
operator-key-hashes = [%q]
[platform]
address = %q
[addresses]
keep = "100ms"
drain = "2.1s"
`, entry, peer, operator, lwtoperator.HashKey(processOperatorKey), platform)))
	ticket := processes.write("ticket.toml", fmt.Sprintf(`
base = 0
[[model]]
name = "m"
version = "1"
memory-blocks = 10
[[engine]]
name = "e1"
address = %q
availability-zone = "zone-a"
group = "g1"
role = "mixed"
models = ["m"]
memory-blocks = 100
checks-fencing = true
[[caller]]
name = "c1"
key-hash = %q
models = ["m"]
`, engine, lwtentry.HashKey(processCallerKey)))
	processes.await(func() error {
		out, err := processes.run("ticket", "submit", "--daemon", operator, ticket)
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
	processes.await(func() error { return sendCompletion(t, entry) })
	for _, args := range [][]string{
		{"status", "--daemon", operator},
		{"ticket", "show", "--daemon", operator, "1"},
		{"ticket", "list", "--daemon", operator},
		{"report", "--daemon", operator, "--html", filepath.Join(processes.directory, "burn.html")},
	} {
		if out, err := processes.run(args...); err != nil {
			t.Errorf("%v: %v\n%s", args, err, out)
		}
	}
}

func sendCompletion(t *testing.T, entry string) error {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+entry+"/v1/chat/completions",
		strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":5}`))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+processCallerKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	if _, err := body.ReadFrom(response.Body); err != nil {
		return err
	}
	if !strings.Contains(body.String(), strings.TrimSpace(lwtstandin.Answer("hello", 5))) {
		return fmt.Errorf("status %d: %s", response.StatusCode, &body)
	}
	return nil
}

// await repeats a step until it succeeds, up to 200 times.
func (processes processes) await(step func() error) {
	processes.t.Helper()
	var err error
	for range 200 {
		if err = step(); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	processes.t.Fatal(err)
}

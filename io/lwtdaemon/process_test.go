package lwtdaemon_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lacewingtide/io/lwtclient"
	"lacewingtide/io/lwtstandin"
)

// process is a daemon that runs as a process of its own.
type process struct {
	*exec.Cmd
	entry string
	mutex sync.Mutex
	// traffic is the last log line about the traffic between daemons.
	traffic string
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(tb testing.TB) string {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// startProcesses starts daemons that know each other by their settings.
func startProcesses(tb testing.TB, count int, platform, more string) []*process {
	tb.Helper()
	entries, peers := make([]string, count), make([]string, count)
	for i := range count {
		entries[i], peers[i] = freeAddress(tb), freeAddress(tb)
	}
	processes := make([]*process, count)
	for i := range count {
		settings := fmt.Sprintf("name = 'd%d'\navailability-zone = 'test-%d'\nentry-address = '%s'\n"+
			"peer-address = '%s'\noperator-address = '%s'\npeers = ['%s']\npeer-key = '0123456789abcdef'\n"+
			"log-level = 'debug'\n%s[platform]\naddress = '%s'\n",
			i, i, entries[i], peers[i], freeAddress(tb), strings.Join(peers, "','"), more, platform)
		path := filepath.Join(tb.TempDir(), "settings.toml")
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			tb.Fatal(err)
		}
		processes[i] = startProcess(tb, entries[i], path)
	}
	return processes
}

func startProcess(tb testing.TB, entry, settings string) *process {
	tb.Helper()
	process := &process{Cmd: exec.Command(os.Args[0], "serve", "--settings", settings), entry: entry}
	process.Env = append(os.Environ(), serveVariable+"=1")
	output, err := process.StderrPipe()
	if err != nil {
		tb.Fatal(err)
	}
	if err := process.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _, _ = process.Process.Kill(), process.Wait() })
	go process.read(output)
	return process
}

func (process *process) read(output io.Reader) {
	scanner := bufio.NewScanner(output)
	for scanner.Scan() {
		if strings.Contains(scanner.Text(), "event=peer-traffic") {
			process.mutex.Lock()
			process.traffic = scanner.Text()
			process.mutex.Unlock()
		}
	}
}

// TestKilledDaemonIsReplacedAtOnce guards against callers who wait when their
// daemon is killed: lookups go on within 1 s, and a running stream goes on at
// another daemon without a token lost or repeated.
func TestKilledDaemonIsReplacedAtOnce(t *testing.T) {
	const tokens = 300
	processes := startProcesses(t, 3, newBackend(t).platform, "")
	for _, process := range processes {
		waitFor(t, "addresses", func() bool { return len(entryAddresses(t, process.entry)) == 3 })
	}
	client := lwtclient.New(lwtclient.Options{Addresses: []string{processes[0].entry}, Key: callerKey})
	t.Cleanup(client.Close)
	lookup := lwtclient.Request{Method: http.MethodGet, Path: "/services/shop/stock?item=x", Idempotent: true}
	if _, err := client.Do(t.Context(), lookup); err != nil {
		t.Fatal(err)
	}
	stream, err := client.Stream(t.Context(), fmt.Appendf(nil,
		`{"model":"m","messages":[{"role":"user","content":"long"}],"max_tokens":%d,"stream":true}`, tokens), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	var text strings.Builder
	for event := 0; ; event++ {
		data, err := stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		text.WriteString(eventText(t, string(data)))
		if event == tokens/3 {
			killAndLookUp(t, processes[0], client, lookup)
		}
	}
	if stream.ResumeCount() != 1 || text.String() != lwtstandin.Answer("long", tokens) {
		t.Errorf("taken up %d times, text %q", stream.ResumeCount(), text.String())
	}
}

func killAndLookUp(t *testing.T, process *process, client *lwtclient.Client, lookup lwtclient.Request) {
	t.Helper()
	if err := process.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if _, err := client.Do(context.Background(), lookup); err != nil {
		t.Fatal(err)
	}
	took := time.Since(began)
	t.Logf("served again after %s", took)
	if took > time.Second {
		t.Errorf("served again after %s", took)
	}
}

// TestTerminatedDaemonExitsWithZero guards against a shutdown that fails, or
// that ends before the drain time.
func TestTerminatedDaemonExitsWithZero(t *testing.T) {
	process := startProcesses(t, 1, newBackend(t).platform, "[addresses]\nkeep = '100ms'\ndrain = '2100ms'\n")[0]
	waitFor(t, "ready", func() bool { return len(entryAddresses(t, process.entry)) == 1 })
	began := time.Now()
	if err := process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := process.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if took := time.Since(began); took < 2100*time.Millisecond {
		t.Errorf("ended after %s", took)
	}
}

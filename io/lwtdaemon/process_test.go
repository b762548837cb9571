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

// process is a daemon in a separate process.
type process struct {
	*exec.Cmd
	entry string
	mutex sync.Mutex
	// trafficLine is the last log line about the peer traffic.
	trafficLine string
}

// freeAddress returns a loopback address that no process listens on.
func freeAddress(tb testing.TB) string {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// startProcesses starts daemons whose settings list each other as peers.
func startProcesses(tb testing.TB, count int, platform, extraSettings string) []*process {
	tb.Helper()
	entryAddresses, peers := make([]string, count), make([]string, count)
	for i := range count {
		entryAddresses[i], peers[i] = freeAddress(tb), freeAddress(tb)
	}
	processes := make([]*process, count)
	for i := range count {
		settings := fmt.Sprintf("name = 'd%d'\navailability-zone = 'test-%d'\nentry-address = '%s'\n"+
			"peer-address = '%s'\noperator-address = '%s'\npeers = ['%s']\npeer-key = '0123456789abcdef'\n"+
			"log-level = 'debug'\n%s[platform]\naddress = '%s'\n",
			i, i, entryAddresses[i], peers[i], freeAddress(tb), strings.Join(peers, "','"), extraSettings, platform)
		path := filepath.Join(tb.TempDir(), "settings.toml")
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			tb.Fatal(err)
		}
		processes[i] = startProcess(tb, entryAddresses[i], path)
	}
	return processes
}

func startProcess(tb testing.TB, entry, settings string) *process {
	tb.Helper()
	process := &process{Cmd: exec.Command(os.Args[0], "serve", "--settings", settings), entry: entry}
	process.Env = append(os.Environ(), commandVariable+"=1")
	output, err := process.StderrPipe()
	if err != nil {
		tb.Fatal(err)
	}
	if err := process.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _, _ = process.Process.Kill(), process.Wait() })
	go process.scanLog(output)
	return process
}

func (process *process) scanLog(output io.Reader) {
	scanner := bufio.NewScanner(output)
	for scanner.Scan() {
		if strings.Contains(scanner.Text(), "event=peer-traffic") {
			process.mutex.Lock()
			process.trafficLine = scanner.Text()
			process.mutex.Unlock()
		}
	}
}

// TestKilledDaemonIsReplacedAtOnce guards against callers that are blocked when their
// daemon is killed. Lookups must succeed again within 1 s, and an active stream must
// resume at another daemon without lost or repeated tokens.
func TestKilledDaemonIsReplacedAtOnce(t *testing.T) {
	const tokens = 300
	processes := startProcesses(t, 3, newTestBackend(t).platform, "")
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
		t.Errorf("resumed %d times with the text %q, want once with the whole text", stream.ResumeCount(), text.String())
	}
}

func killAndLookUp(t *testing.T, process *process, client *lwtclient.Client, lookup lwtclient.Request) {
	t.Helper()
	if err := process.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if _, err := client.Do(context.Background(), lookup); err != nil {
		t.Fatal(err)
	}
	elapsed := time.Since(start)
	t.Logf("served again after %s", elapsed)
	if elapsed > time.Second {
		t.Errorf("served again after %s, want at most 1 s", elapsed)
	}
}

// TestTerminatedDaemonExitsWithZero guards against a shutdown on SIGTERM that fails or
// ends before the drain time.
func TestTerminatedDaemonExitsWithZero(t *testing.T) {
	process := startProcesses(t, 1, newTestBackend(t).platform, "[addresses]\nkeep = '100ms'\ndrain = '2100ms'\n")[0]
	waitFor(t, "ready", func() bool { return len(entryAddresses(t, process.entry)) == 1 })
	start := time.Now()
	if err := process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := process.Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v, want status 0", err)
	}
	if elapsed := time.Since(start); elapsed < 2100*time.Millisecond {
		t.Errorf("ended after %s, want at least the drain time of 2.1 s", elapsed)
	}
}

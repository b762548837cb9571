package lwtdaemon_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtdaemon"
	"lacewingtide/io/lwtentry"
	"lacewingtide/io/lwtsetting"
	"lacewingtide/io/lwtstandin"
)

const (
	relayStreams = 1000
	relayTokens  = 200
	relayEngines = 8
	// relayCallers is the number of callers that share the daemon's slots. A single
	// caller could not have all streams in flight.
	relayCallers = 4
	// relayBlocks is sufficient memory for all streams at once.
	relayBlocks = 2048
)

// relayFleet is one daemon with several engines that add a timestamp to each event.
type relayFleet struct {
	entry   string
	engines []string
	client  *http.Client
}

func newRelayFleet(b *testing.B, step, stagger time.Duration) *relayFleet {
	b.Helper()
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	fleet := &relayFleet{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: relayStreams}}}
	change := lwtdeclaredstate.Change{
		Revision: 1,
		Models:   []lwtdeclaredstate.Model{{Name: "m", Version: "1"}},
	}
	for i := range relayCallers {
		key := callerKey + strconv.Itoa(i)
		change.Callers = append(change.Callers,
			lwtdeclaredstate.Caller{Name: "c" + key, KeyHash: lwtentry.HashKey(key), Models: []string{"m"}})
	}
	for i := range relayEngines {
		options := lwtstandin.DefaultEngineOptions(fmt.Sprintf("e%d", i), "m")
		options.MemoryBlocks = relayBlocks
		options.TimestampEvents, options.StepTime, options.MaxRunning, options.PrefillRate = true, step, relayStreams, 1e9
		engine, listener := lwtstandin.NewEngine(options, 1), listen(b)
		go func() { _ = engine.Serve(listener) }()
		go func() {
			time.Sleep(time.Duration(i) * stagger)
			_ = engine.Run(ctx)
		}()
		fleet.engines = append(fleet.engines, listener.Addr().String())
		change.Engines = append(change.Engines, lwtdeclaredstate.Engine{
			Name: options.Name, Address: listener.Addr().String(), Role: lwtdeclaredstate.RoleMixed, Models: []string{"m"},
			MemoryBlocks: relayBlocks,
		})
	}
	fleet.entry = startDaemon(ctx, b, change)
	return fleet
}

func startDaemon(ctx context.Context, tb testing.TB, change lwtdeclaredstate.Change) string {
	tb.Helper()
	platform, platformListener := lwtstandin.NewPlatform(), listen(tb)
	go func() { _ = platform.Serve(platformListener) }()
	if err := platform.Declare(change); err != nil {
		tb.Fatal(err)
	}
	listeners := lwtdaemon.Listeners{Entry: listen(tb), Peer: listen(tb), Operator: listen(tb)}
	settings := lwtsetting.Default()
	settings.Name, settings.AvailabilityZone = "d1", "z1"
	settings.EntryAddress = listeners.Entry.Addr().String()
	settings.PeerKey = "0123456789abcdef"
	settings.Platform.Address = platformListener.Addr().String()
	daemon, err := lwtdaemon.New(settings, listeners, log.NewNopLogger())
	if err != nil {
		tb.Fatal(err)
	}
	go func() { _ = daemon.Run(ctx) }()
	for range 200 {
		if _, known := daemon.State(); known {
			return settings.EntryAddress
		}
		time.Sleep(10 * time.Millisecond)
	}
	tb.Fatal("the daemon never became ready")
	return ""
}

// latencies contains the times in nanoseconds from the engine's write of an event to
// its receipt at the client.
type latencies struct {
	mutex    sync.Mutex
	first    *hdrhistogram.Histogram
	other    *hdrhistogram.Histogram
	tokens   int
	duration time.Duration
	cpu      time.Duration
}

func newLatencies() *latencies {
	const maxValue, significantDigits = int64(time.Minute), 3
	return &latencies{
		first: hdrhistogram.New(1, maxValue, significantDigits), other: hdrhistogram.New(1, maxValue, significantDigits),
	}
}

// run reads relayStreams streams concurrently, through the daemon if relayed, otherwise
// directly from the engines.
func (fleet *relayFleet) run(b *testing.B, relayed bool) *latencies {
	b.Helper()
	latencies := newLatencies()
	var group sync.WaitGroup
	start, usage := time.Now(), processTime(b)
	for i := range relayStreams {
		address := fleet.engines[i%len(fleet.engines)]
		if relayed {
			address = fleet.entry
		}
		id, key := strconv.Itoa(i)+strconv.FormatInt(start.UnixNano(), 36), callerKey+strconv.Itoa(i%relayCallers)
		group.Go(func() { fleet.read(b, address, key, id, latencies) })
	}
	group.Wait()
	latencies.duration, latencies.cpu = time.Since(start), processTime(b)-usage
	return latencies
}

func (fleet *relayFleet) read(b *testing.B, address, key, id string, latencies *latencies) {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`,
		id, relayTokens)
	request, err := http.NewRequestWithContext(b.Context(), http.MethodPost,
		"http://"+address+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		b.Error(err)
		return
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Engine-Request", id)
	response, err := fleet.client.Do(request)
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		b.Errorf("stream %s: status %d: %s", id, response.StatusCode, body)
		return
	}
	scanner, events := bufio.NewScanner(response.Body), 0
	for scanner.Scan() {
		if written, found := writtenAt(scanner.Bytes()); found {
			latencies.record(events == 0, time.Now().UnixNano()-written)
			events++
		}
	}
	if events != relayTokens {
		b.Errorf("stream %s had %d tokens, want %d", id, events, relayTokens)
	}
}

func (latencies *latencies) record(first bool, latency int64) {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	histogram := latencies.other
	if first {
		histogram = latencies.first
	}
	latencies.tokens++
	// A clock step can make a latency negative. It is recorded as the minimum.
	_ = histogram.RecordValue(max(1, latency))
}

func writtenAt(line []byte) (int64, bool) {
	_, rest, found := bytes.Cut(line, []byte(`{"written":`))
	if !found {
		return 0, false
	}
	digits, _, _ := bytes.Cut(rest, []byte(","))
	written, err := strconv.ParseInt(string(digits), 10, 64)
	return written, err == nil
}

func processTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRelayDelay measures the latency that a daemon adds: it reads 1,000 streams
// at 50 tokens/s each directly from the engines and through one daemon. Engines that
// step at the same time send their events in bursts of 1,000.
func BenchmarkRelayDelay(b *testing.B) {
	const step = 20 * time.Millisecond
	for name, stagger := range map[string]time.Duration{"steps=together": 0, "steps=spread": step / relayEngines} {
		b.Run(name, func(b *testing.B) {
			fleet := newRelayFleet(b, step, stagger)
			for b.Loop() {
				reportLatencies(b, fleet.run(b, false), fleet.run(b, true))
			}
		})
	}
}

func reportLatencies(b *testing.B, direct, relayed *latencies) {
	for _, quantile := range []float64{50, 99} {
		report := func(name string, nanoseconds int64) {
			b.ReportMetric(float64(nanoseconds)/1e3, fmt.Sprintf("%s-p%g-us", name, quantile))
		}
		report("direct-first", direct.first.ValueAtQuantile(quantile))
		report("direct-between", direct.other.ValueAtQuantile(quantile))
		report("added-first", relayed.first.ValueAtQuantile(quantile)-direct.first.ValueAtQuantile(quantile))
		report("added-between", relayed.other.ValueAtQuantile(quantile)-direct.other.ValueAtQuantile(quantile))
	}
}

// BenchmarkRelayThroughput measures the throughput of 1,000 streams through one daemon,
// with the engines, the daemon and the client in this process at full speed.
func BenchmarkRelayThroughput(b *testing.B) {
	fleet := newRelayFleet(b, time.Microsecond, 0)
	for b.Loop() {
		direct, relayed := fleet.run(b, false), fleet.run(b, true)
		b.ReportMetric(float64(relayed.tokens)/relayed.duration.Seconds(), "tokens/s")
		cost := relayed.cpu.Seconds()/float64(relayed.tokens) - direct.cpu.Seconds()/float64(direct.tokens)
		b.ReportMetric(1/cost, "tokens/s/core")
	}
}

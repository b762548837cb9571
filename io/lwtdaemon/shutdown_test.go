package lwtdaemon_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtaddress"
	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtclient"
	"lacewingtide/io/lwtdaemon"
	"lacewingtide/io/lwtsetting"
	"lacewingtide/io/lwtstandin"
)

const (
	shutdownFleets  = 10
	shutdownRounds  = 5
	shutdownDaemons = 3
	shutdownTTL     = 500 * time.Millisecond
	// A completion of longTokens takes 3.6 s, more than the drain time of 2.5 s.
	longTokens  = 450
	shortTokens = 40
)

// rollingFleet is a fleet whose daemons are restarted one by one.
type rollingFleet struct {
	backend  testBackend
	settings []lwtsetting.Settings
	stops    []context.CancelFunc
	ended    []chan error
	released atomic.Int64

	streams, orders, lookups, newConnections atomic.Int64
}

// Release implements lwtdaemon.Releaser.
func (fleet *rollingFleet) Release(context.Context) error {
	fleet.released.Add(1)
	return nil
}

func newRollingFleet(t *testing.T) *rollingFleet {
	t.Helper()
	fleet := &rollingFleet{
		backend: newTestBackend(t),
		stops:   make([]context.CancelFunc, shutdownDaemons),
		ended:   make([]chan error, shutdownDaemons),
	}
	var listeners []lwtdaemon.Listeners
	for i := range shutdownDaemons {
		daemonListeners := lwtdaemon.Listeners{Entry: listen(t), Peer: listen(t), Operator: listen(t)}
		listeners = append(listeners, daemonListeners)
		settings := lwtsetting.Default()
		settings.Name, settings.AvailabilityZone = fmt.Sprint("d", i), fmt.Sprint("test-", i)
		settings.EntryAddress, settings.PeerAddress = daemonListeners.Entry.Addr().String(),
			daemonListeners.Peer.Addr().String()
		settings.OperatorAddress = daemonListeners.Operator.Addr().String()
		settings.PeerKey, settings.Platform.Address = "0123456789abcdef", fleet.backend.platform
		settings.Addresses.TTL = lwtdeclaredstate.Duration(shutdownTTL)
		settings.Addresses.DrainTime = lwtdeclaredstate.Duration(lwtaddress.DrainDuration(shutdownTTL))
		fleet.settings = append(fleet.settings, settings)
	}
	for i := range fleet.settings {
		for _, other := range fleet.settings {
			fleet.settings[i].Peers = append(fleet.settings[i].Peers, other.PeerAddress)
		}
		fleet.start(t, i, listeners[i])
	}
	fleet.awaitAllAddresses(t)
	return fleet
}

func (fleet *rollingFleet) start(t *testing.T, index int, listeners lwtdaemon.Listeners) {
	t.Helper()
	daemon, err := lwtdaemon.New(fleet.settings[index], listeners, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	daemon.AddReleaser(fleet)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	fleet.stops[index], fleet.ended[index] = stop, ended
	// Daemons that are still shutting down would slow down later tests.
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Errorf("the daemon shut down with an error: %v", err)
		}
	})
	go func() {
		defer close(ended)
		ended <- daemon.Run(ctx)
	}()
}

// awaitAllAddresses waits until each daemon returns the entry addresses of all daemons.
func (fleet *rollingFleet) awaitAllAddresses(t *testing.T) {
	t.Helper()
	for _, settings := range fleet.settings {
		waitFor(t, "all addresses at "+settings.Name, func() bool {
			return len(entryAddresses(t, settings.EntryAddress)) == shutdownDaemons
		})
	}
}

func entryAddresses(t *testing.T, entry string) []string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+entry+"/v1/entry-addresses", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Addresses []string `json:"entry-addresses"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil
	}
	return body.Addresses
}

func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 600 {
		if condition() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("condition not met within 30 s: %s", description)
}

// TestShutdownCutsNoRequest guards against requests that fail because a daemon shuts
// down. The callers use long streams, orders, lookups on connections that are idle in
// between, and new connections until the end of the drain time. The test runs 50
// shutdowns.
func TestShutdownCutsNoRequest(t *testing.T) {
	var totals [4]atomic.Int64
	t.Run("fleets", func(t *testing.T) {
		for i := range shutdownFleets {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				fleet := newRollingFleet(t)
				fleet.run(t)
				for i, count := range []*atomic.Int64{&fleet.streams, &fleet.orders, &fleet.lookups, &fleet.newConnections} {
					totals[i].Add(count.Load())
				}
			})
		}
	})
	t.Logf("%d shutdowns: %d streams, %d orders, %d lookups, %d new connections", shutdownFleets*shutdownRounds,
		totals[0].Load(), totals[1].Load(), totals[2].Load(), totals[3].Load())
}

func (fleet *rollingFleet) run(t *testing.T) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	client := lwtclient.New(lwtclient.Options{Addresses: []string{fleet.settings[0].EntryAddress}, Key: callerKey})
	t.Cleanup(client.Close)
	for index, call := range []func(*testing.T, *lwtclient.Client, int){
		fleet.callStream, fleet.callStream, fleet.callOrder, fleet.callLookup, fleet.callLookupAfterIdle,
	} {
		callers.Go(func() {
			for round := 0; !isClosed(stop); round++ {
				call(t, client, index*1_000_000+round)
			}
		})
	}
	func() {
		defer callers.Wait()
		defer close(stop)
		for round := range shutdownRounds {
			fleet.replace(t, round%shutdownDaemons)
		}
	}()
	if got := fleet.released.Load(); got != shutdownRounds {
		t.Errorf("%d releases, want %d", got, shutdownRounds)
	}
}

func isClosed(channel chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// replace shuts down one daemon and starts another one at its address.
func (fleet *rollingFleet) replace(t *testing.T, index int) {
	t.Helper()
	settings := fleet.settings[index]
	// The daemon's own drain time starts later than now, so it serves until then.
	drainEnd := time.Now().Add(settings.Addresses.DrainTime.Std())
	fleet.stops[index]()
	fleet.dialLeavingDaemon(t, settings.EntryAddress, drainEnd)
	select {
	case err := <-fleet.ended[index]:
		if err != nil {
			t.Errorf("the daemon shut down with an error: %v", err)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("the daemon did not end within 30 s")
	}
	next, err := lwtdaemon.Listen(settings)
	if err != nil {
		t.Fatal(err)
	}
	fleet.start(t, index, next)
	fleet.awaitAllAddresses(t)
}

// dialLeavingDaemon opens connections to a leaving daemon until the drain time ends. It
// checks that each connection is served.
func (fleet *rollingFleet) dialLeavingDaemon(t *testing.T, entry string, drainEnd time.Time) {
	t.Helper()
	for time.Now().Before(drainEnd) {
		conn, err := net.Dial("tcp", entry)
		if errors.Is(err, syscall.ECONNREFUSED) && !time.Now().Before(drainEnd) {
			return
		}
		if err != nil {
			t.Errorf("dial a leaving daemon: %v", err)
			return
		}
		fleet.newConnections.Add(1)
		_, err = fmt.Fprintf(conn, "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", callerKey)
		response, readErr := io.ReadAll(conn)
		_ = conn.Close()
		if err != nil || readErr != nil || !strings.Contains(string(response), `"id":"m"`) {
			t.Errorf("request to a leaving daemon: write error %v, read error %v, response %q; want the list of models",
				err, readErr, response)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (fleet *rollingFleet) callStream(t *testing.T, client *lwtclient.Client, number int) {
	tokens := shortTokens
	if number%2 == 0 {
		tokens = longTokens
	}
	prompt := fmt.Sprint("prompt ", number)
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`,
		prompt, tokens)
	stream, err := client.Stream(context.Background(), []byte(body), nil)
	if err != nil {
		t.Errorf("stream: %v", err)
		return
	}
	defer stream.Close()
	var text strings.Builder
	for {
		data, err := stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Errorf("stream: %v", err)
			return
		}
		text.WriteString(eventText(t, string(data)))
	}
	if stream.ResumeCount() > 0 {
		t.Errorf("a stream was interrupted and resumed, want no interruption")
	}
	if text.String() != lwtstandin.Answer(prompt, tokens) {
		t.Errorf("the completion of %q is incomplete: %q", prompt, text.String())
	}
	fleet.streams.Add(1)
}

func (fleet *rollingFleet) callOrder(t *testing.T, client *lwtclient.Client, number int) {
	order := fmt.Sprint("order-", number)
	_, err := client.Do(context.Background(), lwtclient.Request{
		Method: http.MethodPost, Path: "/services/shop/orders", Body: []byte(order),
	})
	if ran := fleet.backend.shop.OrderCounts()[order]; err != nil || ran != 1 {
		t.Errorf("order ran %d times, want once; error %v", ran, err)
	}
	fleet.orders.Add(1)
	time.Sleep(20 * time.Millisecond)
}

func (fleet *rollingFleet) callLookup(t *testing.T, client *lwtclient.Client, _ int) {
	// The request is not marked as idempotent, so that the client doesn't retry it
	// after an interruption.
	if _, err := client.Do(context.Background(), lwtclient.Request{
		Method: http.MethodGet, Path: "/services/shop/stock?item=seeds", ReuseConnection: true,
	}); err != nil {
		t.Errorf("lookup: %v", err)
	}
	fleet.lookups.Add(1)
	time.Sleep(5 * time.Millisecond)
}

// callLookupAfterIdle makes a lookup on a connection that was idle for longer than the
// TTL of entry addresses.
func (fleet *rollingFleet) callLookupAfterIdle(t *testing.T, client *lwtclient.Client, number int) {
	time.Sleep(shutdownTTL * 3 / 2)
	fleet.callLookup(t, client, number)
}

// TestLeavingDaemonLeavesTheAnswers guards against entry addresses that still include a
// daemon that is shutting down.
func TestLeavingDaemonLeavesTheAnswers(t *testing.T) {
	fleet := newRollingFleet(t)
	leavingAddress := fleet.settings[1].EntryAddress
	fleet.stops[1]()
	for _, settings := range fleet.settings {
		waitFor(t, "no address of the leaving daemon at "+settings.Name, func() bool {
			addresses := entryAddresses(t, settings.EntryAddress)
			return len(addresses) == shutdownDaemons-1 && !slices.Contains(addresses, leavingAddress)
		})
	}
}

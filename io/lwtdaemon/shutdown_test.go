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
	shutdownMembers = 3
	shutdownKeep    = 500 * time.Millisecond
	// longTokens take 3.6 s, more than the drain time of 2.5 s.
	longTokens  = 450
	shortTokens = 40
)

// rolling is a fleet whose daemons are shut down and replaced one by one.
type rolling struct {
	backend  backend
	settings []lwtsetting.Settings
	stops    []context.CancelFunc
	ended    []chan error
	released atomic.Int64

	streams, orders, lookups, fresh atomic.Int64
}

// Release implements lwtdaemon.Releaser.
func (rolling *rolling) Release(context.Context) error {
	rolling.released.Add(1)
	return nil
}

func newRolling(t *testing.T) *rolling {
	t.Helper()
	rolling := &rolling{
		backend: newBackend(t),
		stops:   make([]context.CancelFunc, shutdownMembers),
		ended:   make([]chan error, shutdownMembers),
	}
	var listeners []lwtdaemon.Listeners
	for i := range shutdownMembers {
		open := lwtdaemon.Listeners{Entry: listen(t), Peer: listen(t), Operator: listen(t)}
		listeners = append(listeners, open)
		settings := lwtsetting.Default()
		settings.Name, settings.AvailabilityZone = fmt.Sprint("d", i), fmt.Sprint("test-", i)
		settings.EntryAddress, settings.PeerAddress = open.Entry.Addr().String(), open.Peer.Addr().String()
		settings.OperatorAddress = open.Operator.Addr().String()
		settings.PeerKey, settings.Platform.Address = "0123456789abcdef", rolling.backend.platform
		settings.Addresses.TTL = lwtdeclaredstate.Duration(shutdownKeep)
		settings.Addresses.DrainTime = lwtdeclaredstate.Duration(lwtaddress.DrainDuration(shutdownKeep))
		rolling.settings = append(rolling.settings, settings)
	}
	for i := range rolling.settings {
		for _, other := range rolling.settings {
			rolling.settings[i].Peers = append(rolling.settings[i].Peers, other.PeerAddress)
		}
		rolling.start(t, i, listeners[i])
	}
	rolling.awaitAll(t)
	return rolling
}

func (rolling *rolling) start(t *testing.T, index int, listeners lwtdaemon.Listeners) {
	t.Helper()
	daemon, err := lwtdaemon.New(rolling.settings[index], listeners, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	daemon.AddReleaser(rolling)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	rolling.stops[index], rolling.ended[index] = stop, ended
	// Daemons that are still leaving would slow later tests down.
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Errorf("shutdown: %v", err)
		}
	})
	go func() {
		defer close(ended)
		ended <- daemon.Run(ctx)
	}()
}

// awaitAll waits until each daemon names all of them.
func (rolling *rolling) awaitAll(t *testing.T) {
	t.Helper()
	for _, settings := range rolling.settings {
		waitFor(t, "all addresses at "+settings.Name, func() bool {
			return len(entryAddresses(t, settings.EntryAddress)) == shutdownMembers
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

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 600 {
		if holds() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s: did not come about", what)
}

// TestShutdownCutsNoRequest guards against requests that break when a daemon
// leaves: long streams, orders, lookups on connections that are idle in
// between, and new connections up to the end of the drain time. It runs 50
// shutdowns.
func TestShutdownCutsNoRequest(t *testing.T) {
	var totals [4]atomic.Int64
	t.Run("fleets", func(t *testing.T) {
		for i := range shutdownFleets {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				rolling := newRolling(t)
				rolling.run(t)
				for i, count := range []*atomic.Int64{&rolling.streams, &rolling.orders, &rolling.lookups, &rolling.fresh} {
					totals[i].Add(count.Load())
				}
			})
		}
	})
	t.Logf("%d shutdowns: %d streams, %d orders, %d lookups, %d new connections", shutdownFleets*shutdownRounds,
		totals[0].Load(), totals[1].Load(), totals[2].Load(), totals[3].Load())
}

func (rolling *rolling) run(t *testing.T) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	client := lwtclient.New(lwtclient.Options{Addresses: []string{rolling.settings[0].EntryAddress}, Key: callerKey})
	t.Cleanup(client.Close)
	for index, call := range []func(*testing.T, *lwtclient.Client, int){
		rolling.stream, rolling.stream, rolling.order, rolling.lookup, rolling.lookupAfterPause,
	} {
		callers.Go(func() {
			for round := 0; !closed(stop); round++ {
				call(t, client, index*1_000_000+round)
			}
		})
	}
	func() {
		defer callers.Wait()
		defer close(stop)
		for round := range shutdownRounds {
			rolling.replace(t, round%shutdownMembers)
		}
	}()
	if got := rolling.released.Load(); got != shutdownRounds {
		t.Errorf("%d releases, want %d", got, shutdownRounds)
	}
}

func closed(stop chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// replace shuts one daemon down and starts another one at its address.
func (rolling *rolling) replace(t *testing.T, index int) {
	t.Helper()
	settings := rolling.settings[index]
	// The drain time counts from a moment after this one.
	served := time.Now().Add(settings.Addresses.DrainTime.Std())
	rolling.stops[index]()
	rolling.connect(t, settings.EntryAddress, served)
	select {
	case err := <-rolling.ended[index]:
		if err != nil {
			t.Errorf("shutdown: %v", err)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("the daemon did not end")
	}
	next, err := lwtdaemon.Listen(settings)
	if err != nil {
		t.Fatal(err)
	}
	rolling.start(t, index, next)
	rolling.awaitAll(t)
}

// connect opens connections to a leaving daemon until its drain time ends.
// Each that is opened must be served.
func (rolling *rolling) connect(t *testing.T, entry string, until time.Time) {
	t.Helper()
	for time.Now().Before(until) {
		conn, err := net.Dial("tcp", entry)
		if errors.Is(err, syscall.ECONNREFUSED) && !time.Now().Before(until) {
			return
		}
		if err != nil {
			t.Errorf("dial a leaving daemon: %v", err)
			return
		}
		rolling.fresh.Add(1)
		_, err = fmt.Fprintf(conn, "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", callerKey)
		answer, readErr := io.ReadAll(conn)
		_ = conn.Close()
		if err != nil || readErr != nil || !strings.Contains(string(answer), `"id":"m"`) {
			t.Errorf("connection to a leaving daemon was cut: %v, %v, %q", err, readErr, answer)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (rolling *rolling) stream(t *testing.T, client *lwtclient.Client, number int) {
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
		t.Errorf("a stream was cut and taken up again")
	}
	if text.String() != lwtstandin.Answer(prompt, tokens) {
		t.Errorf("the answer to %q is not whole: %q", prompt, text.String())
	}
	rolling.streams.Add(1)
}

func (rolling *rolling) order(t *testing.T, client *lwtclient.Client, number int) {
	order := fmt.Sprint("order-", number)
	_, err := client.Do(context.Background(), lwtclient.Request{
		Method: http.MethodPost, Path: "/services/shop/orders", Body: []byte(order),
	})
	if ran := rolling.backend.shop.OrderCounts()[order]; err != nil || ran != 1 {
		t.Errorf("order ran %d times, error %v", ran, err)
	}
	rolling.orders.Add(1)
	time.Sleep(20 * time.Millisecond)
}

func (rolling *rolling) lookup(t *testing.T, client *lwtclient.Client, _ int) {
	// Not marked as idempotent, so that the client does not hide a cut.
	if _, err := client.Do(context.Background(), lwtclient.Request{
		Method: http.MethodGet, Path: "/services/shop/stock?item=seeds", ReuseConnection: true,
	}); err != nil {
		t.Errorf("lookup: %v", err)
	}
	rolling.lookups.Add(1)
	time.Sleep(5 * time.Millisecond)
}

// lookupAfterPause leaves its connection idle for longer than the keep time.
func (rolling *rolling) lookupAfterPause(t *testing.T, client *lwtclient.Client, number int) {
	time.Sleep(shutdownKeep * 3 / 2)
	rolling.lookup(t, client, number)
}

// TestLeavingDaemonLeavesTheAnswers guards against callers that are still sent
// to a daemon that is leaving.
func TestLeavingDaemonLeavesTheAnswers(t *testing.T) {
	rolling := newRolling(t)
	leaving := rolling.settings[1].EntryAddress
	rolling.stops[1]()
	for _, settings := range rolling.settings {
		waitFor(t, "leaving daemon left out at "+settings.Name, func() bool {
			addresses := entryAddresses(t, settings.EntryAddress)
			return len(addresses) == shutdownMembers-1 && !slices.Contains(addresses, leaving)
		})
	}
}

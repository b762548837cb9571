package lwtpeer_test

import (
	"errors"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"

	"lacewingtide/io/lwtpeer"
	"lacewingtide/io/lwtstandin"
)

const key = "0123456789abcdef"

type node struct {
	*lwtpeer.Network
	address string
	got     chan string
}

func newNode(t *testing.T, name, key string, change func(*lwtpeer.Options)) node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	identity := lwtpeer.Identity{Name: name, Address: listener.Addr().String(), Boot: 1}
	options := lwtpeer.DefaultOptions(identity, []byte(key), log.NewNopLogger())
	if change != nil {
		change(&options)
	}
	node := node{lwtpeer.New(options), identity.Address, make(chan string, 1000)}
	node.Handle("text", func(from string, body []byte) {
		var text string
		if err := lwtpeer.Decode(body, &text); err != nil {
			t.Error(err)
		}
		node.got <- from + ":" + text
	})
	go func() { _ = node.Serve(listener) }()
	t.Cleanup(func() { node.Close(); _ = listener.Close() })
	return node
}

func (node node) want(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-node.got:
		if got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("nothing came, want %q", want)
	}
}

// TestMessagesGoBothWays guards against a message that is lost on a working
// connection, or that names the wrong sender.
func TestMessagesGoBothWays(t *testing.T) {
	a, b := newNode(t, "a", key, nil), newNode(t, "b", key, nil)
	a.SetDirectory(lwtpeer.StaticDirectory{"b": b.address})
	b.SetDirectory(lwtpeer.StaticDirectory{"a": a.address})
	if err := a.Send("b", "text", "one"); err != nil {
		t.Fatal(err)
	}
	b.want(t, "a:one")
	if err := b.Send("a", "text", "two"); err != nil {
		t.Fatal(err)
	}
	a.want(t, "b:two")
	if dials := b.Counters().Dials.Load(); dials != 0 {
		t.Errorf("the answer took %d dials, want the open connection", dials)
	}
	if err := a.Send("c", "text", "three"); !errors.Is(err, lwtpeer.ErrUnknownMember) {
		t.Errorf("error %v, want unknown member", err)
	}
	if got := a.Members(); !slices.Equal(got, []string{"b"}) {
		t.Errorf("members %v", got)
	}
}

// TestAnotherKeyIsRefused guards against a peer that does not know the key.
func TestAnotherKeyIsRefused(t *testing.T) {
	a, b := newNode(t, "a", "another-key-12345", nil), newNode(t, "b", key, nil)
	if err := a.SendTo(b.address, "text", "one"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool {
		return a.Counters().DialsFailed.Load() == 1 && b.Counters().ConnectionsRefused.Load() == 1
	})
	if err := a.SendTo(b.address, "text", "two"); !errors.Is(err, lwtpeer.ErrDropped) {
		t.Errorf("error %v right after a failed dial, want dropped", err)
	}
	if len(b.got) != 0 {
		t.Error("a message came through")
	}
}

// TestSilenceBound guards against options under which a silent connection is
// noticed later than 3 s, or under which a slow frame counts as silence.
func TestSilenceBound(t *testing.T) {
	options := lwtpeer.DefaultOptions(lwtpeer.Identity{}, []byte(key), log.NewNopLogger())
	if options.SilenceTimeout >= 3*time.Second || options.SilenceTimeout < 2*options.KeepAliveInterval {
		t.Errorf("silence counts as lost after %s, keep-alives come every %s",
			options.SilenceTimeout, options.KeepAliveInterval)
	}
}

// TestSilentConnectionIsReplaced guards against messages that go into a
// connection that has fallen silent for good while new ones work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, direction := range map[string]lwtstandin.Direction{
		"both ways": lwtstandin.BothDirections, "towards target": lwtstandin.TowardsTarget,
		"towards caller": lwtstandin.TowardsCaller,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newNode(t, "a", key, nil), newNode(t, "b", key, nil)
			relay, err := lwtstandin.NewBlackholeProxy(b.address)
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = relay.Serve() }()
			t.Cleanup(func() { _ = relay.Close() })
			if err := a.SendTo(relay.Address(), "text", "one"); err != nil {
				t.Fatal(err)
			}
			b.want(t, "a:one")
			began := time.Now()
			relay.Blackhole(direction)
			waitFor(t, func() bool {
				there, back := a.SendTo(relay.Address(), "text", "again"), b.SendTo(a.address, "text", "again")
				return there == nil && back == nil && len(b.got) > 0 && len(a.got) > 0
			})
			// The bound of 3 s is checked with 3 s to spare for a busy machine.
			if took := time.Since(began); took > 6*time.Second {
				t.Errorf("replaced after %s", took)
			}
			if a.Counters().SilenceTimeouts.Load()+b.Counters().SilenceTimeouts.Load() == 0 {
				t.Error("no side noticed the silence")
			}
		})
	}
}

// TestFullQueueDrops guards against memory that grows with a peer that reads
// nothing, and against a sender that blocks on it.
func TestFullQueueDrops(t *testing.T) {
	a := newNode(t, "a", key, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	const messages = 200
	dropped := int64(0)
	for range messages {
		if err := a.SendTo(listener.Addr().String(), "text", "one"); errors.Is(err, lwtpeer.ErrDropped) {
			dropped++
		}
	}
	if got := a.Counters().MessagesDropped.Load(); dropped == 0 || got != dropped {
		t.Errorf("%d messages dropped, %d counted", dropped, got)
	}
	if err := a.SendTo(listener.Addr().String(), "text", strings.Repeat("x", lwtpeer.MaxMessageBytes)); !errors.Is(err,
		lwtpeer.ErrTooLarge) {
		t.Errorf("error %v, want too large", err)
	}
}

// TestIdleConnectionIsKeptThenClosed guards against connections that are lost
// while unused for a moment, and against ones that stay for ever.
func TestIdleConnectionIsKeptThenClosed(t *testing.T) {
	a := newNode(t, "a", key, func(options *lwtpeer.Options) {
		options.KeepAliveInterval, options.SilenceTimeout = 50*time.Millisecond, 5*time.Second
		options.IdleTimeout = 500 * time.Millisecond
	})
	b := newNode(t, "b", key, func(options *lwtpeer.Options) { options.KeepAliveInterval = 50 * time.Millisecond })
	if err := a.SendTo(b.address, "text", "one"); err != nil {
		t.Fatal(err)
	}
	b.want(t, "a:one")
	waitFor(t, func() bool {
		return a.Counters().ConnectionsOpen.Load() == 0 && b.Counters().ConnectionsOpen.Load() == 0
	})
	if silent := a.Counters().SilenceTimeouts.Load() + b.Counters().SilenceTimeouts.Load(); silent != 0 {
		t.Errorf("%d connections counted as silent", silent)
	}
}

// TestEnvelopeVersions guards against peers of the next version, or with more
// fields, that can't be read while daemons are replaced one by one.
func TestEnvelopeVersions(t *testing.T) {
	encode := func(version int, extra bool) []byte {
		fields := map[int]any{1: version, 2: "text", 5: "body"}
		if extra {
			fields[99] = []string{"new"}
		}
		raw, err := cbor.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	for _, version := range []int{lwtpeer.ProtocolVersion - 1, lwtpeer.ProtocolVersion, lwtpeer.ProtocolVersion + 1} {
		if _, err := lwtpeer.DecodeEnvelope(encode(version, true)); err != nil {
			t.Errorf("version %d: %v", version, err)
		}
	}
	if _, err := lwtpeer.DecodeEnvelope(encode(lwtpeer.ProtocolVersion+2, false)); !errors.Is(err, lwtpeer.ErrVersionMismatch) {
		t.Errorf("error %v, want version", err)
	}
}

func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("it never came about")
}

// TestBroadcastReachesAllMembers guards against a member that is left out, and
// against a member without an address that goes unnoticed.
func TestBroadcastReachesAllMembers(t *testing.T) {
	a, b, c := newNode(t, "a", key, nil), newNode(t, "b", key, nil), newNode(t, "c", key, nil)
	a.SetDirectory(lwtpeer.StaticDirectory{"b": b.address, "c": c.address})
	if dropped, err := a.Broadcast("text", "one"); dropped != 0 || err != nil {
		t.Errorf("%d dropped, error %v", dropped, err)
	}
	b.want(t, "a:one")
	c.want(t, "a:one")
	a.Close()
	a.SetDirectory(lwtpeer.StaticDirectory{"d": "127.0.0.1:1"})
	if dropped, err := a.Broadcast("text", "two"); dropped != 1 || err != nil {
		t.Errorf("%d dropped of one that cannot be reached, error %v", dropped, err)
	}
}

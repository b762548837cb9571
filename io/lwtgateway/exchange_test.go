package lwtgateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lacewingtide/core/lwtloadrelay"
	"lacewingtide/core/lwtqueueplacement"
)

// exchangeOf returns the exchange of a daemon in a fleet with relays.
func exchangeOf(now time.Time, self string) *exchange {
	exchange := newExchange()
	exchange.planAs(now, self)
	return exchange
}

func (exchange *exchange) planAs(now time.Time, self string) {
	var live []lwtloadrelay.Daemon
	for i := range 40 {
		live = append(live, lwtloadrelay.Daemon{Name: fmt.Sprint("d", i), AvailabilityZone: "a"})
	}
	avoided := func(name string) bool { return now.Before(exchange.avoided[name]) }
	exchange.plan = lwtloadrelay.New(lwtloadrelay.Daemon{Name: self, AvailabilityZone: "a"}, live, avoided)
	exchange.planned, exchange.relayHeard = now, now
}

// relayAndMember returns the names of a relay and of a daemon that reports to it.
func relayAndMember(now time.Time) (relay, member string) {
	for i := range 40 {
		member = fmt.Sprint("d", i)
		if relay = exchangeOf(now, member).plan.Relay(); relay != member {
			return relay, member
		}
	}
	return "", ""
}

// TestSilentRelayIsAvoided guards against a daemon that knows nothing of the others
// for as long as its relay is paused, and against one that changes a sound relay.
func TestSilentRelayIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	relay, member := relayAndMember(now)
	exchange := exchangeOf(now, member)
	if exchange.avoidSilentRelay(now.Add(relaySilence - time.Millisecond)) {
		t.Error("a relay is avoided before it is silent")
	}
	later := now.Add(relaySilence)
	if !exchange.avoidSilentRelay(later) {
		t.Fatal("a silent relay is kept")
	}
	exchange.planAs(later, member)
	if exchange.plan.Relay() == relay {
		t.Error("the silent relay is chosen again")
	}
	later = later.Add(relayAvoidance)
	exchange.planAs(later, member)
	if exchange.plan.Relay() != relay {
		t.Error("a relay is avoided for longer than it should")
	}
}

// TestAudience guards against messages on servers that do not reach all daemons, or
// go round between relays.
func TestAudience(t *testing.T) {
	now := time.Unix(1000, 0)
	relay, member := relayAndMember(now)
	if to := exchangeOf(now, member).audience(now, ""); !slices.Equal(to, []string{relay}) {
		t.Errorf("a daemon tells %v, want its relay %s", to, relay)
	}
	if to := exchangeOf(now, member).audience(now, relay); len(to) != 0 {
		t.Errorf("a daemon passes on to %v", to)
	}
	exchange := exchangeOf(now, relay)
	exchange.subscribers["m1"], exchange.subscribers["m2"] = now, now
	others := exchange.plan.OtherRelays()
	if len(others) == 0 {
		t.Fatal("no other relay")
	}
	everyone := append([]string{"m1", "m2"}, others...)
	for from, want := range map[string][]string{
		"": everyone, "m1": everyone[1:], others[0]: {"m1", "m2"},
	} {
		if to := exchange.audience(now, from); !slices.Equal(to, want) {
			t.Errorf("what comes from %q goes to %v, want %v", from, to, want)
		}
	}
}

// TestRelayPassesOn guards against work or states that a relay does not pass on, and
// against a relay whose group takes it for silent.
func TestRelayPassesOn(t *testing.T) {
	now := time.Unix(1000, 0)
	relay, member := relayAndMember(now)
	exchange := exchangeOf(now, relay)
	exchange.subscribers[member] = now
	load := lwtqueueplacement.Load{PrefillTime: time.Millisecond, Running: 1}
	exchange.members.Apply(now, member, lwtqueueplacement.LoadReport{Loads: map[string]lwtqueueplacement.Load{"e1": load}})
	exchange.states.note(now, daemonState{Name: member, Boot: 1, PeerAddress: "p", EntryAddress: "e"}, true)
	own := daemonState{Name: relay, Boot: 2, PeerAddress: "p2", EntryAddress: "e2"}
	messages := map[string]loadMessage{}
	for _, delivery := range exchange.deliveries(now, own, map[string]lwtqueueplacement.Load{"e1": load}) {
		messages[delivery.kind] = delivery.message
	}
	group := messages[groupKind]
	if len(group.Reports) != 1 || group.Reports[0].Loads["e1"] != [2]int64{2000, 2} || len(group.States) != 2 {
		t.Errorf("other relays get %+v", group)
	}
	relayed := messages[relayKind]
	if len(relayed.Reports) != 2 || len(relayed.States) != 2 {
		t.Errorf("the group gets %+v", relayed)
	}
	if due := exchange.deliveries(now.Add(time.Millisecond), own, map[string]lwtqueueplacement.Load{"e1": load}); len(due) != 0 {
		t.Errorf("nothing has changed: %+v", due)
	}
	exchange.subscribers[member] = now.Add(relayInterval)
	if due := exchange.deliveries(now.Add(relayInterval), own, map[string]lwtqueueplacement.Load{"e1": load}); len(due) != 1 || due[0].kind != relayKind {
		t.Errorf("the group does not hear that its relay lives: %+v", due)
	}
}

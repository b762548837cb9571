package lwtgateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lacewingtide/core/lwtloadrelay"
	"lacewingtide/core/lwtqueueplacement"
)

// newTestExchange returns the load exchange of a daemon in a fleet with relays.
func newTestExchange(now time.Time, self string) *loadExchange {
	loadExchange := newLoadExchange()
	loadExchange.setTopologyFor(now, self)
	return loadExchange
}

// setTopologyFor computes the topology of a daemon in a fleet of 40 daemons in one
// availability zone.
func (loadExchange *loadExchange) setTopologyFor(now time.Time, self string) {
	var live []lwtloadrelay.Daemon
	for i := range 40 {
		live = append(live, lwtloadrelay.Daemon{Name: fmt.Sprint("d", i), AvailabilityZone: "a"})
	}
	avoided := func(name string) bool { return now.Before(loadExchange.avoidedUntil[name]) }
	loadExchange.topology = lwtloadrelay.NewTopology(lwtloadrelay.Daemon{Name: self, AvailabilityZone: "a"}, live, avoided)
	loadExchange.topologyTime, loadExchange.lastRelayContact = now, now
}

// relayAndMember returns the names of a relay and of a daemon that reports to it.
func relayAndMember(now time.Time) (relay, member string) {
	for i := range 40 {
		member = fmt.Sprint("d", i)
		if relay = newTestExchange(now, member).topology.Relay(); relay != member {
			return relay, member
		}
	}
	return "", ""
}

// TestSilentRelayIsAvoided guards against a daemon that receives no updates while its relay is
// paused, and against one that replaces a working relay.
func TestSilentRelayIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	relay, member := relayAndMember(now)
	loadExchange := newTestExchange(now, member)
	if loadExchange.avoidSilentRelay(now.Add(relaySilenceTimeout - time.Millisecond)) {
		t.Error("relay avoided before the silence timeout")
	}
	later := now.Add(relaySilenceTimeout)
	if !loadExchange.avoidSilentRelay(later) {
		t.Fatal("silent relay not avoided")
	}
	loadExchange.setTopologyFor(later, member)
	if loadExchange.topology.Relay() == relay {
		t.Error("silent relay chosen again")
	}
	later = later.Add(relayAvoidanceTime)
	loadExchange.setTopologyFor(later, member)
	if loadExchange.topology.Relay() != relay {
		t.Error("relay still avoided after the avoidance time")
	}
}

// TestAudience guards against server messages that do not reach all daemons, or that relays
// forward to each other in a loop.
func TestAudience(t *testing.T) {
	now := time.Unix(1000, 0)
	relay, member := relayAndMember(now)
	if recipients := newTestExchange(now, member).recipients(now, ""); !slices.Equal(recipients, []string{relay}) {
		t.Errorf("a daemon sends its own message to %v, want its relay %s", recipients, relay)
	}
	if recipients := newTestExchange(now, member).recipients(now, relay); len(recipients) != 0 {
		t.Errorf("a daemon that is no relay forwards to %v, want no recipient", recipients)
	}
	loadExchange := newTestExchange(now, relay)
	loadExchange.subscribers["m1"], loadExchange.subscribers["m2"] = now, now
	others := loadExchange.topology.OtherRelays()
	if len(others) == 0 {
		t.Fatal("the topology has no other relay")
	}
	everyone := append([]string{"m1", "m2"}, others...)
	for from, want := range map[string][]string{
		"": everyone, "m1": everyone[1:], others[0]: {"m1", "m2"},
	} {
		if recipients := loadExchange.recipients(now, from); !slices.Equal(recipients, want) {
			t.Errorf("message from %q is sent to %v, want %v", from, recipients, want)
		}
	}
}

// TestRelayPassesOn guards against loads or states that a relay does not forward, and against
// a relay that its group considers silent because it has sent no keep-alive.
func TestRelayPassesOn(t *testing.T) {
	now := time.Unix(1000, 0)
	relay, member := relayAndMember(now)
	loadExchange := newTestExchange(now, relay)
	loadExchange.subscribers[member] = now
	load := lwtqueueplacement.Load{PrefillTime: time.Millisecond, Running: 1}
	loadExchange.subscriberLoads.Apply(now, member, lwtqueueplacement.LoadReport{
		Loads: map[string]lwtqueueplacement.Load{"e1": load},
	})
	loadExchange.states.record(now, daemonState{Name: member, Boot: 1, PeerAddress: "p", EntryAddress: "e"}, true)
	own := daemonState{Name: relay, Boot: 2, PeerAddress: "p2", EntryAddress: "e2"}
	messages := map[string]loadMessage{}
	for _, delivery := range loadExchange.pendingDeliveries(now, own, map[string]lwtqueueplacement.Load{"e1": load}) {
		messages[delivery.kind] = delivery.message
	}
	group := messages[groupReportKind]
	if len(group.Reports) != 1 || group.Reports[0].Loads["e1"] != [2]int64{2000, 2} || len(group.States) != 2 {
		t.Errorf("message to other relays: %+v, want the load of e1 and two states", group)
	}
	relayed := messages[relayReportKind]
	if len(relayed.Reports) != 2 || len(relayed.States) != 2 {
		t.Errorf("message to the group: %+v, want two reports and two states", relayed)
	}
	if deliveries := loadExchange.pendingDeliveries(now.Add(time.Millisecond), own,
		map[string]lwtqueueplacement.Load{"e1": load}); len(deliveries) != 0 {
		t.Errorf("deliveries without a change: %+v, want none", deliveries)
	}
	loadExchange.subscribers[member] = now.Add(relayKeepAliveInterval)
	if deliveries := loadExchange.pendingDeliveries(now.Add(relayKeepAliveInterval), own,
		map[string]lwtqueueplacement.Load{"e1": load}); len(deliveries) != 1 ||
		deliveries[0].kind != relayReportKind {
		t.Errorf("deliveries after the keep-alive interval: %+v, want one to the group", deliveries)
	}
}

package lwtdaemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtmember"
	"lacewingtide/io/lwtentry"
	"lacewingtide/io/lwteventloop"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtpeer"
	"lacewingtide/io/lwtplatform"
	"lacewingtide/io/lwtsetting"
)

const (
	memberTick  = 100 * time.Millisecond
	memberQueue = 1024
	// trafficInterval is the time between two log lines about the traffic.
	trafficInterval = 10 * time.Second
)

// memberLoop drives the membership model.
type memberLoop = lwteventloop.Loop[lwtmember.Model, lwtmember.Msg, lwtmember.Cmd]

// members is the membership of the daemon. Others learn from it who is alive,
// that the daemon itself was paused, and which configuration number is known.
type members struct {
	settings lwtsetting.Settings
	declared lwtentry.StateSource
	// entry is where callers connect (IP:port).
	entry    string
	logger   log.Logger
	platform *lwtplatform.Client
	network  *lwtpeer.Network
	loop     *memberLoop
	view     atomic.Pointer[memberView]

	mutex     sync.Mutex
	leavingVM map[string]bool
	// leavingBackends is by address as the VM list has it.
	leavingBackends map[string]bool
	// told holds when a peer said that a VM leaves, by address.
	told     map[string]time.Time
	onPause  []func(gap time.Duration)
	onNumber []func(number int64, from string)
}

func newMembers(
	settings lwtsetting.Settings, listeners Listeners, declared lwtentry.StateSource, platform *lwtplatform.Client,
	logger log.Logger,
) (*lwtpeer.Network, *members) {
	now := time.Now()
	self := lwtmember.Member{
		Address:          orListener(settings.PeerAddress, listeners.Peer),
		Name:             settings.Name,
		AvailabilityZone: settings.AvailabilityZone,
		Boot:             uint64(now.UnixNano()),
	}
	identity := lwtpeer.Identity{Name: self.Name, Address: self.Address, Boot: self.Boot}
	members := &members{
		settings: settings,
		declared: declared,
		entry:    orListener(settings.EntryAddress, listeners.Entry),
		logger:   logger,
		platform: platform,
		told:     map[string]time.Time{},
		network:  lwtpeer.New(lwtpeer.DefaultOptions(identity, []byte(settings.PeerKey), logger)),
	}
	model := lwtmember.New(now, self, lwtmember.DefaultOptions(), *rand.NewPCG(rand.Uint64(), rand.Uint64()))
	members.loop = lwteventloop.New(model, memberQueue, members.execute)
	members.view.Store(&memberView{})
	members.network.SetDirectory(members)
	members.network.Handle(kindVMLeaving, members.toldLeaving)
	for _, kind := range []lwtmember.Kind{
		lwtmember.KindPing, lwtmember.KindAck, lwtmember.KindPingReq, lwtmember.KindGossip, lwtmember.KindLeave,
	} {
		members.network.HandleWithIdentity(string(kind), members.receiver(kind))
	}
	return members.network, members
}

func orListener(address string, listener net.Listener) string {
	if address != "" {
		return address
	}
	return listener.Addr().String()
}

// OnPause sets who is told that the daemon did not run for a time. It is
// called before the daemon runs.
func (members *members) OnPause(told func(gap time.Duration)) {
	members.onPause = append(members.onPause, told)
}

// OnNumber sets who is told that a peer knows a higher configuration number.
// It is called before the daemon runs.
func (members *members) OnNumber(told func(number int64, from string)) {
	members.onNumber = append(members.onNumber, told)
}

// SetNumber tells others the configuration number that the daemon holds.
func (members *members) SetNumber(number int64) {
	members.loop.Offer(lwtmember.SetRevision{Revision: number})
}

// SetValue sets a value of the digest that all others learn.
func (members *members) SetValue(key string, value int64) {
	members.loop.Offer(lwtmember.SetMetadata{Key: key, Value: value})
}

// Model returns the membership as it is now.
func (members *members) Model() lwtmember.Model { return members.loop.Model() }

// Leave tells others that the daemon takes no new callers.
func (members *members) Leave(ctx context.Context) { members.loop.Send(ctx, lwtmember.Leave{}) }

// Serve implements suture.Service.
func (members *members) Serve(ctx context.Context) error {
	var parts sync.WaitGroup
	defer parts.Wait()
	parts.Go(func() { members.followVMs(ctx) })
	parts.Go(func() { members.awaitState(ctx) })
	parts.Go(func() { _ = lwteventloop.Tick(ctx, trafficInterval, func(time.Time) { members.logTraffic() }) })
	parts.Go(func() {
		// Tick ends with ctx only.
		_ = lwteventloop.Tick(ctx, memberTick, func(time.Time) { members.loop.Send(ctx, lwtmember.Tick{}) })
	})
	return members.loop.Serve(ctx)
}

func (members *members) logTraffic() {
	counters := members.network.Counters()
	lwtlog.Debug(members.logger, "peer-traffic", "bytes-sent", counters.BytesSent.Load(),
		"bytes-received", counters.BytesReceived.Load(), "messages-sent", counters.MessagesSent.Load(),
		"messages-received", counters.MessagesReceived.Load(), "dropped", counters.MessagesDropped.Load(),
		"ignored", counters.MessagesIgnored.Load(), "silent", counters.SilenceTimeouts.Load(), "dials", counters.Dials.Load(),
		"dials-failed", counters.DialsFailed.Load(), "refused", counters.ConnectionsRefused.Load(), "open", counters.ConnectionsOpen.Load(),
		"live", members.loop.Model().LiveCount())
}

// String names the part in logs.
func (members *members) String() string { return "members" }

func (members *members) receiver(kind lwtmember.Kind) lwtpeer.Handler {
	return func(from lwtpeer.Identity, body []byte) {
		var gossip lwtmember.Gossip
		if err := lwtpeer.Decode(body, &gossip); err != nil {
			lwtlog.Warn(members.logger, "member-message-malformed", "peer", from.Name, "err", err)
			return
		}
		// A message that finds the queue full is lost like one on the network.
		members.loop.Offer(lwtmember.Received{From: from.Address, Kind: kind, Gossip: gossip})
	}
}

// execute carries out a command of the model.
func (members *members) execute(_ context.Context, cmd lwtmember.Cmd) {
	switch cmd := cmd.(type) {
	case lwtmember.Send:
		// The model repeats what is lost; the network counts it.
		_ = members.network.SendTo(cmd.To, string(cmd.Kind), cmd.Gossip)
	case lwtmember.Changed:
		members.view.Store(newMemberView(members.loop.Model()))
		lwtlog.Info(members.logger, "member-changed", "member", cmd.Member.Name, "address", cmd.Member.Address,
			"availability-zone", cmd.Member.AvailabilityZone, "status", cmd.Member.Status, "boot", cmd.Member.Boot)
	case lwtmember.SelfPaused:
		lwtlog.Warn(members.logger, "daemon-was-paused", "gap", cmd.Gap)
		for _, told := range members.onPause {
			told(cmd.Gap)
		}
	case lwtmember.SelfReplaced:
		lwtlog.Warn(members.logger, "daemon-was-replaced", "by", cmd.By.Name, "boot", cmd.By.Boot)
	case lwtmember.NewerRevisionKnown:
		for _, told := range members.onNumber {
			told(cmd.Revision, cmd.From)
		}
	}
}

// awaitState offers the daemon to callers once it has a state to serve by.
func (members *members) awaitState(ctx context.Context) {
	for {
		if _, known := members.declared.State(); known {
			members.loop.Send(ctx, lwtmember.SetEntryAddress{Address: members.entry})
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(memberTick):
		}
	}
}

// peerAddress returns the peer address of a VM. The VM list may leave out the
// port where all daemons use the same one.
func (members *members) peerAddress(address string) string {
	own, err := netip.ParseAddrPort(members.loop.Model().Self().Address)
	if err != nil {
		return address
	}
	vm, err := netip.ParseAddr(address)
	if err != nil {
		return address
	}
	return netip.AddrPortFrom(vm, own.Port()).String()
}

// leavingByVMList reports whether the VM list names a peer address as leaving.
func (members *members) leavingByVMList(address string) bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.leavingVM[address]
}

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
	memberTickInterval = 100 * time.Millisecond
	memberQueueSize    = 1024
	// trafficInterval is the interval between log lines about the peer traffic.
	trafficInterval = 10 * time.Second
)

// memberLoop is the event loop of the membership model.
type memberLoop = lwteventloop.Loop[lwtmember.Model, lwtmember.Msg, lwtmember.Cmd]

// members runs the membership of the daemon. It publishes which daemons are alive,
// detects pauses of this process, and spreads the latest revision of the declared
// state.
type members struct {
	settings    lwtsetting.Settings
	stateSource lwtentry.StateSource
	// entryAddress is the address for callers (IP:port).
	entryAddress string
	logger       log.Logger
	platform     *lwtplatform.Client
	network      *lwtpeer.Network
	loop         *memberLoop
	view         atomic.Pointer[memberView]

	mutex sync.Mutex
	// listedVMs and listedPeers say for each VM in the VM list, as last read, whether
	// it is leaving. The keys of listedVMs are the addresses in the list. Those of
	// listedPeers are peer addresses, without the VMs of backend servers.
	listedPeers map[string]bool
	listedVMs   map[string]bool
	// leavingReports contains the time at which a peer last reported a VM as leaving,
	// by address in the VM list.
	leavingReports  map[string]time.Time
	onPause         []func(gap time.Duration)
	onNewerRevision []func(revision int64, from string)
}

func newMembers(
	settings lwtsetting.Settings, listeners Listeners, stateSource lwtentry.StateSource, platform *lwtplatform.Client,
	logger log.Logger,
) (*lwtpeer.Network, *members) {
	now := time.Now()
	self := lwtmember.Member{
		Address:          addressOrListener(settings.PeerAddress, listeners.Peer),
		Name:             settings.Name,
		AvailabilityZone: settings.AvailabilityZone,
		Boot:             uint64(now.UnixNano()),
	}
	identity := lwtpeer.Identity{Name: self.Name, Address: self.Address, Boot: self.Boot}
	members := &members{
		settings:       settings,
		stateSource:    stateSource,
		entryAddress:   addressOrListener(settings.EntryAddress, listeners.Entry),
		logger:         logger,
		platform:       platform,
		leavingReports: map[string]time.Time{},
		network:        lwtpeer.New(lwtpeer.DefaultOptions(identity, []byte(settings.PeerKey), logger)),
	}
	model := lwtmember.New(now, self, lwtmember.DefaultOptions(), *rand.NewPCG(rand.Uint64(), rand.Uint64()))
	members.loop = lwteventloop.New(model, memberQueueSize, members.execute)
	members.view.Store(&memberView{})
	members.network.SetDirectory(members)
	members.network.Handle(kindVMLeaving, members.receiveLeavingVMs)
	for _, kind := range []lwtmember.Kind{
		lwtmember.KindPing, lwtmember.KindAck, lwtmember.KindPingReq, lwtmember.KindGossip, lwtmember.KindLeave,
	} {
		members.network.HandleWithIdentity(string(kind), members.gossipHandler(kind))
	}
	return members.network, members
}

func addressOrListener(address string, listener net.Listener) string {
	if address != "" {
		return address
	}
	return listener.Addr().String()
}

// OnPause adds a callback for pauses, during which this process did not run. It must
// be called before the daemon runs.
func (members *members) OnPause(callback func(gap time.Duration)) {
	members.onPause = append(members.onPause, callback)
}

// OnNewerRevision adds a callback for peers that have a later revision of the
// declared state. It must be called before the daemon runs.
func (members *members) OnNewerRevision(callback func(revision int64, from string)) {
	members.onNewerRevision = append(members.onNewerRevision, callback)
}

// SetRevision publishes the revision of the declared state that this daemon has.
func (members *members) SetRevision(revision int64) {
	members.loop.TrySend(lwtmember.SetRevision{Revision: revision})
}

// SetMetadata sets a metadata value that is spread to all other daemons.
func (members *members) SetMetadata(key string, value int64) {
	members.loop.TrySend(lwtmember.SetMetadata{Key: key, Value: value})
}

// Model returns the current membership.
func (members *members) Model() lwtmember.Model { return members.loop.Model() }

// Leave announces that this daemon is leaving and accepts no new callers.
func (members *members) Leave(ctx context.Context) { members.loop.Send(ctx, lwtmember.Leave{}) }

// Serve implements suture.Service.
func (members *members) Serve(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { members.pollVMs(ctx) })
	tasks.Go(func() { members.advertiseEntryAddress(ctx) })
	tasks.Go(func() { _ = lwteventloop.Tick(ctx, trafficInterval, func(time.Time) { members.logTraffic() }) })
	tasks.Go(func() {
		// Tick returns only when ctx ends.
		_ = lwteventloop.Tick(ctx, memberTickInterval, func(time.Time) { members.loop.Send(ctx, lwtmember.Tick{}) })
	})
	return members.loop.Serve(ctx)
}

func (members *members) logTraffic() {
	counters := members.network.Counters()
	lwtlog.Debug(members.logger, "peer-traffic", "bytes-sent", counters.BytesSent.Load(),
		"bytes-received", counters.BytesReceived.Load(), "messages-sent", counters.MessagesSent.Load(),
		"messages-received", counters.MessagesReceived.Load(), "dropped", counters.MessagesDropped.Load(),
		"ignored", counters.MessagesIgnored.Load(), "silent", counters.SilenceTimeouts.Load(), "dials", counters.Dials.Load(),
		"dials-failed", counters.DialsFailed.Load(), "refused", counters.ConnectionsRefused.Load(),
		"open", counters.ConnectionsOpen.Load(), "live", members.loop.Model().LiveCount())
}

// String returns the name of the service in logs.
func (members *members) String() string { return "members" }

func (members *members) gossipHandler(kind lwtmember.Kind) lwtpeer.Handler {
	return func(from lwtpeer.Identity, body []byte) {
		var gossip lwtmember.Gossip
		if err := lwtpeer.Decode(body, &gossip); err != nil {
			lwtlog.Warn(members.logger, "member-message-malformed", "peer", from.Name, "err", err)
			return
		}
		// If the queue is full, the message is dropped. The model tolerates this like
		// a loss on the network.
		members.loop.TrySend(lwtmember.Received{From: from.Address, Kind: kind, Gossip: gossip})
	}
}

// execute executes a command of the model.
func (members *members) execute(_ context.Context, cmd lwtmember.Cmd) {
	switch cmd := cmd.(type) {
	case lwtmember.Send:
		// The model retries lost messages, and the network counts them.
		_ = members.network.SendTo(cmd.To, string(cmd.Kind), cmd.Gossip)
	case lwtmember.Changed:
		members.view.Store(newMemberView(members.loop.Model()))
		lwtlog.Info(members.logger, "member-changed", "member", cmd.Member.Name, "address", cmd.Member.Address,
			"availability-zone", cmd.Member.AvailabilityZone, "status", cmd.Member.Status, "boot", cmd.Member.Boot)
	case lwtmember.SelfPaused:
		lwtlog.Warn(members.logger, "daemon-was-paused", "gap", cmd.Gap)
		for _, callback := range members.onPause {
			callback(cmd.Gap)
		}
	case lwtmember.SelfReplaced:
		lwtlog.Warn(members.logger, "daemon-was-replaced", "by", cmd.By.Name, "boot", cmd.By.Boot)
	case lwtmember.NewerRevisionKnown:
		for _, callback := range members.onNewerRevision {
			callback(cmd.Revision, cmd.From)
		}
	}
}

// advertiseEntryAddress publishes the entry address once a declared state is active.
func (members *members) advertiseEntryAddress(ctx context.Context) {
	for {
		if _, known := members.stateSource.State(); known {
			members.loop.Send(ctx, lwtmember.SetEntryAddress{Address: members.entryAddress})
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(memberTickInterval):
		}
	}
}

// peerAddress returns the peer address of a VM. An address in the VM list without a
// port gets the port of this daemon, as all daemons use the same one then.
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

// isPeerLeaving reports whether the VM with a peer address is listed as leaving.
func (members *members) isPeerLeaving(address string) bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.listedPeers[address]
}

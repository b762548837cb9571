package lwtdaemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtmember"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtpeer"
)

// All daemons together read the VM list at most about maxVMListReadsPerSecond times,
// and the first daemon that sees a leaving VM announces it to the others. Thus in a
// fleet of any size a leaving backend server gets no new requests after a few
// seconds. The list has about 95 KB for 1,000 VMs, so that reading it costs a daemon
// at most 3.2 KB/s.
const (
	maxVMListReadsPerSecond = 12
	minVMListInterval       = 2 * time.Second
	maxVMListInterval       = 30 * time.Second
	vmStateLeaving          = "leaving"
	kindVMLeaving           = "vm-leaving"
	// leavingReportTTL is longer than the time until a daemon reads the list itself.
	leavingReportTTL = 2 * maxVMListInterval
)

// leavingVMs is the message that announces VMs that are newly listed as leaving.
type leavingVMs struct {
	Addresses []string `cbor:"addresses"`
}

// vmListInterval returns the mean interval between reads of the VM list by one of a
// number of daemons.
func vmListInterval(daemons int) time.Duration {
	return min(max(time.Duration(daemons)*time.Second/maxVMListReadsPerSecond, minVMListInterval), maxVMListInterval)
}

// pollVMs reads the VM list at intervals with a jitter of 25% around the mean.
func (members *members) pollVMs(ctx context.Context) {
	wait := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		members.readVMs(ctx)
		interval := vmListInterval(members.loop.Model().LiveCount())
		wait = interval*3/4 + time.Duration(rand.Int64N(int64(interval/2)))
	}
}

func (members *members) readVMs(ctx context.Context) {
	vms, err := members.platform.VMs()
	if err != nil {
		// The last list that was read remains valid.
		lwtlog.Warn(members.logger, "vm-list-read-failed", "err", err)
		members.loop.Send(ctx, lwtmember.SetPeers{Addresses: members.settings.Peers})
		return
	}
	state, _ := members.stateSource.State()
	backends := backendAddresses(state)
	peers, listedPeers, listedVMs := slices.Clone(members.settings.Peers), map[string]bool{}, map[string]bool{}
	for _, vm := range vms {
		listedVMs[vm.Address] = vm.State == vmStateLeaving
		if backends[vm.Address] {
			continue
		}
		address := members.peerAddress(vm.Address)
		peers = append(peers, address)
		listedPeers[address] = vm.State == vmStateLeaving
	}
	members.mutex.Lock()
	added := newlyLeaving(members.listedVMs, listedVMs)
	members.listedPeers, members.listedVMs = listedPeers, listedVMs
	members.mutex.Unlock()
	members.announceLeaving(added)
	members.loop.Send(ctx, lwtmember.SetPeers{Addresses: peers})
}

func newlyLeaving(before, after map[string]bool) []string {
	var added []string
	for address, leaving := range after {
		if leaving && !before[address] {
			added = append(added, address)
		}
	}
	return added
}

func (members *members) announceLeaving(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	lwtlog.Info(members.logger, "vms-leaving", "addresses", strings.Join(addresses, ","))
	for _, name := range members.network.Members() {
		if err := members.network.Send(name, kindVMLeaving, leavingVMs{addresses}); err != nil {
			// The other daemon will see it in the VM list later.
			lwtlog.Debug(members.logger, "peer-send-failed", "kind", kindVMLeaving, "to", name, "err", err)
		}
	}
}

func (members *members) receiveLeavingVMs(from string, body []byte) {
	var message leavingVMs
	if err := lwtpeer.Decode(body, &message); err != nil {
		lwtlog.Warn(members.logger, "peer-message-malformed", "kind", kindVMLeaving, "from", from, "err", err)
		return
	}
	now := time.Now()
	members.mutex.Lock()
	defer members.mutex.Unlock()
	maps.DeleteFunc(members.leavingReports, func(_ string, at time.Time) bool { return now.Sub(at) > leavingReportTTL })
	for _, address := range message.Addresses {
		members.leavingReports[address] = now
	}
}

// backendAddresses returns the addresses of all engines and other backend servers,
// each with and without its port.
func backendAddresses(state lwtdeclaredstate.State) map[string]bool {
	addresses := map[string]bool{}
	add := func(address string) {
		addresses[address] = true
		if host, _, err := net.SplitHostPort(address); err == nil {
			addresses[host] = true
		}
	}
	for _, engine := range state.Engines {
		add(engine.Address)
	}
	for _, service := range state.Services {
		for _, server := range service.BackendServers {
			add(server.Address)
		}
	}
	return addresses
}

// BackendLeaving reports whether the VM of a backend server (IP:port) is leaving,
// according to the VM list or a report of another daemon.
func (members *members) BackendLeaving(address string) bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if members.isLeaving(address) {
		return true
	}
	host, _, err := net.SplitHostPort(address)
	return err == nil && members.isLeaving(host)
}

func (members *members) isLeaving(address string) bool {
	reportedAt, found := members.leavingReports[address]
	return members.listedVMs[address] || found && time.Since(reportedAt) < leavingReportTTL
}

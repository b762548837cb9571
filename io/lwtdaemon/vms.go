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

// All daemons together read the VM list about vmListReads times a second, and
// whoever sees first that a VM leaves tells the others. So a backend server that
// leaves gets no new work after a few seconds in a fleet of any size, and the
// list, about 95 KB for 1,000 VMs, costs a daemon at most 3.2 KB/s.
const (
	vmListReads    = 12
	minVMListEvery = 2 * time.Second
	maxVMListEvery = 30 * time.Second
	vmLeaving      = "leaving"
	kindVMLeaving  = "vm-leaving"
	// vmLeavingHeld outlasts the time until a daemon's own next read.
	vmLeavingHeld = 2 * maxVMListEvery
)

// leavingVMs tells which VMs the list newly names as leaving.
type leavingVMs struct {
	Addresses []string `cbor:"addresses"`
}

// vmListInterval returns the mean time between two reads of the VM list.
func vmListInterval(daemons int) time.Duration {
	return min(max(time.Duration(daemons)*time.Second/vmListReads, minVMListEvery), maxVMListEvery)
}

// followVMs reads the VM list from time to time.
func (members *members) followVMs(ctx context.Context) {
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
		// What the list said last goes on holding.
		lwtlog.Warn(members.logger, "vm-list-read-failed", "err", err)
		members.loop.Send(ctx, lwtmember.SetPeers{Addresses: members.settings.Peers})
		return
	}
	state, _ := members.declared.State()
	backends := backendAddresses(state)
	peers, leavingPeers, leavingVMs := slices.Clone(members.settings.Peers), map[string]bool{}, map[string]bool{}
	for _, vm := range vms {
		leavingVMs[vm.Address] = vm.State == vmLeaving
		if backends[vm.Address] {
			continue
		}
		address := members.peerAddress(vm.Address)
		peers = append(peers, address)
		leavingPeers[address] = vm.State == vmLeaving
	}
	members.mutex.Lock()
	fresh := newlyLeaving(members.leavingBackends, leavingVMs)
	members.leavingVM, members.leavingBackends = leavingPeers, leavingVMs
	members.mutex.Unlock()
	members.tellLeaving(fresh)
	members.loop.Send(ctx, lwtmember.SetPeers{Addresses: peers})
}

func newlyLeaving(before, after map[string]bool) []string {
	var fresh []string
	for address, leaving := range after {
		if leaving && !before[address] {
			fresh = append(fresh, address)
		}
	}
	return fresh
}

func (members *members) tellLeaving(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	lwtlog.Info(members.logger, "vms-leaving", "addresses", strings.Join(addresses, ","))
	for _, name := range members.network.Members() {
		if err := members.network.Send(name, kindVMLeaving, leavingVMs{addresses}); err != nil {
			// The daemon learns it from the list itself, later.
			lwtlog.Debug(members.logger, "peer-send-failed", "kind", kindVMLeaving, "to", name, "err", err)
		}
	}
}

func (members *members) toldLeaving(from string, body []byte) {
	var message leavingVMs
	if err := lwtpeer.Decode(body, &message); err != nil {
		lwtlog.Warn(members.logger, "peer-message-malformed", "kind", kindVMLeaving, "from", from, "err", err)
		return
	}
	now := time.Now()
	members.mutex.Lock()
	defer members.mutex.Unlock()
	maps.DeleteFunc(members.told, func(_ string, at time.Time) bool { return now.Sub(at) > vmLeavingHeld })
	for _, address := range message.Addresses {
		members.told[address] = now
	}
}

// backendAddresses returns the addresses of all backend servers, with and
// without port.
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

// BackendLeaving reports whether the VM list, as read by this daemon or by one
// that told it, names the VM of a backend server (IP:port) as leaving.
func (members *members) BackendLeaving(address string) bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if members.leavingNow(address) {
		return true
	}
	host, _, err := net.SplitHostPort(address)
	return err == nil && members.leavingNow(host)
}

func (members *members) leavingNow(address string) bool {
	told, found := members.told[address]
	return members.leavingBackends[address] || found && time.Since(told) < vmLeavingHeld
}

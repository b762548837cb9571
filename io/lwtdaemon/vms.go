package lwtdaemon

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"lacewingtide/core/lwtmember"
	"lacewingtide/core/lwtstate"
	"lacewingtide/io/lwtlog"
)

// The VM list is read so often that a backend server that leaves gets no new
// work after a few seconds, and by all daemons together at most vmListReads
// times a second up to 400 daemons.
const (
	vmListReads    = 100
	minVMListEvery = 2 * time.Second
	maxVMListEvery = 4 * time.Second
	vmLeaving      = "leaving"
)

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
		interval := vmListInterval(members.loop.Model().Live())
		wait = interval*3/4 + time.Duration(rand.Int64N(int64(interval/2)))
	}
}

func (members *members) readVMs(ctx context.Context) {
	vms, err := members.platform.VMs()
	if err != nil {
		// What the list said last goes on holding.
		lwtlog.Warn(members.logger, "vm-list-read-failed", "err", err)
		members.loop.Send(ctx, lwtmember.Peers{Addresses: members.settings.Peers})
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
	members.leavingVM, members.leavingBackends = leavingPeers, leavingVMs
	members.mutex.Unlock()
	members.loop.Send(ctx, lwtmember.Peers{Addresses: peers})
}

// backendAddresses returns the addresses of all backend servers, with and
// without port.
func backendAddresses(state lwtstate.State) map[string]bool {
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

// BackendLeaving reports whether the VM list names the VM of a backend server
// (IP:port) as leaving.
func (members *members) BackendLeaving(address string) bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if members.leavingBackends[address] {
		return true
	}
	host, _, err := net.SplitHostPort(address)
	return err == nil && members.leavingBackends[host]
}

package lwtdaemon

import (
	"maps"
	"slices"
	"sync"

	"lacewingtide/core/lwtaddress"
)

// quotaDaemons determines the daemons among which a caller's limits are divided:
// the caller's home daemons of all regions. They are chosen among the daemons that
// are in the VM list or alive in the membership. During a network partition the
// daemons of the other side stay in the VM list, so that both sides together
// stay within the limits.
type quotaDaemons struct {
	members *members
	mutex   sync.Mutex
	// known contains the daemons by peer address. A daemon stays known while it is
	// in the VM list, because the membership removes dead daemons earlier.
	known map[string]lwtaddress.Candidate
}

func newQuotaDaemons(members *members) *quotaDaemons {
	return &quotaDaemons{members: members, known: map[string]lwtaddress.Candidate{}}
}

// HomeDaemons returns the names of a caller's home daemons of all regions.
func (daemons *quotaDaemons) HomeDaemons(caller string) []string {
	candidates, regions := daemons.candidates(), map[string]bool{}
	for _, candidate := range candidates {
		regions[lwtaddress.Region(candidate.AvailabilityZone)] = true
	}
	var names []string
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		for _, home := range lwtaddress.HomeDaemons(candidates, caller, region) {
			names = append(names, home.Name)
		}
	}
	return names
}

func (daemons *quotaDaemons) candidates() []lwtaddress.Candidate {
	model := daemons.members.loop.Model()
	listed := daemons.members.listedPeerAddresses()
	daemons.mutex.Lock()
	defer daemons.mutex.Unlock()
	seen := map[string]bool{model.Self().Address: true}
	for _, member := range model.Members() {
		seen[member.Address] = member.Live()
		daemons.record(member.Address, member.Name, member.EntryAddress, member.AvailabilityZone)
	}
	self := model.Self()
	daemons.record(self.Address, self.Name, daemons.members.entryAddress, self.AvailabilityZone)
	maps.DeleteFunc(daemons.known, func(address string, _ lwtaddress.Candidate) bool {
		return !seen[address] && !listed[address]
	})
	return slices.Collect(maps.Values(daemons.known))
}

// record adds or updates a daemon that has an entry address, and so may have been
// announced to callers.
func (daemons *quotaDaemons) record(address, name, entry, zone string) {
	if entry != "" {
		daemons.known[address] = lwtaddress.Candidate{
			Name: name, EntryAddress: entry, AvailabilityZone: zone, Serving: true,
		}
	}
}

// listedPeerAddresses returns the peer addresses in the VM list, as last read.
func (members *members) listedPeerAddresses() map[string]bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	listed := make(map[string]bool, len(members.listedPeers))
	for address := range members.listedPeers {
		listed[address] = true
	}
	return listed
}

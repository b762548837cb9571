package lwtdaemon

import (
	"maps"
	"slices"
	"sync"

	"lacewingtide/core/lwtaddress"
)

// limitHomes knows the daemons among which a caller's limits are divided: its
// home daemons of all regions, chosen among the daemons that the VM list still
// names or that membership sees. A partition removes a daemon from neither, so
// both sides together stay under the limits.
type limitHomes struct {
	members *members
	mutex   sync.Mutex
	// known are the records of daemons by peer address. Membership forgets a
	// dead daemon while the VM list may still name it.
	known map[string]lwtaddress.Candidate
}

func newLimitHomes(members *members) *limitHomes {
	return &limitHomes{members: members, known: map[string]lwtaddress.Candidate{}}
}

// Of returns the names of a caller's home daemons.
func (homes *limitHomes) Of(caller string) []string {
	candidates, regions := homes.candidates(), map[string]bool{}
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

func (homes *limitHomes) candidates() []lwtaddress.Candidate {
	model := homes.members.loop.Model()
	listed := homes.members.listedVMs()
	homes.mutex.Lock()
	defer homes.mutex.Unlock()
	seen := map[string]bool{model.Self().Address: true}
	for _, member := range model.Members() {
		seen[member.Address] = member.Live()
		homes.keep(member.Address, member.Name, member.EntryAddress, member.AvailabilityZone)
	}
	self := model.Self()
	homes.keep(self.Address, self.Name, homes.members.entry, self.AvailabilityZone)
	maps.DeleteFunc(homes.known, func(address string, _ lwtaddress.Candidate) bool {
		return !seen[address] && !listed[address]
	})
	return slices.Collect(maps.Values(homes.known))
}

// keep remembers a daemon that callers may have been told of.
func (homes *limitHomes) keep(address, name, entry, zone string) {
	if entry != "" {
		homes.known[address] = lwtaddress.Candidate{
			Name: name, EntryAddress: entry, AvailabilityZone: zone, Serving: true,
		}
	}
}

// listedVMs returns the peer addresses that the VM list named last.
func (members *members) listedVMs() map[string]bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	listed := make(map[string]bool, len(members.leavingVM))
	for address := range members.leavingVM {
		listed[address] = true
	}
	return listed
}

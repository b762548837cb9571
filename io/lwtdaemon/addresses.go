package lwtdaemon

import (
	"time"

	"lacewingtide/core/lwtaddress"
	"lacewingtide/core/lwtmember"
	"lacewingtide/io/lwtsetting"
)

// loadKey is the digest value that holds the requests per second lately.
const loadKey = "load"

// addresses answers which entry addresses a caller should use.
type addresses struct {
	members *members
	keep    time.Duration
}

func newAddresses(members *members, settings lwtsetting.Settings) addresses {
	return addresses{members: members, keep: settings.Addresses.TTL.Std()}
}

// EntryAddresses implements lwtentry.AddressSource.
func (addresses addresses) EntryAddresses(_ time.Time, caller string) ([]string, time.Duration) {
	zone := addresses.members.settings.AvailabilityZone
	return lwtaddress.EntryAddresses(addresses.members.candidates(), caller, zone), addresses.keep
}

// HomeDaemons returns the names of a caller's home daemons in the daemon's
// region.
func (members *members) HomeDaemons(caller string) []string {
	homes := lwtaddress.HomeDaemons(members.candidates(), caller, lwtaddress.Region(members.settings.AvailabilityZone))
	names := make([]string, len(homes))
	for i, home := range homes {
		names[i] = home.Name
	}
	return names
}

func (members *members) candidates() []lwtaddress.Candidate {
	model := members.loop.Model()
	all := append(model.Members(), model.Self())
	candidates := make([]lwtaddress.Candidate, len(all))
	for i, member := range all {
		digest, _ := model.Metadata(member.Address)
		candidates[i] = lwtaddress.Candidate{
			Name:             member.Name,
			EntryAddress:     member.EntryAddress,
			AvailabilityZone: member.AvailabilityZone,
			Serving: member.Status == lwtmember.Alive && member.EntryAddress != "" &&
				!members.leavingByVMList(member.Address),
			RequestRate: digest.Values[loadKey],
		}
	}
	return candidates
}

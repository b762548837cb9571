package lwtdaemon

import (
	"time"

	"lacewingtide/core/lwtaddress"
	"lacewingtide/core/lwtmember"
	"lacewingtide/io/lwtsetting"
)

// requestRateKey is the metadata key of the recent requests per second.
const requestRateKey = "load"

// addressSource chooses the entry addresses that a caller should use.
type addressSource struct {
	members *members
	ttl     time.Duration
}

func newAddressSource(members *members, settings lwtsetting.Settings) addressSource {
	return addressSource{members: members, ttl: settings.Addresses.TTL.Std()}
}

// EntryAddresses implements lwtentry.AddressSource.
func (source addressSource) EntryAddresses(_ time.Time, caller string) ([]string, time.Duration) {
	zone := source.members.settings.AvailabilityZone
	return lwtaddress.EntryAddresses(source.members.candidates(), caller, zone), source.ttl
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
		metadata, _ := model.Metadata(member.Address)
		candidates[i] = lwtaddress.Candidate{
			Name:             member.Name,
			EntryAddress:     member.EntryAddress,
			AvailabilityZone: member.AvailabilityZone,
			Serving: member.Status == lwtmember.Alive && member.EntryAddress != "" &&
				!members.isPeerLeaving(member.Address),
			RequestRate: metadata.Values[requestRateKey],
		}
	}
	return candidates
}

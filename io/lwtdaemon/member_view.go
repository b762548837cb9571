package lwtdaemon

import (
	"slices"

	"lacewingtide/core/lwtmember"
)

// memberView is an index of the live members by name. It is immutable.
type memberView struct {
	names     []string
	addresses map[string]string
	boots     map[string]uint64
}

// newMemberView returns the view of a model. If two live members have the same name,
// the one that started last is used. Leaving members have an address but are not in
// names.
func newMemberView(model lwtmember.Model) *memberView {
	view := &memberView{addresses: map[string]string{}, boots: map[string]uint64{}}
	for _, member := range model.Members() {
		if !member.Live() || member.Boot < view.boots[member.Name] {
			continue
		}
		view.addresses[member.Name], view.boots[member.Name] = member.Address, member.Boot
		if member.Status != lwtmember.Leaving {
			view.names = append(view.names, member.Name)
		}
	}
	slices.Sort(view.names)
	view.names = slices.Compact(view.names)
	return view
}

// Address implements lwtpeer.Directory.
func (members *members) Address(name string) (string, bool) {
	address, found := members.view.Load().addresses[name]
	return address, found
}

// Names implements lwtpeer.Directory.
func (members *members) Names() []string { return slices.Clone(members.view.Load().names) }

package lwtdaemon

import (
	"maps"
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtorder"
)

// GroupStatus describes the lease and the engines of one group as this daemon
// sees them.
type GroupStatus struct {
	Group string `json:"group"`
	// Holder is the daemon run that held the lease when the row was last read;
	// empty if nobody did. Only candidates read the row regularly.
	Holder        string `json:"holder"`
	FencingNumber int64  `json:"fencing"`
	// HeldHere says that this daemon holds the lease now.
	HeldHere bool `json:"own"`
	// LeaseRemaining is the time until the daemon's own lease ends without renewal.
	LeaseRemaining lwtdeclaredstate.Duration `json:"left,omitzero"`
	// Engines is filled in by the holder only.
	Engines []lwtorder.EngineStatus `json:"engines,omitempty"`
}

// GroupStatuses returns the status of all groups, sorted by name.
func (daemon *Daemon) GroupStatuses() []GroupStatus {
	return daemon.authority.status(time.Now())
}

func (authority *authority) status(now time.Time) []GroupStatus {
	authority.mutex.RLock()
	defer authority.mutex.RUnlock()
	status := make([]GroupStatus, 0, len(authority.groups))
	for _, name := range slices.Sorted(maps.Keys(authority.groups)) {
		group := authority.groups[name]
		row, _ := group.lease.Row()
		one := GroupStatus{Group: name, Holder: row.Holder, FencingNumber: row.Fencing}
		if lease := group.lease.Lease(); lease.Valid(now) {
			one.HeldHere, one.LeaseRemaining = true, lwtdeclaredstate.Duration(lease.Until.Sub(now))
			one.Engines = group.order.Status()
		}
		status = append(status, one)
	}
	return status
}

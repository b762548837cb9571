package lwtdaemon

import (
	"maps"
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtorder"
)

// GroupStatus is the status of the lease and the engines of one group, as seen by
// this daemon.
type GroupStatus struct {
	Group string `json:"group"`
	// Holder is the lease holder name of the daemon that held the lease when this
	// daemon last read the row; empty if no daemon did. Only candidates for the lease
	// read the row regularly.
	Holder        string `json:"holder"`
	FencingNumber int64  `json:"fencing"`
	// HeldHere says that this daemon holds a valid lease.
	HeldHere bool `json:"own"`
	// LeaseRemaining is the time until this daemon's lease expires without renewal.
	LeaseRemaining lwtdeclaredstate.Duration `json:"left,omitzero"`
	// Engines is set only if this daemon holds the lease.
	Engines []lwtorder.EngineStatus `json:"engines,omitempty"`
}

// GroupStatuses returns the status of all groups, sorted by name.
func (daemon *Daemon) GroupStatuses() []GroupStatus {
	return daemon.groups.status(time.Now())
}

func (controller *groupController) status(now time.Time) []GroupStatus {
	controller.mutex.RLock()
	defer controller.mutex.RUnlock()
	statuses := make([]GroupStatus, 0, len(controller.groups))
	for _, name := range slices.Sorted(maps.Keys(controller.groups)) {
		group := controller.groups[name]
		row, _ := group.lease.Row()
		status := GroupStatus{Group: name, Holder: row.Holder, FencingNumber: row.Fencing}
		if lease := group.lease.Lease(); lease.Valid(now) {
			status.HeldHere, status.LeaseRemaining = true, lwtdeclaredstate.Duration(lease.Until.Sub(now))
			status.Engines = group.order.Status()
		}
		statuses = append(statuses, status)
	}
	return statuses
}

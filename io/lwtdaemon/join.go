package lwtdaemon

import (
	"context"
	"fmt"
	"slices"
	"time"

	"lacewingtide/core/lwtmember"
	"lacewingtide/io/lwteventloop"
)

const (
	// joinInterval is how often parts learn of a changed state.
	joinInterval = 200 * time.Millisecond
	// loadInterval is the span over which the load that others learn is averaged.
	loadInterval = 2 * time.Second
)

// join passes on what one part of the daemon knows and another one needs. Every
// part works without it, alone.
type join struct {
	daemon *Daemon
	number int64
	// told is when the load was last told, and requests the count then.
	told     time.Time
	requests int64
}

// newJoin connects the parts of a daemon before it runs.
func newJoin(daemon *Daemon) *join {
	daemon.authority.members = daemon.members.runs
	daemon.AddReleaser(daemon.authority)
	daemon.status.Register("members", daemon.members.status)
	daemon.status.Register("authority", func(now time.Time) any { return daemon.authority.status(now) })
	daemon.status.Register("draining", daemon.drains.status)
	return &join{daemon: daemon}
}

// Serve implements suture.Service.
func (join *join) Serve(ctx context.Context) error {
	return lwteventloop.Tick(ctx, joinInterval, join.pass)
}

// String names the part in logs.
func (join *join) String() string { return "join" }

func (join *join) pass(now time.Time) {
	if span := now.Sub(join.told); span >= loadInterval {
		join.tellLoad(now, span)
	}
	if state, _ := join.daemon.declared.State(); state.Revision != join.number {
		join.number = state.Revision
		join.daemon.members.SetNumber(state.Revision)
	}
}

// tellLoad tells other daemons the requests per second lately, by which address
// answers spread callers.
func (join *join) tellLoad(now time.Time, span time.Duration) {
	requests := join.daemon.observer.requests.Load()
	if !join.told.IsZero() {
		join.daemon.members.SetValue(loadKey, int64(float64(requests-join.requests)/span.Seconds()))
	}
	join.told, join.requests = now, requests
}

// runs returns the live daemons in the form in which leases name them.
func (members *members) runs() []string {
	var runs []string
	model := members.loop.Model()
	for _, member := range append(model.Members(), model.Self()) {
		if member.Live() && member.Status != lwtmember.Leaving {
			runs = append(runs, runName(member))
		}
	}
	slices.Sort(runs)
	return slices.Compact(runs)
}

// runName identifies one run of a daemon: a successor at the same address must
// not take its predecessor's leases for its own.
func runName(member lwtmember.Member) string { return fmt.Sprintf("%s/%d", member.Name, member.Boot) }

// memberStatus describes one daemon as this one sees it.
type memberStatus struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	Status           string `json:"status"`
}

func (members *members) status(time.Time) any {
	list := []memberStatus{}
	for _, member := range members.loop.Model().Members() {
		list = append(list, memberStatus{member.Name, member.Address, member.AvailabilityZone, member.Status.String()})
	}
	return list
}

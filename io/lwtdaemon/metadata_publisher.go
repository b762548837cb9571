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
	// publishInterval is the interval between checks for a new revision.
	publishInterval = 200 * time.Millisecond
	// requestRateInterval is the interval over which the published request rate is
	// averaged.
	requestRateInterval = 2 * time.Second
)

// metadataPublisher publishes the revision of the active state and the request rate
// of the daemon through the membership. No other component of the daemon depends on
// it.
type metadataPublisher struct {
	daemon   *Daemon
	revision int64
	// publishedAt is the time at which the request rate was last published, and
	// requests the number of requests at that time.
	publishedAt time.Time
	requests    int64
}

// newMetadataPublisher returns the publisher of a daemon. It also registers the
// status entries of the membership, the groups and the drained engines, and has the
// leases released at shutdown.
func newMetadataPublisher(daemon *Daemon) *metadataPublisher {
	daemon.groups.leaseMembers = daemon.members.leaseMembers
	daemon.AddReleaser(daemon.groups)
	daemon.status.Register("members", daemon.members.status)
	daemon.status.Register("authority", func(now time.Time) any { return daemon.groups.status(now) })
	daemon.status.Register("draining", daemon.drainTracker.status)
	return &metadataPublisher{daemon: daemon}
}

// Serve implements suture.Service.
func (publisher *metadataPublisher) Serve(ctx context.Context) error {
	return lwteventloop.Tick(ctx, publishInterval, publisher.publish)
}

// String returns the name of the service in logs.
func (publisher *metadataPublisher) String() string { return "join" }

func (publisher *metadataPublisher) publish(now time.Time) {
	if elapsed := now.Sub(publisher.publishedAt); elapsed >= requestRateInterval {
		publisher.publishRequestRate(now, elapsed)
	}
	if state, _ := publisher.daemon.stateSyncer.State(); state.Revision != publisher.revision {
		publisher.revision = state.Revision
		publisher.daemon.members.SetRevision(state.Revision)
	}
}

// publishRequestRate publishes the recent requests per second. The daemons use it to
// spread callers when they return entry addresses.
func (publisher *metadataPublisher) publishRequestRate(now time.Time, elapsed time.Duration) {
	requests := publisher.daemon.observer.requests.Load()
	if !publisher.publishedAt.IsZero() {
		publisher.daemon.members.SetMetadata(requestRateKey, int64(float64(requests-publisher.requests)/elapsed.Seconds()))
	}
	publisher.publishedAt, publisher.requests = now, requests
}

// leaseMembers returns the lease holder names of the live daemons that are not
// leaving, sorted.
func (members *members) leaseMembers() []string {
	var names []string
	model := members.loop.Model()
	for _, member := range append(model.Members(), model.Self()) {
		if member.Live() && member.Status != lwtmember.Leaving {
			names = append(names, leaseHolder(member))
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// leaseHolder returns the name under which one process of a daemon holds leases. After
// a restart at the same address, a daemon therefore does not treat the leases of its
// predecessor as its own.
func leaseHolder(member lwtmember.Member) string {
	return fmt.Sprintf("%s/%d", member.Name, member.Boot)
}

// memberStatus is the status of one daemon, as seen by this daemon.
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

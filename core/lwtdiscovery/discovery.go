// Package lwtdiscovery tracks the backend servers that a daemon may use, from their entries in
// the platform's store.
package lwtdiscovery

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Stage is the stage of requests that a model engine serves.
type Stage string

// The stages. Plain services have none.
const (
	NoStage Stage = ""
	Prefill Stage = "prefill"
	Decode  Stage = "decode"
)

// Server is the entry of one backend server in the store.
type Server struct {
	ID      string
	Service string
	// Address is IP:port.
	Address          string
	AvailabilityZone string
	// Slots is the number of requests that the server runs at once.
	Slots    int
	Draining bool
	// Stage is empty unless the server is a model engine.
	Stage Stage
	// Version is the version of the server's software.
	Version string
	// HeartbeatSeq numbers the server's heartbeats since its start.
	HeartbeatSeq int64
	// StartTime is the server's start by its own clock. A server that restarts under the same
	// id has another start time and has lost its state.
	StartTime time.Time
}

// SameIncarnation reports whether two entries are of the same process of a server.
func (server Server) SameIncarnation(other Server) bool {
	return server.ID == other.ID && server.Address == other.Address && server.StartTime.Equal(other.StartTime)
}

// OlderThan reports whether an entry was written before another one of the same server. A
// delayed heartbeat can reach the store after a newer one.
func (server Server) OlderThan(other Server) bool {
	if !server.StartTime.Equal(other.StartTime) {
		return server.StartTime.Before(other.StartTime)
	}
	return server.HeartbeatSeq < other.HeartbeatSeq
}

// EngineStatus is an engine's response to a status request.
type EngineStatus struct {
	Stage Stage
	// AcceptedOrders is the number of stage orders that the engine has accepted since its start.
	AcceptedOrders int64
	// OrderInProgress reports whether the engine is carrying out an order.
	OrderInProgress bool
}

// OutageGracePeriod is how long a server whose entry expired during an outage of the store is
// kept after the store has recovered. A live server writes its entry again within about 2 s.
const OutageGracePeriod = 2500 * time.Millisecond

// ServerSet is the set of backend servers that a daemon may use. It is immutable: its methods
// return changed copies. The zero value is empty.
type ServerSet struct {
	servers map[string]Server
	// removeAt holds when a server without an entry is removed, by id.
	removeAt map[string]time.Time
	// outage is the last outage of the store as this daemon saw it.
	outage Outage
	// reportedDraining holds, by id, the start time of the servers that announced in a response
	// that they are draining.
	reportedDraining map[string]time.Time
}

// Outage is a period in which the store did not respond to a daemon.
type Outage struct {
	// Start is the time of the last response before the outage, End that of the first one
	// after it.
	Start time.Time
	End   time.Time
}

// WithOutage returns the set after an outage of the store has ended.
func (serverSet ServerSet) WithOutage(outage Outage) ServerSet {
	serverSet.outage = outage
	return serverSet
}

// ReachablePeriod is a period in which the store responded to a daemon without a gap long
// enough for an entry to expire.
type ReachablePeriod struct {
	Since time.Time
	Until time.Time
	// AnnouncedSince is since when the daemon has announced each change. It is not before Since,
	// and after it if the daemon has read all servers again since then.
	AnnouncedSince time.Time
}

// covers reports whether the store was reachable during all of an outage that another daemon
// saw.
func (reachablePeriod ReachablePeriod) covers(outage Outage) bool {
	return !outage.End.IsZero() && !reachablePeriod.Since.After(outage.Start) && !reachablePeriod.Until.Before(outage.End)
}

// WithReachablePeriod returns the set after another daemon reported in which period it could
// reach the store. If the period covers this daemon's last outage, the store was available and
// no entry expired because of the outage, so servers without an entry are removed. Removed
// holds their ids.
func (serverSet ServerSet) WithReachablePeriod(reachablePeriod ReachablePeriod) (next ServerSet, removed []string) {
	if !reachablePeriod.covers(serverSet.outage) {
		return serverSet, nil
	}
	next = serverSet.copy()
	next.outage = Outage{}
	for id := range serverSet.removeAt {
		delete(next.servers, id)
		delete(next.removeAt, id)
		removed = append(removed, id)
	}
	return next, removed
}

// WithEntry returns the set with a new or changed entry. An entry that is older than the
// current one of its server is ignored.
func (serverSet ServerSet) WithEntry(server Server) ServerSet {
	if !serverSet.changedBy(server) {
		return serverSet
	}
	next := serverSet.copy()
	next.replaceEntry(server)
	return next
}

// changedBy reports whether an entry changes the set. An entry that is older than the current
// one does not, and neither does one that differs only in its heartbeat: the current entry then
// keeps its sequence number, and an entry that was delayed past a change still is older than
// the entry with the change.
func (serverSet ServerSet) changedBy(server Server) bool {
	known, found := serverSet.servers[server.ID]
	if !found {
		return true
	}
	if _, missing := serverSet.removeAt[server.ID]; missing || server.OlderThan(known) {
		return !server.OlderThan(known)
	}
	if started, reported := serverSet.reportedDraining[server.ID]; reported && started.Equal(server.StartTime) {
		server.Draining = true
	}
	server.HeartbeatSeq = known.HeartbeatSeq
	return !known.SameIncarnation(server) || server != known
}

// replaceEntry stores an entry in place.
func (serverSet ServerSet) replaceEntry(server Server) {
	if started, reported := serverSet.reportedDraining[server.ID]; reported && started.Equal(server.StartTime) {
		server.Draining = true
	} else {
		delete(serverSet.reportedDraining, server.ID)
	}
	serverSet.servers[server.ID] = server
	delete(serverSet.removeAt, server.ID)
}

// WithDraining returns the set after a server announced in a response that it is draining.
// Started is the start time of the server. It counts as draining until it restarts, even if its
// entry says otherwise. Changed reports whether a listed server was not draining before.
func (serverSet ServerSet) WithDraining(id string, started time.Time) (next ServerSet, changed bool) {
	if before, reported := serverSet.reportedDraining[id]; reported && before.Equal(started) {
		return serverSet, false
	}
	next = serverSet.copy()
	next.evictReportedDraining()
	next.reportedDraining[id] = started
	known, found := serverSet.servers[id]
	if !found || !known.StartTime.Equal(started) {
		return next, false
	}
	changed = !known.Draining
	known.Draining = true
	next.servers[id] = known
	return next, changed
}

// ReportedDraining returns the listed servers that announced in a response that they are draining.
func (serverSet ServerSet) ReportedDraining() (servers []Server) {
	for id, started := range serverSet.reportedDraining {
		if server, listed := serverSet.servers[id]; listed && server.StartTime.Equal(started) {
			servers = append(servers, server)
		}
	}
	return servers
}

// maxReportedDraining is the size of reportedDraining at which servers that are not listed are
// removed from it. Until then they are kept, because their entries may reappear after an outage
// of the store.
const maxReportedDraining = 1024

func (serverSet ServerSet) evictReportedDraining() {
	if len(serverSet.reportedDraining) < maxReportedDraining {
		return
	}
	for id := range serverSet.reportedDraining {
		if _, listed := serverSet.servers[id]; !listed {
			delete(serverSet.reportedDraining, id)
		}
	}
}

// WithoutServer returns the set without a server.
func (serverSet ServerSet) WithoutServer(id string) ServerSet {
	if _, found := serverSet.servers[id]; !found {
		return serverSet
	}
	next := serverSet.copy()
	delete(next.servers, id)
	delete(next.removeAt, id)
	return next
}

// WithoutEntry returns the set after the entry of a server was removed. If the entry may have
// expired only because of an outage of the store, the server is kept for OutageGracePeriod
// after the outage, unless it was draining.
func (serverSet ServerSet) WithoutEntry(now time.Time, id string) ServerSet {
	server, found := serverSet.servers[id]
	if !found {
		return serverSet
	}
	removeAt := serverSet.outage.End.Add(OutageGracePeriod)
	if !now.Before(removeAt) || server.Draining {
		return serverSet.WithoutServer(id)
	}
	return serverSet.withRemovalAt(id, removeAt)
}

// WithReportedExpiry returns the set after another daemon reported that the entry of a server
// was removed and may have expired only because of an outage of the store.
func (serverSet ServerSet) WithReportedExpiry(now time.Time, id string) ServerSet {
	server, found := serverSet.servers[id]
	switch {
	case !found:
		return serverSet
	case server.Draining:
		return serverSet.WithoutServer(id)
	}
	return serverSet.withRemovalAt(id, now.Add(OutageGracePeriod))
}

func (serverSet ServerSet) withRemovalAt(id string, removeAt time.Time) ServerSet {
	next := serverSet.copy()
	if _, scheduled := next.removeAt[id]; !scheduled {
		next.removeAt[id] = removeAt
	}
	return next
}

// WithSnapshot returns the set after a complete read of the entries.
func (serverSet ServerSet) WithSnapshot(now time.Time, servers []Server) ServerSet {
	listed := map[string]bool{}
	next := serverSet.copy()
	for _, server := range servers {
		listed[server.ID] = true
		if next.changedBy(server) {
			next.replaceEntry(server)
		}
	}
	for id := range serverSet.servers {
		if !listed[id] {
			next = next.WithoutEntry(now, id)
		}
	}
	return next
}

// WithoutExpired returns the set without the servers whose grace period has ended and reports
// whether there were any.
func (serverSet ServerSet) WithoutExpired(now time.Time) (ServerSet, bool) {
	var expired []string
	for id, removeAt := range serverSet.removeAt {
		if !now.Before(removeAt) {
			expired = append(expired, id)
		}
	}
	if len(expired) == 0 {
		return serverSet, false
	}
	next := serverSet.copy()
	for _, id := range expired {
		delete(next.servers, id)
		delete(next.removeAt, id)
	}
	return next, true
}

// Server returns the server with an id.
func (serverSet ServerSet) Server(id string) (Server, bool) {
	server, found := serverSet.servers[id]
	return server, found
}

// Missing reports whether the entry of a server was removed, and the server is kept for now.
func (serverSet ServerSet) Missing(id string) bool {
	_, missing := serverSet.removeAt[id]
	return missing
}

// Servers returns all servers, sorted by id.
func (serverSet ServerSet) Servers() []Server {
	servers := make([]Server, 0, len(serverSet.servers))
	for _, server := range serverSet.servers {
		servers = append(servers, server)
	}
	sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	return servers
}

// Digest returns a hash of the servers. It is equal for sets that differ only in heartbeats,
// slots or availability zones.
func (serverSet ServerSet) Digest() uint64 {
	var digest uint64
	for _, server := range serverSet.servers {
		digest ^= xxhash.Sum64String(fmt.Sprintf("%s %s %s %s %v %d", server.ID, server.Service, server.Address, server.Stage,
			server.Draining, server.StartTime.UnixMilli()))
	}
	return digest
}

func (serverSet ServerSet) copy() ServerSet {
	next := ServerSet{
		servers:          make(map[string]Server, len(serverSet.servers)+1),
		removeAt:         map[string]time.Time{},
		outage:           serverSet.outage,
		reportedDraining: make(map[string]time.Time, len(serverSet.reportedDraining)),
	}
	for id, started := range serverSet.reportedDraining {
		next.reportedDraining[id] = started
	}
	for id, server := range serverSet.servers {
		next.servers[id] = server
	}
	for id, removeAt := range serverSet.removeAt {
		next.removeAt[id] = removeAt
	}
	return next
}

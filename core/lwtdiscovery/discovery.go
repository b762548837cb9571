// Package lwtdiscovery keeps the backend servers that a daemon may use, as the
// platform's store lists them.
package lwtdiscovery

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Stage is the part of a request that a model engine takes.
type Stage string

// The stages. Plain services have none.
const (
	NoStage Stage = ""
	Prefill Stage = "prefill"
	Decode  Stage = "decode"
)

// Server is one backend server.
type Server struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	Slots            int
	Draining         bool
	Stage            Stage
	// HeartbeatSeq numbers the server's heartbeats since its start.
	HeartbeatSeq int64
	// StartTime is the server's start by its own clock. A server that starts
	// again under its id has another start and knows nothing of before.
	StartTime time.Time
}

// SameIncarnation reports whether two entries describe the same run of a server.
func (server Server) SameIncarnation(other Server) bool {
	return server.ID == other.ID && server.Address == other.Address && server.StartTime.Equal(other.StartTime)
}

// OlderThan reports whether an entry was written before another one of the same
// server. A heartbeat that was delayed can reach the store after a newer one.
func (server Server) OlderThan(other Server) bool {
	if !server.StartTime.Equal(other.StartTime) {
		return server.StartTime.Before(other.StartTime)
	}
	return server.HeartbeatSeq < other.HeartbeatSeq
}

// EngineStatus is what an engine says of itself when it is asked.
type EngineStatus struct {
	Stage Stage
	// AcceptedOrders is the number of orders that the engine has accepted since its start.
	AcceptedOrders int64
	// OrderInProgress says that an order is being carried out.
	OrderInProgress bool
}

// OutageGracePeriod is how long a server whose entry lapsed during an outage of the
// store is kept after the store's return. A live server writes its entry again
// within about 2 s.
const OutageGracePeriod = 2500 * time.Millisecond

// ServerSet is the list of backend servers. The zero Roster is empty.
type ServerSet struct {
	servers map[string]Server
	// missing holds the time at which a server without an entry is dropped.
	missing map[string]time.Time
	// outage is the last time during which the store did not answer this daemon.
	outage Outage
	// said holds the start of the servers whose answers say that they leave.
	said map[string]time.Time
}

// Outage is a time during which the store did not answer a daemon.
type Outage struct {
	// Start is when the store last answered before, End when it answered again.
	Start time.Time
	End   time.Time
}

// WithOutage notes that the store answers again after an outage.
func (roster ServerSet) WithOutage(outage Outage) ServerSet {
	roster.outage = outage
	return roster
}

// ReachablePeriod is a time during which the store has answered a daemon without a gap in
// which an entry could lapse.
type ReachablePeriod struct {
	Since time.Time
	Until time.Time
}

// covers reports whether the store was there all through an outage of another daemon.
func (contact ReachablePeriod) covers(outage Outage) bool {
	return !outage.End.IsZero() && !contact.Since.After(outage.Start) && !contact.Until.Before(outage.End)
}

// WithReachablePeriod returns the roster after another daemon has told of its contact with
// the store. If that covers this daemon's last outage, the store was never away, no
// entry has lapsed because of it, and servers without one are gone. Ended reports
// whether there was any.
func (roster ServerSet) WithReachablePeriod(contact ReachablePeriod) (next ServerSet, ended []string) {
	if !contact.covers(roster.outage) {
		return roster, nil
	}
	next = roster.copy()
	next.outage = Outage{}
	for id := range roster.missing {
		delete(next.servers, id)
		delete(next.missing, id)
		ended = append(ended, id)
	}
	return next, ended
}

// WithEntry returns the roster with a new or changed server. An entry older
// than the one that is known is ignored.
func (roster ServerSet) WithEntry(server Server) ServerSet {
	if !roster.changedBy(server) {
		return roster
	}
	next := roster.copy()
	next.put(server)
	return next
}

// changedBy reports whether an entry changes the roster. One that is older than what
// is known does not, nor does a heartbeat alone: an entry that was delayed behind a
// change is older than the entry with the change.
func (roster ServerSet) changedBy(server Server) bool {
	known, found := roster.servers[server.ID]
	if !found {
		return true
	}
	if _, missing := roster.missing[server.ID]; missing || server.OlderThan(known) {
		return !server.OlderThan(known)
	}
	if started, said := roster.said[server.ID]; said && started.Equal(server.StartTime) {
		server.Draining = true
	}
	server.HeartbeatSeq = known.HeartbeatSeq
	return !known.SameIncarnation(server) || server != known
}

// put takes in an entry in place.
func (roster ServerSet) put(server Server) {
	if started, said := roster.said[server.ID]; said && started.Equal(server.StartTime) {
		server.Draining = true
	} else {
		delete(roster.said, server.ID)
	}
	roster.servers[server.ID] = server
	delete(roster.missing, server.ID)
}

// WithDraining returns the roster after an answer of a server, which was started at
// a time, said that it leaves. This holds until the server starts again, whatever
// its entry says. News reports whether that was not known.
func (roster ServerSet) WithDraining(id string, started time.Time) (next ServerSet, news bool) {
	if before, said := roster.said[id]; said && before.Equal(started) {
		return roster, false
	}
	next = roster.copy()
	next.forgetSaid()
	next.said[id] = started
	known, found := roster.servers[id]
	if !found || !known.StartTime.Equal(started) {
		return next, false
	}
	news = !known.Draining
	known.Draining = true
	next.servers[id] = known
	return next, news
}

// maxSaid bounds the servers that are remembered as leaving although they are not
// listed: their entries may come back after an outage of the store.
const maxSaid = 1024

func (roster ServerSet) forgetSaid() {
	if len(roster.said) < maxSaid {
		return
	}
	for id := range roster.said {
		if _, listed := roster.servers[id]; !listed {
			delete(roster.said, id)
		}
	}
}

// WithoutServer returns the roster without a server.
func (roster ServerSet) WithoutServer(id string) ServerSet {
	if _, found := roster.servers[id]; !found {
		return roster
	}
	next := roster.copy()
	delete(next.servers, id)
	delete(next.missing, id)
	return next
}

// WithoutEntry returns the roster after the entry of a server was removed. A
// server whose entry may have lapsed only because the store was away is kept
// for ReturnGrace after the store's return, unless it was leaving.
func (roster ServerSet) WithoutEntry(now time.Time, id string) ServerSet {
	server, found := roster.servers[id]
	if !found {
		return roster
	}
	end := roster.outage.End.Add(OutageGracePeriod)
	if !now.Before(end) || server.Draining {
		return roster.WithoutServer(id)
	}
	return roster.withMissing(id, end)
}

// WithReportedExpiry returns the roster after another daemon has told that the entry of a
// server was removed and may have lapsed only because the store was away.
func (roster ServerSet) WithReportedExpiry(now time.Time, id string) ServerSet {
	server, found := roster.servers[id]
	switch {
	case !found:
		return roster
	case server.Draining:
		return roster.WithoutServer(id)
	}
	return roster.withMissing(id, now.Add(OutageGracePeriod))
}

func (roster ServerSet) withMissing(id string, end time.Time) ServerSet {
	next := roster.copy()
	if _, noted := next.missing[id]; !noted {
		next.missing[id] = end
	}
	return next
}

// WithSnapshot returns the roster after a complete read of the list.
func (roster ServerSet) WithSnapshot(now time.Time, servers []Server) ServerSet {
	listed := map[string]bool{}
	next := roster.copy()
	for _, server := range servers {
		listed[server.ID] = true
		if next.changedBy(server) {
			next.put(server)
		}
	}
	for id := range roster.servers {
		if !listed[id] {
			next = next.WithoutEntry(now, id)
		}
	}
	return next
}

// WithoutExpired drops the servers whose grace has ended and reports whether any did.
func (roster ServerSet) WithoutExpired(now time.Time) (ServerSet, bool) {
	var ended []string
	for id, end := range roster.missing {
		if !now.Before(end) {
			ended = append(ended, id)
		}
	}
	if len(ended) == 0 {
		return roster, false
	}
	next := roster.copy()
	for _, id := range ended {
		delete(next.servers, id)
		delete(next.missing, id)
	}
	return next, true
}

// Server returns a server by its id.
func (roster ServerSet) Server(id string) (Server, bool) {
	server, found := roster.servers[id]
	return server, found
}

// Servers returns all servers, sorted by id.
func (roster ServerSet) Servers() []Server {
	servers := make([]Server, 0, len(roster.servers))
	for _, server := range roster.servers {
		servers = append(servers, server)
	}
	sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	return servers
}

// Digest returns a number that is the same for rosters with the same servers, as far
// as they are used alike.
func (roster ServerSet) Digest() uint64 {
	var digest uint64
	for _, server := range roster.servers {
		digest ^= xxhash.Sum64String(fmt.Sprintf("%s %s %s %s %v %d", server.ID, server.Service, server.Address, server.Stage,
			server.Draining, server.StartTime.UnixMilli()))
	}
	return digest
}

func (roster ServerSet) copy() ServerSet {
	next := ServerSet{
		servers: make(map[string]Server, len(roster.servers)+1), missing: map[string]time.Time{}, outage: roster.outage,
		said: make(map[string]time.Time, len(roster.said)),
	}
	for id, started := range roster.said {
		next.said[id] = started
	}
	for id, server := range roster.servers {
		next.servers[id] = server
	}
	for id, end := range roster.missing {
		next.missing[id] = end
	}
	return next
}

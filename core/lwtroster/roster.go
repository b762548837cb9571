// Package lwtroster keeps the backend servers that a daemon may use, as the
// platform's store lists them.
package lwtroster

import (
	"sort"
	"time"
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
	Leaving          bool
	Stage            Stage
	// Beat numbers the server's heartbeats since its start.
	Beat int64
	// Started is the server's start by its own clock. A server that starts
	// again under its id has another start and knows nothing of before.
	Started time.Time
}

// SameRun reports whether two entries describe the same run of a server.
func (server Server) SameRun(other Server) bool {
	return server.ID == other.ID && server.Address == other.Address && server.Started.Equal(other.Started)
}

// OlderThan reports whether an entry was written before another one of the same
// server. A heartbeat that was delayed can reach the store after a newer one.
func (server Server) OlderThan(other Server) bool {
	if !server.Started.Equal(other.Started) {
		return server.Started.Before(other.Started)
	}
	return server.Beat < other.Beat
}

// Report is what an engine says of itself when it is asked.
type Report struct {
	Stage Stage
	// Orders is the number of orders that the engine has accepted since its start.
	Orders int64
	// Busy says that an order is being carried out.
	Busy bool
}

// ReturnGrace is how long a server whose entry lapsed during an outage of the
// store is kept after the store's return. A live server writes its entry again
// within about 2 s.
const ReturnGrace = 2500 * time.Millisecond

// Roster is the list of backend servers. The zero Roster is empty.
type Roster struct {
	servers map[string]Server
	// missing holds the time at which a server without an entry is dropped.
	missing map[string]time.Time
	// outageEnd is when the store last answered after an outage.
	outageEnd time.Time
}

// WithOutageEnd notes that the store answers again after an outage.
func (roster Roster) WithOutageEnd(now time.Time) Roster {
	roster.outageEnd = now
	return roster
}

// WithEntry returns the roster with a new or changed server. An entry older
// than the one that is known is ignored.
func (roster Roster) WithEntry(server Server) Roster {
	if known, found := roster.servers[server.ID]; found && server.OlderThan(known) {
		return roster
	}
	next := roster.copy()
	next.servers[server.ID] = server
	delete(next.missing, server.ID)
	return next
}

// WithoutServer returns the roster without a server.
func (roster Roster) WithoutServer(id string) Roster {
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
func (roster Roster) WithoutEntry(now time.Time, id string) Roster {
	server, found := roster.servers[id]
	if !found {
		return roster
	}
	end := roster.outageEnd.Add(ReturnGrace)
	if !now.Before(end) || server.Leaving {
		return roster.WithoutServer(id)
	}
	next := roster.copy()
	if _, noted := next.missing[id]; !noted {
		next.missing[id] = end
	}
	return next
}

// WithEntries returns the roster after a complete read of the list.
func (roster Roster) WithEntries(now time.Time, servers []Server) Roster {
	listed := map[string]bool{}
	next := roster
	for _, server := range servers {
		listed[server.ID] = true
		next = next.WithEntry(server)
	}
	for id := range roster.servers {
		if !listed[id] {
			next = next.WithoutEntry(now, id)
		}
	}
	return next
}

// Expire drops the servers whose grace has ended and reports whether any did.
func (roster Roster) Expire(now time.Time) (Roster, bool) {
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
func (roster Roster) Server(id string) (Server, bool) {
	server, found := roster.servers[id]
	return server, found
}

// Servers returns all servers, sorted by id.
func (roster Roster) Servers() []Server {
	servers := make([]Server, 0, len(roster.servers))
	for _, server := range roster.servers {
		servers = append(servers, server)
	}
	sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	return servers
}

func (roster Roster) copy() Roster {
	next := Roster{servers: make(map[string]Server, len(roster.servers)+1), missing: map[string]time.Time{}, outageEnd: roster.outageEnd}
	for id, server := range roster.servers {
		next.servers[id] = server
	}
	for id, end := range roster.missing {
		next.missing[id] = end
	}
	return next
}

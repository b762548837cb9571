package lwtqueueplacement

import (
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtretry"
)

// ServerPool places requests on the servers of a plain service: the least loaded one
// that works. It is changed in place by its owner and is not safe for
// concurrent use.
type ServerPool struct {
	zone    string
	members map[string]*member
	order   []*member
}

type member struct {
	server  lwtdiscovery.Server
	active  int
	peers   peerLoads
	breaker lwtretry.Breaker
	pause   pause
}

// NewServerPool returns a pool without servers. Zone is the daemon's availability zone.
func NewServerPool(zone string) *ServerPool {
	return &ServerPool{zone: zone, members: map[string]*member{}}
}

// SetServers sets the servers of the service.
func (pool *ServerPool) SetServers(servers []lwtdiscovery.Server) {
	members := map[string]*member{}
	pool.order = pool.order[:0]
	for _, server := range servers {
		known, found := pool.members[server.ID]
		if !found || !known.server.SameIncarnation(server) {
			known = &member{}
		}
		known.server = server
		members[server.ID] = known
		pool.order = append(pool.order, known)
	}
	pool.members = members
}

// noServerRetry is when to come back if a service has no server.
const noServerRetry = 500 * time.Millisecond

// Place chooses a server. Start rotates among equals.
func (pool *ServerPool) Place(now time.Time, excluded map[string]bool, start int) (lwtdiscovery.Server, *Rejection) {
	var paused time.Time
	candidates := make([]lwtretry.Candidate, 0, len(pool.order))
	byAddress := map[string]*member{}
	for _, member := range pool.order {
		if excluded[member.server.ID] {
			continue
		}
		if member.pause.holds(now) {
			paused = member.pause.earlier(now, paused)
			continue
		}
		byAddress[member.server.Address] = member
		candidates = append(candidates, lwtretry.Candidate{
			Address: member.server.Address, SameZone: true, Draining: member.server.Draining,
			Breaker: member.breaker, InFlight: member.load(now, pool.zone),
		})
	}
	for _, address := range lwtretry.Rank(now, candidates, start) {
		return byAddress[address].server, nil
	}
	if refusal := pauseRefusal(now, paused); refusal != nil {
		return lwtdiscovery.Server{}, refusal
	}
	return lwtdiscovery.Server{}, &Rejection{Reason: "no-server", RetryAfter: noServerRetry}
}

// Pause keeps requests away from a server for as long as it asks for.
func (pool *ServerPool) Pause(now time.Time, id string, span time.Duration) {
	if member, found := pool.members[id]; found {
		member.pause = member.pause.extended(now, span)
	}
}

// load weighs a server in another availability zone as one request more.
func (member *member) load(now time.Time, zone string) int {
	load := member.active + member.peers.sum(now).Running
	if member.server.AvailabilityZone != zone {
		load++
	}
	return load
}

// RequestStarted notes that a request was sent to a server.
func (pool *ServerPool) RequestStarted(now time.Time, id string) {
	if member, found := pool.members[id]; found {
		member.active++
		member.breaker = member.breaker.WithAttempt(now)
	}
}

// RequestEnded notes the end of a request. Jitter is uniform in [0, 1).
func (pool *ServerPool) RequestEnded(now time.Time, id string, failed bool, jitter float64) {
	if member, found := pool.members[id]; found {
		member.active = max(member.active-1, 0)
		member.breaker = member.breaker.WithResult(now, failed, jitter)
	}
}

// Loads returns the daemon's own load by server, without idle servers.
func (pool *ServerPool) Loads() map[string]Load {
	loads := map[string]Load{}
	for id, member := range pool.members {
		if member.active > 0 {
			loads[id] = Load{Running: member.active}
		}
	}
	return loads
}

// ApplyReport notes what another daemon has sent to the servers.
func (pool *ServerPool) ApplyReport(now time.Time, daemon string, report LoadReport) {
	applyReport(now, daemon, report, pool.members, func(member *member) *peerLoads { return &member.peers })
}

// Paused reports whether a server wants no request now.
func (pool *ServerPool) Paused(now time.Time, id string) bool {
	member, found := pool.members[id]
	return found && member.pause.holds(now)
}

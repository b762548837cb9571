package lwtqueueplacement

import (
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtretry"
)

// ServerPool places the requests of a plain service on its least loaded healthy server. It
// is not safe for concurrent use.
type ServerPool struct {
	availabilityZone string
	rateLimits       RateLimits
	serversByID      map[string]*pooledServer
	servers          []*pooledServer
	backoffs         backoffs
}

type pooledServer struct {
	server    lwtdiscovery.Server
	inFlight  int
	peerLoads peerLoads
	breaker   lwtretry.Breaker
	backoff   backoff
}

// NewServerPool returns a pool without servers. Options.PrefillTimePerToken is not used.
func NewServerPool(options Options) *ServerPool {
	if options.RateLimits == nil {
		options.RateLimits = unlimited{}
	}
	return &ServerPool{
		availabilityZone: options.AvailabilityZone, rateLimits: options.RateLimits,
		serversByID: map[string]*pooledServer{}, backoffs: backoffs{},
	}
}

// SetServers sets the servers of the service. The state of a server that has restarted is
// reset.
func (serverPool *ServerPool) SetServers(servers []lwtdiscovery.Server) {
	serversByID := map[string]*pooledServer{}
	serverPool.servers = serverPool.servers[:0]
	for _, server := range servers {
		pooled, found := serverPool.serversByID[server.ID]
		if !found || !pooled.server.SameIncarnation(server) {
			pooled = &pooledServer{backoff: serverPool.backoffs[incarnationOf(server)]}
		}
		pooled.server = server
		serversByID[server.ID] = pooled
		serverPool.servers = append(serverPool.servers, pooled)
	}
	serverPool.serversByID = serversByID
}

// noServerRetryAfter is the retry delay if the service has no usable server.
const noServerRetryAfter = 500 * time.Millisecond

// Place chooses a server that is not in excluded. Start is the index at which the search
// begins, and rotates among servers of equal rank.
func (serverPool *ServerPool) Place(
	now time.Time, excluded map[string]bool, start int,
) (lwtdiscovery.Server, *Rejection) {
	var unavailability unavailability
	candidates := make([]lwtretry.Candidate, 0, len(serverPool.servers))
	byAddress := map[string]*pooledServer{}
	for _, pooledServer := range serverPool.servers {
		if excluded[pooledServer.server.ID] {
			continue
		}
		if pooledServer.backoff.active(now) || !serverPool.rateLimits.Allows(now, pooledServer.server) {
			if !pooledServer.server.Draining {
				unavailability = unavailability.withServer(now, pooledServer.server, pooledServer.backoff, serverPool.rateLimits)
			}
			continue
		}
		byAddress[pooledServer.server.Address] = pooledServer
		candidates = append(candidates, lwtretry.Candidate{
			Address: pooledServer.server.Address, SameZone: true, Draining: pooledServer.server.Draining,
			Breaker: pooledServer.breaker, InFlight: pooledServer.load(now, serverPool.availabilityZone),
		})
	}
	for _, address := range lwtretry.Rank(now, candidates, start) {
		return byAddress[address].server, nil
	}
	if rejection := unavailability.reject(now); rejection != nil {
		return lwtdiscovery.Server{}, rejection
	}
	return lwtdiscovery.Server{}, &Rejection{Reason: "no-server", RetryAfter: noServerRetryAfter}
}

// ApplyBackoff applies a backoff that a server requested: it gets no requests for the duration, at
// most for maxBackoff.
func (serverPool *ServerPool) ApplyBackoff(now time.Time, id string, duration time.Duration) {
	if pooledServer, found := serverPool.serversByID[id]; found {
		pooledServer.backoff = serverPool.backoffs.extend(now, pooledServer.server, duration)
	}
}

// load returns the number of requests on the server. A server outside of availabilityZone
// counts one more.
func (pooledServer *pooledServer) load(now time.Time, availabilityZone string) int {
	load := pooledServer.inFlight + pooledServer.peerLoads.sum(now).Running
	if pooledServer.server.AvailabilityZone != availabilityZone {
		load++
	}
	return load
}

// RequestStarted records that a request was sent to a server.
func (serverPool *ServerPool) RequestStarted(now time.Time, id string) {
	if pooledServer, found := serverPool.serversByID[id]; found {
		pooledServer.inFlight++
		pooledServer.breaker = pooledServer.breaker.WithAttempt(now)
	}
}

// RequestEnded records the end of a request and whether the server failed it. Jitter is
// uniform in [0, 1) and spreads the probes of many daemons.
func (serverPool *ServerPool) RequestEnded(now time.Time, id string, failed bool, jitter float64) {
	if pooledServer, found := serverPool.serversByID[id]; found {
		pooledServer.inFlight = max(pooledServer.inFlight-1, 0)
		pooledServer.breaker = pooledServer.breaker.WithResult(now, failed, jitter)
	}
}

// Loads returns the daemon's own load by server id, without idle servers.
func (serverPool *ServerPool) Loads() map[string]Load {
	loads := map[string]Load{}
	for id, pooledServer := range serverPool.serversByID {
		if pooledServer.inFlight > 0 {
			loads[id] = Load{Running: pooledServer.inFlight}
		}
	}
	return loads
}

// ApplyReport applies the load report of another daemon.
func (serverPool *ServerPool) ApplyReport(now time.Time, daemon string, report LoadReport) {
	applyReport(now, daemon, report, serverPool.serversByID, func(pooledServer *pooledServer) *peerLoads {
		return &pooledServer.peerLoads
	})
}

// InBackoff reports whether a backoff that the server requested is active.
func (serverPool *ServerPool) InBackoff(now time.Time, id string) bool {
	pooledServer, found := serverPool.serversByID[id]
	return found && pooledServer.backoff.active(now)
}

package lwtgateway

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtquarantine"
	"lacewingtide/core/lwtqueueplacement"
	"lacewingtide/core/lwtretry"
	"lacewingtide/core/lwtroutetable"
	"lacewingtide/core/lwtsendlimit"
	"lacewingtide/core/lwtstreamversion"
	"lacewingtide/platform"
)

// view holds the daemon's view of the fleet: the configuration, the backend servers and their
// loads. It places requests accordingly. It is safe for concurrent use. Methods with the
// suffix Locked require that the mutex is held.
type view struct {
	mutex            sync.Mutex
	placementOptions lwtqueueplacement.Options
	retryLimits      lwtretry.SharedBudgetLimits
	// daemonCount is the number of live daemons, this one included.
	daemonCount int

	config      lwtroutetable.Config
	configKnown bool
	// configRow is the store row of the active configuration.
	configRow    platform.Row
	serverSet    lwtdiscovery.ServerSet
	serversKnown bool
	enginePools  map[string]*lwtqueueplacement.EnginePool
	serverPools  map[string]*lwtqueueplacement.ServerPool
	retryBudgets map[string]*lwtretry.SharedBudget
	limiter      *lwtsendlimit.Limiter
	quarantine   *lwtquarantine.Quarantine
	streams      *lwtstreamversion.Table
	// mixedServicesChanged has an element if several software versions of a service have begun to
	// serve.
	mixedServicesChanged chan struct{}
	byID                 map[string]lwtdiscovery.Server
	byAddress            map[string]lwtdiscovery.Server
	serversDigest        uint64
}

// newView returns the view of the daemon with the name self.
func newView(
	self string, placementOptions lwtqueueplacement.Options, retryLimits lwtretry.SharedBudgetLimits,
) *view {
	limiter := lwtsendlimit.New(self)
	placementOptions.RateLimits = limiter
	return &view{
		placementOptions: placementOptions, retryLimits: retryLimits, daemonCount: 1,
		enginePools: map[string]*lwtqueueplacement.EnginePool{}, serverPools: map[string]*lwtqueueplacement.ServerPool{},
		retryBudgets: map[string]*lwtretry.SharedBudget{}, limiter: limiter, quarantine: lwtquarantine.New(self),
		streams: lwtstreamversion.New(), mixedServicesChanged: make(chan struct{}, 1),
	}
}

// setConfig activates a configuration if it is newer than the active one, and reports
// whether it did. Row is the store row of the configuration.
func (view *view) setConfig(config lwtroutetable.Config, row platform.Row) bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if view.configKnown && config.Version <= view.config.Version {
		return false
	}
	view.config, view.configKnown, view.configRow = config, true, row
	view.rebuildLocked()
	return true
}

// configuration returns the active configuration, if there is one.
func (view *view) configuration() (lwtroutetable.Config, bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.config, view.configKnown
}

// configurationRow returns the store row of the active configuration. Its version is 0 if no
// configuration has been received.
func (view *view) configurationRow() platform.Row {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.configRow
}

// updateServers replaces the set of backend servers with the result of update. They count as known once there
// are any.
func (view *view) updateServers(update func(lwtdiscovery.ServerSet) lwtdiscovery.ServerSet) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.serverSet = update(view.serverSet)
	view.serversKnown = view.serversKnown || len(view.serverSet.Servers()) > 0
	view.rebuildLocked()
}

// setServersKnown records that the whole list of servers has been read, which may be empty.
func (view *view) setServersKnown() {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.serversKnown = true
}

// expireServers removes the servers whose grace period has ended. It returns the number of servers
// left, and whether any was removed.
func (view *view) expireServers(now time.Time) (left int, expired bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if view.serverSet, expired = view.serverSet.WithoutExpired(now); !expired {
		return 0, false
	}
	view.rebuildLocked()
	return len(view.serverSet.Servers()), true
}

// setDraining marks the incarnation of a server with a start time as draining. It reports
// whether that has changed the set of servers.
func (view *view) setDraining(id string, started time.Time) (changed bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if view.serverSet, changed = view.serverSet.WithDraining(id, started); changed {
		view.rebuildLocked()
	}
	return changed
}

// reportedDraining returns the servers whose responses say that they are draining.
func (view *view) reportedDraining() []lwtdiscovery.Server {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.serverSet.ReportedDraining()
}

// servers returns the backend servers of a service.
func (view *view) servers(service string) []lwtdiscovery.Server {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.serversLocked(service)
}

func (view *view) serversLocked(service string) []lwtdiscovery.Server {
	var servers []lwtdiscovery.Server
	for _, server := range view.serverSet.Servers() {
		if server.Service == service {
			servers = append(servers, server)
		}
	}
	return servers
}

func (view *view) rebuildLocked() {
	view.byID, view.byAddress = map[string]lwtdiscovery.Server{}, map[string]lwtdiscovery.Server{}
	for _, server := range view.serverSet.Servers() {
		view.byID[server.ID] = server
		view.byAddress[server.Address] = server
	}
	view.serversDigest = view.serverSet.Digest()
	defer view.signalMixedServicesLocked(view.streams.MixedServices(time.Now()))
	for _, name := range view.config.ServiceNames() {
		service, _ := view.config.Service(name)
		servers := view.serversLocked(name)
		view.setVersionsLocked(time.Now(), name, servers)
		if service.Engine == nil {
			if view.serverPools[name] == nil {
				view.serverPools[name] = lwtqueueplacement.NewServerPool(view.placementOptions)
			}
			view.serverPools[name].SetServers(servers)
			continue
		}
		if view.enginePools[name] == nil {
			view.enginePools[name] = lwtqueueplacement.NewEnginePool(view.placementOptions)
		}
		view.enginePools[name].SetServers(*service.Engine, servers)
	}
}

// ready reports whether the daemon has a configuration and a list of servers, which it needs
// to serve callers.
func (view *view) ready() bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.configKnown && view.serversKnown
}

// connectionLimit returns how many connections this daemon may open to an address. The
// daemons share the limit of a server equally.
func (view *view) connectionLimit(address string) int {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	service, found := view.config.Service(view.byAddress[address].Service)
	if !found || service.MaxConnections <= 0 {
		return minConnectionsPerServer
	}
	return max(service.MaxConnections/max(view.daemonCount, 1), minConnectionsPerServer)
}

// minConnectionsPerServer is the minimum number of connections that a daemon may open to a
// server, regardless of how many daemons share the server's limit.
const minConnectionsPerServer = 2

// inUse reports whether the server at an address is listed and not draining.
func (view *view) inUse(address string) bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	server, found := view.byAddress[address]
	return found && !server.Draining
}

// digest returns a digest of the set of servers. It is equal on daemons with equal sets.
func (view *view) digest() uint64 {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.serversDigest
}

// serverAt returns the server at an address.
func (view *view) serverAt(address string) (lwtdiscovery.Server, bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	server, found := view.byAddress[address]
	return server, found
}

// retryBudget is the retry budget of one service. It implements lwtrequestflow.RetryBudget.
type retryBudget struct {
	view    *view
	service string
}

// Spend implements lwtrequestflow.RetryBudget.
func (retryBudget retryBudget) Spend(now time.Time) bool {
	retryBudget.view.mutex.Lock()
	defer retryBudget.view.mutex.Unlock()
	return retryBudget.view.sharedBudgetLocked(retryBudget.service).Spend(now)
}

func (retryBudget retryBudget) recordRequest(now time.Time) {
	retryBudget.view.mutex.Lock()
	defer retryBudget.view.mutex.Unlock()
	retryBudget.view.sharedBudgetLocked(retryBudget.service).RecordRequest(now)
}

func (view *view) sharedBudgetLocked(service string) *lwtretry.SharedBudget {
	sharedBudget, found := view.retryBudgets[service]
	if !found {
		sharedBudget = lwtretry.NewSharedBudget(view.retryLimits)
		view.retryBudgets[service] = sharedBudget
	}
	sharedBudget.SetDaemonCount(view.daemonCount)
	return sharedBudget
}

// target holds the servers of one attempt of a request.
type target struct {
	isEngine  bool
	placement lwtqueueplacement.Placement
	server    lwtdiscovery.Server
}

// placeRequest chooses the servers of a request, or returns why there are none.
func (view *view) placeRequest(
	now time.Time, service string, request lwtqueueplacement.PlacementRequest,
) (target, *lwtqueueplacement.Rejection) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if enginePool, found := view.enginePools[service]; found {
		placement, rejection := enginePool.Place(now, request)
		return target{isEngine: true, placement: placement, server: placement.Decode}, rejection
	}
	serverPool, found := view.serverPools[service]
	if !found {
		return target{}, &lwtqueueplacement.Rejection{Reason: "unknown-service", RetryAfter: defaultRetryAfter}
	}
	server, rejection := serverPool.Place(now, view.excludedLocked(service, request), rand.IntN(1<<16))
	return target{server: server}, rejection
}

// excludedLocked returns the ids of the servers that can't run a request: those that have failed it
// and, for a stream that goes on, those of other software versions.
func (view *view) excludedLocked(service string, request lwtqueueplacement.PlacementRequest) map[string]bool {
	if !request.VersionFixed {
		return request.Excluded
	}
	excluded := maps.Clone(request.Excluded)
	for _, server := range view.serversLocked(service) {
		if server.Version != request.Version {
			excluded[server.ID] = true
		}
	}
	return excluded
}

// defaultRetryAfter is the Retry-After time of rejections that are not based on load: there
// is no configuration, the service is unknown, or the daemon is shutting down.
const defaultRetryAfter = 500 * time.Millisecond

// withEnginePool calls update with the engine pool of a service, if it has one.
func (view *view) withEnginePool(service string, update func(*lwtqueueplacement.EnginePool)) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if enginePool, found := view.enginePools[service]; found {
		update(enginePool)
	}
}

// withServerPool calls update with the server pool of a service without engines, if it is
// one.
func (view *view) withServerPool(service string, update func(*lwtqueueplacement.ServerPool)) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if serverPool, found := view.serverPools[service]; found {
		update(serverPool)
	}
}

// setBackoff sends no requests to a server for the backoff that it has requested.
func (view *view) setBackoff(now time.Time, server lwtdiscovery.Server, backoff time.Duration) {
	view.withEnginePool(server.Service, func(enginePool *lwtqueueplacement.EnginePool) {
		enginePool.ApplyBackoff(now, server.ID, backoff)
	})
	view.withServerPool(server.Service, func(serverPool *lwtqueueplacement.ServerPool) {
		serverPool.ApplyBackoff(now, server.ID, backoff)
	})
}

// inBackoff reports whether a server is in a backoff that it has requested.
func (view *view) inBackoff(now time.Time, server lwtdiscovery.Server) (inBackoff bool) {
	view.withEnginePool(server.Service, func(enginePool *lwtqueueplacement.EnginePool) {
		inBackoff = enginePool.InBackoff(now, server.ID)
	})
	view.withServerPool(server.Service, func(serverPool *lwtqueueplacement.ServerPool) {
		inBackoff = serverPool.InBackoff(now, server.ID)
	})
	return inBackoff
}

// ownLoads returns this daemon's pending load, by server ID.
func (view *view) ownLoads() map[string]lwtqueueplacement.Load {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	loads := map[string]lwtqueueplacement.Load{}
	for _, enginePool := range view.enginePools {
		for id, load := range enginePool.Loads() {
			loads[id] = load
		}
	}
	for _, serverPool := range view.serverPools {
		for id, load := range serverPool.Loads() {
			loads[id] = load
		}
	}
	return loads
}

// enginesBusy reports whether the engines of a service are serving requests.
func (view *view) enginesBusy(now time.Time, service string) bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	enginePool, found := view.enginePools[service]
	return found && enginePool.Busy(now)
}

// streamCounts returns the number of requests that the engines of each software version of a service decode.
func (view *view) streamCounts(now time.Time, service string) map[string]int {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	enginePool, found := view.enginePools[service]
	if !found {
		return nil
	}
	return enginePool.Streams(now)
}

// setEnginesChangingStage sets the engines whose stage is being changed.
func (view *view) setEnginesChangingStage(now time.Time, ids []string) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	for _, enginePool := range view.enginePools {
		enginePool.SetEnginesChangingStage(now, ids)
	}
}

// applyLoadReport applies the load report of another daemon to all pools.
func (view *view) applyLoadReport(now time.Time, daemon string, report lwtqueueplacement.LoadReport) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	for _, enginePool := range view.enginePools {
		enginePool.ApplyReport(now, daemon, report)
	}
	for _, serverPool := range view.serverPools {
		serverPool.ApplyReport(now, daemon, report)
	}
}

// setRetryLimits sets the limits of all retry budgets.
func (view *view) setRetryLimits(limits lwtretry.SharedBudgetLimits) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.retryLimits = limits
	for _, sharedBudget := range view.retryBudgets {
		sharedBudget.SetLimits(limits)
	}
}

// setDaemons sets the names of the live daemons, this one included.
func (view *view) setDaemons(now time.Time, names []string) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.daemonCount = len(names)
	view.limiter.SetDaemons(now, names)
	view.quarantine.SetDaemons(names)
}

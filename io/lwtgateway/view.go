package lwtgateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtqueueplacement"
	"lacewingtide/core/lwtretry"
	"lacewingtide/core/lwtroutetable"
	"lacewingtide/platform"
)

// view holds what the daemon knows and the decisions that depend on it. It is
// safe for concurrent use.
type view struct {
	mutex sync.Mutex
	terms lwtqueueplacement.Options
	retry lwtretry.SharedBudgetLimits
	// daemons is the number of live daemons, this one included.
	daemons int

	config lwtroutetable.Config
	known  bool
	// configRow is the configuration in force as the store holds it.
	configRow platform.Row
	roster    lwtdiscovery.ServerSet
	listed    bool
	engines   map[string]*lwtqueueplacement.EnginePool
	services  map[string]*lwtqueueplacement.ServerPool
	budgets   map[string]*lwtretry.SharedBudget
	byID      map[string]lwtdiscovery.Server
	byAddr    map[string]lwtdiscovery.Server
	digest    uint64
}

func newView(terms lwtqueueplacement.Options, retry lwtretry.SharedBudgetLimits) *view {
	return &view{
		terms: terms, retry: retry, daemons: 1,
		engines: map[string]*lwtqueueplacement.EnginePool{}, services: map[string]*lwtqueueplacement.ServerPool{}, budgets: map[string]*lwtretry.SharedBudget{},
	}
}

// setConfig puts a configuration in force unless it is older than the one in
// force. It reports whether it did. Row is the configuration as the store holds it.
func (view *view) setConfig(config lwtroutetable.Config, row platform.Row) bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if view.known && config.Version <= view.config.Version {
		return false
	}
	view.config, view.known, view.configRow = config, true, row
	view.rebuild()
	return true
}

// configuration returns the configuration in force, if one is known.
func (view *view) configuration() (lwtroutetable.Config, bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.config, view.known
}

// configurationRow returns the configuration in force as the store holds it. Its
// version is 0 before one is known.
func (view *view) configurationRow() platform.Row {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.configRow
}

// updateRoster changes the list of backend servers.
func (view *view) updateRoster(update func(lwtdiscovery.ServerSet) lwtdiscovery.ServerSet) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.roster, view.listed = update(view.roster), true
	view.rebuild()
}

// setLeaving notes that the answers of a server say that it leaves. News reports
// whether that changes what the daemon does.
func (view *view) setLeaving(id string, started time.Time) (news bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if view.roster, news = view.roster.WithDraining(id, started); news {
		view.rebuild()
	}
	return news
}

// servers returns the backend servers of a service.
func (view *view) servers(service string) []lwtdiscovery.Server {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.serversOf(service)
}

func (view *view) serversOf(service string) []lwtdiscovery.Server {
	var servers []lwtdiscovery.Server
	for _, server := range view.roster.Servers() {
		if server.Service == service {
			servers = append(servers, server)
		}
	}
	return servers
}

func (view *view) rebuild() {
	view.byID, view.byAddr = map[string]lwtdiscovery.Server{}, map[string]lwtdiscovery.Server{}
	for _, server := range view.roster.Servers() {
		view.byID[server.ID] = server
		view.byAddr[server.Address] = server
	}
	view.digest = view.roster.Digest()
	for _, name := range view.config.ServiceNames() {
		service, _ := view.config.Service(name)
		if service.Engine == nil {
			if view.services[name] == nil {
				view.services[name] = lwtqueueplacement.NewServerPool(view.terms.AvailabilityZone)
			}
			view.services[name].SetServers(view.serversOf(name))
			continue
		}
		if view.engines[name] == nil {
			view.engines[name] = lwtqueueplacement.NewEnginePool(view.terms)
		}
		view.engines[name].SetServers(*service.Engine, view.serversOf(name))
	}
}

// ready reports whether the daemon can serve callers.
func (view *view) ready() bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.known && view.listed
}

// connectionLimit returns how many connections this daemon may have to an address.
func (view *view) connectionLimit(address string) int {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	service, found := view.config.Service(view.byAddr[address].Service)
	if !found || service.MaxConnections <= 0 {
		return minConnections
	}
	return max(service.MaxConnections/max(view.daemons, 1), minConnections)
}

// minConnections is the least number of connections to a server, however many
// daemons share its limit.
const minConnections = 2

// knows reports whether a server at an address is listed and not leaving.
func (view *view) knows(address string) bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	server, found := view.byAddr[address]
	return found && !server.Draining
}

// rosterDigest returns a digest of the servers that the daemon uses, which is the same
// at all daemons that use the same ones.
func (view *view) rosterDigest() uint64 {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.digest
}

// serverAt returns the server at an address.
func (view *view) serverAt(address string) (lwtdiscovery.Server, bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	server, found := view.byAddr[address]
	return server, found
}

// budget is the repeats of one service.
type budget struct {
	view    *view
	service string
}

// Spend implements lwtrequestflow.RetryBudget.
func (budget budget) Spend(now time.Time) bool {
	budget.view.mutex.Lock()
	defer budget.view.mutex.Unlock()
	return budget.view.shared(budget.service).Spend(now)
}

func (budget budget) request(now time.Time) {
	budget.view.mutex.Lock()
	defer budget.view.mutex.Unlock()
	budget.view.shared(budget.service).RecordRequest(now)
}

func (view *view) shared(service string) *lwtretry.SharedBudget {
	shared, found := view.budgets[service]
	if !found {
		shared = lwtretry.NewSharedBudget(view.retry)
		view.budgets[service] = shared
	}
	shared.SetDaemonCount(view.daemons)
	return shared
}

// place is where one attempt of a request goes.
type place struct {
	engine bool
	choice lwtqueueplacement.Placement
	server lwtdiscovery.Server
}

// pick chooses the servers of a request.
func (view *view) pick(now time.Time, service string, demand lwtqueueplacement.PlacementRequest) (place, *lwtqueueplacement.Rejection) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if model, found := view.engines[service]; found {
		choice, refusal := model.Place(now, demand)
		return place{engine: true, choice: choice, server: choice.Decode}, refusal
	}
	pool, found := view.services[service]
	if !found {
		return place{}, &lwtqueueplacement.Rejection{Reason: "unknown-service", RetryAfter: noServerRetry}
	}
	server, refusal := pool.Place(now, demand.Excluded, rand.IntN(1<<16))
	return place{server: server}, refusal
}

// noServerRetry is when to come back if a service or a configuration is not known.
const noServerRetry = 500 * time.Millisecond

// onEngines calls update with the model of a service of engines.
func (view *view) onEngines(service string, update func(*lwtqueueplacement.EnginePool)) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if model, found := view.engines[service]; found {
		update(model)
	}
}

// onPool calls update with the pool of a plain service.
func (view *view) onPool(service string, update func(*lwtqueueplacement.ServerPool)) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if pool, found := view.services[service]; found {
		update(pool)
	}
}

// pause keeps requests away from a server for as long as it asks for.
func (view *view) pause(now time.Time, server lwtdiscovery.Server, span time.Duration) {
	view.onEngines(server.Service, func(model *lwtqueueplacement.EnginePool) { model.Pause(now, server.ID, span) })
	view.onPool(server.Service, func(pool *lwtqueueplacement.ServerPool) { pool.Pause(now, server.ID, span) })
}

// paused reports whether a server wants no request now.
func (view *view) paused(now time.Time, server lwtdiscovery.Server) (paused bool) {
	view.onEngines(server.Service, func(model *lwtqueueplacement.EnginePool) { paused = model.Paused(now, server.ID) })
	view.onPool(server.Service, func(pool *lwtqueueplacement.ServerPool) { paused = pool.Paused(now, server.ID) })
	return paused
}

// loads returns what this daemon has in work at all servers.
func (view *view) loads() map[string]lwtqueueplacement.Load {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	loads := map[string]lwtqueueplacement.Load{}
	for _, model := range view.engines {
		for id, load := range model.Loads() {
			loads[id] = load
		}
	}
	for _, pool := range view.services {
		for id, load := range pool.Loads() {
			loads[id] = load
		}
	}
	return loads
}

// busy reports whether the engines of a service serve requests.
func (view *view) busy(now time.Time, service string) bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	model, found := view.engines[service]
	return found && model.Busy(now)
}

// setChanging sets the engines whose stage is being changed.
func (view *view) setChanging(ids []string) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	for _, model := range view.engines {
		model.SetEnginesChangingStage(ids)
	}
}

// applyReport notes what another daemon has in work.
func (view *view) applyReport(now time.Time, daemon string, report lwtqueueplacement.LoadReport) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	for _, model := range view.engines {
		model.ApplyReport(now, daemon, report)
	}
	for _, pool := range view.services {
		pool.ApplyReport(now, daemon, report)
	}
}

// setRetry sets the terms of the budgets for repeats.
func (view *view) setRetry(terms lwtretry.SharedBudgetLimits) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.retry = terms
	for _, shared := range view.budgets {
		shared.SetLimits(terms)
	}
}

func (view *view) setDaemons(daemons int) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.daemons = daemons
}

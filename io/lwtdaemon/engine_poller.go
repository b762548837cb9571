package lwtdaemon

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/panjf2000/ants/v2"

	"lacewingtide/core/lwtscorerouter"
	"lacewingtide/io/lwtengine"
	"lacewingtide/io/lwteventloop"
	"lacewingtide/io/lwtlog"
)

const (
	pollInterval = 250 * time.Millisecond
	// maxReportAge is the age of a load report at which the engine is polled again.
	maxReportAge = time.Second
	// cacheReadInterval is the interval between reads of an engine's cache events.
	cacheReadInterval  = time.Second
	maxConcurrentPolls = 16
	// maxCallsPerTick bounds the calls to 24 per second. This suffices for a fleet
	// of 12 engines, and uses about half of the 17 KB/s that a daemon may spend on
	// control traffic.
	maxCallsPerTick = 6
)

// enginePoller polls the load of engines from which no response has reported it
// recently, and reads the cache events of engines.
type enginePoller struct {
	router  *router
	engines *lwtengine.Client
	logger  log.Logger
	pool    *ants.Pool
	// lastPoll and lastCacheRead contain the time of the last call to each engine,
	// by address.
	lastPoll      map[string]time.Time
	lastCacheRead map[string]time.Time
}

func newEnginePoller(router *router, engines *lwtengine.Client, logger log.Logger) *enginePoller {
	return &enginePoller{
		router: router, engines: engines, logger: logger, pool: newPool(maxConcurrentPolls),
		lastPoll: map[string]time.Time{}, lastCacheRead: map[string]time.Time{},
	}
}

// Serve implements suture.Service.
func (poller *enginePoller) Serve(ctx context.Context) error {
	defer poller.pool.Release()
	return lwteventloop.Tick(ctx, pollInterval, poller.tick)
}

// String returns the name of the service in logs.
func (poller *enginePoller) String() string { return "router-poll" }

// tick makes at most maxCallsPerTick of the calls that are due, the longest overdue
// first. The others wait for the next ticks.
func (poller *enginePoller) tick(now time.Time) {
	calls := poller.dueCalls(now)
	slices.SortStableFunc(calls, func(a, b pollCall) int { return a.lastContact.Compare(b.lastContact) })
	for _, call := range calls[:min(maxCallsPerTick, len(calls))] {
		if call.readsCache {
			poller.lastCacheRead[call.address] = now
			poller.submit(call.engine, func() { poller.readCacheEvents(call.engine, call.address) })
		} else {
			poller.lastPoll[call.address] = now
			poller.submit(call.engine, func() { poller.pollLoad(call.engine, call.address) })
		}
	}
}

// pollCall is a call to an engine that is due.
type pollCall struct {
	engine, address string
	// readsCache says that the call reads cache events instead of the load.
	readsCache bool
	// lastContact is the time of the last call of the same kind or, for the load,
	// of the last report if that is later.
	lastContact time.Time
}

func (poller *enginePoller) dueCalls(now time.Time) []pollCall {
	var calls []pollCall
	for _, status := range poller.router.statuses(now) {
		call := pollCall{
			engine: status.Name, address: status.Declared.Address, lastContact: poller.lastPoll[status.Declared.Address],
		}
		if status.ReportedAt.After(call.lastContact) {
			call.lastContact = status.ReportedAt
		}
		if now.Sub(call.lastContact) >= maxReportAge {
			calls = append(calls, call)
		}
		call.readsCache, call.lastContact = true, poller.lastCacheRead[call.address]
		if now.Sub(call.lastContact) >= cacheReadInterval {
			calls = append(calls, call)
		}
	}
	return calls
}

func (poller *enginePoller) submit(engine string, call func()) {
	if err := poller.pool.Submit(call); err != nil {
		lwtlog.Warn(poller.logger, "poll-skipped", "engine", engine, "err", err)
	}
}

func (poller *enginePoller) pollLoad(name, address string) {
	load, err := poller.engines.Load(address)
	if err != nil {
		lwtlog.Debug(poller.logger, "poll-failed", "engine", name, "err", err)
		return
	}
	poller.router.RecordLoad(time.Now(), name, load)
}

func (poller *enginePoller) readCacheEvents(name, address string) {
	events, err := poller.engines.CacheEvents(address, poller.router.cacheCursor(name))
	if err != nil {
		lwtlog.Debug(poller.logger, "cache-read-failed", "engine", name, "err", err)
		return
	}
	poller.router.applyCacheEvents(name, events)
}

// statuses returns the status of the engines to which the daemon sends requests or
// whose roles it plans. It also updates which engines are excluded as draining.
func (router *router) statuses(now time.Time) []lwtscorerouter.EngineStatus {
	state, _ := router.syncer.State()
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.applyState(state)
	statuses := router.view.EngineStatuses(now)
	for _, status := range statuses {
		router.view.WithExcluded(status.Name, router.isDraining(status.Declared))
	}
	// In a large fleet, each daemon uses only a subset of the engines.
	return slices.DeleteFunc(statuses, func(status lwtscorerouter.EngineStatus) bool {
		return !status.InSubset && !router.plannedGroups[status.Declared.Group]
	})
}

func (router *router) cacheCursor(engine string) int64 {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.view.CacheCursor(engine)
}

func (router *router) applyCacheEvents(engine string, events []lwtscorerouter.CacheEvent) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.view.WithCacheEvents(engine, events)
}

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
	pollTick = 250 * time.Millisecond
	// pollAge is the age of a load report from which the engine is polled.
	pollAge = time.Second
	// cacheInterval is the time between two reads of an engine's cache events.
	cacheInterval = time.Second
	pollsAtOnce   = 16
	// callsPerTick bounds the calls to 24 a second, which is what a fleet of 12
	// engines needs and about half of a daemon's 17 KB/s for control.
	callsPerTick = 6
)

// routerPoll keeps the routing view fresh where no answers do: it polls the
// load of idle engines and reads cache events.
type routerPoll struct {
	router  *router
	engines *lwtengine.Client
	logger  log.Logger
	pool    *ants.Pool
	// polled is the time of the last poll of each engine, by address.
	polled map[string]time.Time
	read   map[string]time.Time
}

func newRouterPoll(router *router, engines *lwtengine.Client, logger log.Logger) *routerPoll {
	return &routerPoll{
		router: router, engines: engines, logger: logger, pool: newPool(pollsAtOnce),
		polled: map[string]time.Time{}, read: map[string]time.Time{},
	}
}

// Serve implements suture.Service.
func (poll *routerPoll) Serve(ctx context.Context) error {
	defer poll.pool.Release()
	return lwteventloop.Tick(ctx, pollTick, poll.tick)
}

// String names the part in logs.
func (poll *routerPoll) String() string { return "router-poll" }

// tick makes the calls that are due, those due longest first. What exceeds
// callsPerTick waits for the next ticks.
func (poll *routerPoll) tick(now time.Time) {
	calls := poll.due(now)
	slices.SortStableFunc(calls, func(a, b pollCall) int { return a.since.Compare(b.since) })
	for _, call := range calls[:min(callsPerTick, len(calls))] {
		if call.cache {
			poll.read[call.address] = now
			poll.submit(call.engine, func() { poll.cache(call.engine, call.address) })
		} else {
			poll.polled[call.address] = now
			poll.submit(call.engine, func() { poll.load(call.engine, call.address) })
		}
	}
}

// pollCall is one call to an engine that is due.
type pollCall struct {
	engine, address string
	// cache says that the call reads cache events and not the load.
	cache bool
	// since is the time of the last answer or call of the same kind.
	since time.Time
}

func (poll *routerPoll) due(now time.Time) []pollCall {
	var calls []pollCall
	for _, status := range poll.router.statuses(now) {
		call := pollCall{engine: status.Name, address: status.Declared.Address, since: poll.polled[status.Declared.Address]}
		if status.ReportedAt.After(call.since) {
			call.since = status.ReportedAt
		}
		if now.Sub(call.since) >= pollAge {
			calls = append(calls, call)
		}
		call.cache, call.since = true, poll.read[call.address]
		if now.Sub(call.since) >= cacheInterval {
			calls = append(calls, call)
		}
	}
	return calls
}

func (poll *routerPoll) submit(engine string, call func()) {
	if err := poll.pool.Submit(call); err != nil {
		lwtlog.Warn(poll.logger, "poll-skipped", "engine", engine, "err", err)
	}
}

func (poll *routerPoll) load(name, address string) {
	load, err := poll.engines.Load(address)
	if err != nil {
		lwtlog.Debug(poll.logger, "poll-failed", "engine", name, "err", err)
		return
	}
	poll.router.RecordLoad(time.Now(), name, load)
}

func (poll *routerPoll) cache(name, address string) {
	events, err := poll.engines.CacheEvents(address, poll.router.cacheCursor(name))
	if err != nil {
		lwtlog.Debug(poll.logger, "cache-read-failed", "engine", name, "err", err)
		return
	}
	poll.router.cacheEvents(name, events)
}

// statuses returns the engines that the daemon sends work to or plans the roles
// of, and takes note of those that are drained.
func (router *router) statuses(now time.Time) []lwtscorerouter.EngineStatus {
	state, _ := router.declared.State()
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.declare(state)
	statuses := router.view.EngineStatuses(now)
	for _, status := range statuses {
		router.view.WithExcluded(status.Name, router.draining(status.Declared))
	}
	// The other engines of a large fleet are not this daemon's concern.
	return slices.DeleteFunc(statuses, func(status lwtscorerouter.EngineStatus) bool {
		return !status.InSubset && !router.planned[status.Declared.Group]
	})
}

func (router *router) cacheCursor(engine string) int64 {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.view.CacheCursor(engine)
}

func (router *router) cacheEvents(engine string, events []lwtscorerouter.CacheEvent) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.view.WithCacheEvents(engine, events)
}

package lwtdaemon

import (
	"maps"
	"sync"
	"time"

	"lacewingtide/core/lwtadmission"
	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlimit"
)

const (
	// streamsPerEngine is the number of streams that an engine decodes in one step.
	streamsPerEngine = 256
	// minSlots allows a daemon without engines to forward calls to services.
	minSlots = 256
	// usageIdleTimeout is the time after which the usage of an idle caller is
	// removed. The caller's token bucket is full again long before.
	usageIdleTimeout = time.Minute
	// quotaTTL is the time for which a daemon's quota of a caller's limits is
	// cached before it is computed again from the caller's home daemons.
	quotaTTL = time.Second
)

// limiter enforces the rate and concurrency limits of callers, and the number of
// slots of the daemon.
type limiter struct {
	syncer      *stateSyncer
	daemon      string
	mutex       sync.Mutex
	limiter     lwtlimit.Limiter
	usages      map[string]lwtlimit.Usage
	quotas      map[string]cachedQuota
	homeDaemons func(caller string) []string
	liveDaemons func() int
	lastSweep   time.Time
}

// cachedQuota is a quota and the time at which it was computed.
type cachedQuota struct {
	quota      lwtlimit.Quota
	computedAt time.Time
}

// newLimiter returns the limiter of a daemon. homeDaemons returns the names of a
// caller's home daemons, and liveDaemons the number of live daemons.
func newLimiter(
	syncer *stateSyncer, daemon string, homeDaemons func(caller string) []string, liveDaemons func() int,
) *limiter {
	return &limiter{
		syncer:      syncer,
		daemon:      daemon,
		limiter:     lwtlimit.New(minSlots),
		usages:      map[string]lwtlimit.Usage{},
		quotas:      map[string]cachedQuota{},
		homeDaemons: homeDaemons,
		liveDaemons: liveDaemons,
	}
}

// Acquire implements lwtentry.Limiter.
func (limiter *limiter) Acquire(now time.Time, caller lwtdeclaredstate.Caller) (func(), error) {
	state, _ := limiter.syncer.State()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.removeIdleUsages(now)
	slots := max(minSlots, streamsPerEngine*len(state.Engines)/max(1, limiter.liveDaemons()))
	updated, usage, decision := limiter.limiter.WithSlots(slots).Acquire(now, caller, limiter.usage(now, caller.Name))
	limiter.limiter, limiter.usages[caller.Name] = updated, usage
	if !decision.Admitted {
		return nil, &lwtadmission.Rejection{Reason: decision.Reason, RetryAfter: decision.RetryAfter}
	}
	return func() { limiter.release(caller.Name) }, nil
}

func (limiter *limiter) usage(now time.Time, caller string) lwtlimit.Usage {
	cached, found := limiter.quotas[caller]
	if !found || now.Sub(cached.computedAt) > quotaTTL {
		cached = cachedQuota{lwtlimit.QuotaOf(limiter.daemon, limiter.homeDaemons(caller)), now}
		limiter.quotas[caller] = cached
	}
	usage, found := limiter.usages[caller]
	if !found {
		return lwtlimit.NewUsage(now, cached.quota)
	}
	return usage.WithQuota(now, cached.quota)
}

func (limiter *limiter) release(caller string) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.limiter, limiter.usages[caller] = limiter.limiter.Release(limiter.usages[caller])
}

// removeIdleUsages removes the usages of idle callers, at most once per
// usageIdleTimeout, so that memory is bounded by the number of active callers.
func (limiter *limiter) removeIdleUsages(now time.Time) {
	if now.Sub(limiter.lastSweep) < usageIdleTimeout {
		return
	}
	limiter.lastSweep = now
	maps.DeleteFunc(limiter.usages, func(caller string, usage lwtlimit.Usage) bool {
		idle := usage.Idle(now, usageIdleTimeout)
		if idle {
			delete(limiter.quotas, caller)
		}
		return idle
	})
}

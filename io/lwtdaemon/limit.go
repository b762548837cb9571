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
	// leastSlots lets a daemon without engines forward calls to services.
	leastSlots = 256
	// accountUnused is the time after which the account of a silent caller is
	// forgotten; its tokens are full again long before.
	accountUnused = time.Minute
	// partKeep is the time for which a daemon's part of a caller's limits is
	// kept before the home daemons are looked up again.
	partKeep = time.Second
)

// limiter owns the limits of the daemon.
type limiter struct {
	declared *declared
	daemon   string
	mutex    sync.Mutex
	limits   lwtlimit.Limiter
	accounts map[string]lwtlimit.Usage
	parts    map[string]knownPart
	homes    func(caller string) []string
	live     func() int
	swept    time.Time
}

// knownPart is a part as it was at a time.
type knownPart struct {
	part lwtlimit.Quota
	at   time.Time
}

// newLimiter returns the limiter of a daemon. Homes returns the names of a
// caller's home daemons, and live the number of live daemons.
func newLimiter(declared *declared, daemon string, homes func(caller string) []string, live func() int) *limiter {
	return &limiter{
		declared: declared,
		daemon:   daemon,
		limits:   lwtlimit.New(leastSlots),
		accounts: map[string]lwtlimit.Usage{},
		parts:    map[string]knownPart{},
		homes:    homes,
		live:     live,
	}
}

// Acquire implements lwtentry.Limiter.
func (limiter *limiter) Acquire(now time.Time, caller lwtdeclaredstate.Caller) (func(), error) {
	state, _ := limiter.declared.State()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.sweep(now)
	slots := max(leastSlots, streamsPerEngine*len(state.Engines)/max(1, limiter.live()))
	limits, account, verdict := limiter.limits.WithSlots(slots).Acquire(now, caller, limiter.account(now, caller.Name))
	limiter.limits, limiter.accounts[caller.Name] = limits, account
	if !verdict.Admitted {
		return nil, &lwtadmission.Rejection{Reason: verdict.Reason, RetryAfter: verdict.RetryAfter}
	}
	return func() { limiter.release(caller.Name) }, nil
}

func (limiter *limiter) account(now time.Time, caller string) lwtlimit.Usage {
	known, found := limiter.parts[caller]
	if !found || now.Sub(known.at) > partKeep {
		known = knownPart{lwtlimit.QuotaOf(limiter.daemon, limiter.homes(caller)), now}
		limiter.parts[caller] = known
	}
	account, found := limiter.accounts[caller]
	if !found {
		return lwtlimit.NewUsage(now, known.part)
	}
	return account.WithQuota(now, known.part)
}

func (limiter *limiter) release(caller string) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.limits, limiter.accounts[caller] = limiter.limits.Release(limiter.accounts[caller])
}

// sweep forgets unused accounts, so that memory follows the callers in use.
func (limiter *limiter) sweep(now time.Time) {
	if now.Sub(limiter.swept) < accountUnused {
		return
	}
	limiter.swept = now
	maps.DeleteFunc(limiter.accounts, func(caller string, account lwtlimit.Usage) bool {
		unused := account.Idle(now, accountUnused)
		if unused {
			delete(limiter.parts, caller)
		}
		return unused
	})
}

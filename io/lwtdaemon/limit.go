package lwtdaemon

import (
	"maps"
	"slices"
	"sync"
	"time"

	"lacewingtide/core/lwtadmission"
	"lacewingtide/core/lwtlimit"
	"lacewingtide/core/lwtstate"
)

const (
	// streamsPerEngine is the number of streams that an engine decodes in one step.
	streamsPerEngine = 256
	// leastSlots lets a daemon without engines forward calls to services.
	leastSlots = 256
	// accountUnused is the time after which the account of a silent caller is
	// forgotten; its tokens are full again long before.
	accountUnused = time.Minute
)

// limiter owns the limits of the daemon.
type limiter struct {
	declared *declared
	daemon   string
	mutex    sync.Mutex
	limits   lwtlimit.Limits
	accounts map[string]lwtlimit.Account
	parts    map[string]lwtlimit.Part
	daemons  []string
	swept    time.Time
}

func newLimiter(declared *declared, daemon string) *limiter {
	return &limiter{
		declared: declared,
		daemon:   daemon,
		limits:   lwtlimit.New(leastSlots),
		accounts: map[string]lwtlimit.Account{},
		parts:    map[string]lwtlimit.Part{},
		daemons:  []string{daemon},
	}
}

// SetDaemons takes the names of all daemons that the VM list still has or that
// membership sees.
func (limiter *limiter) SetDaemons(daemons []string) {
	daemons = slices.Compact(slices.Sorted(slices.Values(daemons)))
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if slices.Equal(daemons, limiter.daemons) {
		return
	}
	limiter.daemons = daemons
	clear(limiter.parts)
}

// Take implements lwtentry.Limiter.
func (limiter *limiter) Take(now time.Time, caller lwtstate.Caller) (func(), error) {
	state, _ := limiter.declared.State()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.sweep(now)
	slots := max(leastSlots, streamsPerEngine*len(state.Engines)/len(limiter.daemons))
	limits, account, verdict := limiter.limits.WithSlots(slots).Take(now, caller, limiter.account(now, caller.Name))
	limiter.limits, limiter.accounts[caller.Name] = limits, account
	if !verdict.Admitted {
		return nil, &lwtadmission.Rejection{Reason: verdict.Reason, RetryAfter: verdict.RetryAfter}
	}
	return func() { limiter.release(caller.Name) }, nil
}

func (limiter *limiter) account(now time.Time, caller string) lwtlimit.Account {
	part, found := limiter.parts[caller]
	if !found {
		part = lwtlimit.PartOf(limiter.daemon, caller, limiter.daemons)
		limiter.parts[caller] = part
	}
	account, found := limiter.accounts[caller]
	if !found {
		return lwtlimit.NewAccount(now, part)
	}
	return account.WithPart(now, part)
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
	maps.DeleteFunc(limiter.accounts, func(caller string, account lwtlimit.Account) bool {
		unused := account.Idle(now, accountUnused)
		if unused {
			delete(limiter.parts, caller)
		}
		return unused
	})
}

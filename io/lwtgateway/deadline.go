package lwtgateway

import (
	"sync"
	"time"
)

// timeoutTracker remembers the longest timeout that callers of each route have sent. A
// caller that resubmits a rejected request sends a shorter timeout than at first, so the
// difference is the time that it has already waited.
type timeoutTracker struct {
	mutex   sync.Mutex
	longest map[string]time.Duration
}

func newTimeoutTracker() *timeoutTracker { return &timeoutTracker{longest: map[string]time.Duration{}} }

// elapsedBefore returns how long a caller has waited before this submission. It returns 0
// if the caller sent no timeout.
func (timeoutTracker *timeoutTracker) elapsedBefore(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	timeoutTracker.mutex.Lock()
	defer timeoutTracker.mutex.Unlock()
	timeoutTracker.longest[route] = max(timeoutTracker.longest[route], timeout)
	return timeoutTracker.longest[route] - timeout
}

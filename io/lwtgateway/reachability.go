package lwtgateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"lacewingtide/core/lwtdiscovery"
)

const (
	// unreachableTTL is how long a server counts as unreachable after a connection to it failed,
	// unless another one is opened.
	unreachableTTL = 2 * time.Second
	// maxReportedUnreachable bounds the servers that a daemon reports as unreachable.
	maxReportedUnreachable = 16
)

// reachability holds the addresses to which daemons could not connect lately. It is safe for
// concurrent use.
type reachability struct {
	mutex sync.Mutex
	// failedAt holds when a connection of this daemon failed, reportedAt when another daemon has
	// reported an address.
	failedAt   map[string]time.Time
	reportedAt map[string]time.Time
}

func newReachability() *reachability {
	return &reachability{failedAt: map[string]time.Time{}, reportedAt: map[string]time.Time{}}
}

// record records the result of an attempt to connect to an address.
func (reachability *reachability) record(now time.Time, address string, err error) {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	if err != nil {
		reachability.failedAt[address] = now
		return
	}
	delete(reachability.failedAt, address)
	delete(reachability.reportedAt, address)
}

// observe records addresses that another daemon could not connect to.
func (reachability *reachability) observe(reportedAt time.Time, addresses []string) {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	for _, address := range addresses {
		reachability.reportedAt[address] = reportedAt
	}
}

// own returns the addresses that this daemon could not connect to, sorted.
func (reachability *reachability) own(now time.Time) []string {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	deleteOlder(now, reachability.failedAt, unreachableTTL)
	addresses := slices.Sorted(maps.Keys(reachability.failedAt))
	return addresses[:min(len(addresses), maxReportedUnreachable)]
}

// unreachable returns the ids of the servers that can't be reached.
func (reachability *reachability) unreachable(now time.Time, servers []lwtdiscovery.Server) map[string]bool {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	deleteOlder(now, reachability.failedAt, unreachableTTL)
	deleteOlder(now, reachability.reportedAt, unreachableTTL)
	ids := map[string]bool{}
	for _, server := range servers {
		_, failed := reachability.failedAt[server.Address]
		_, reported := reachability.reportedAt[server.Address]
		if failed || reported {
			ids[server.ID] = true
		}
	}
	return ids
}

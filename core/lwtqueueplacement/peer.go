package lwtqueueplacement

import (
	"slices"
	"time"
)

// Load is the work that a daemon has sent to one server and that has not ended.
type Load struct {
	// PrefillTime is the estimated time to prefill the prompts.
	PrefillTime time.Duration
	// Running is the number of requests that run.
	Running int
}

// peerLoadAge is the age from which the load of another daemon no longer
// counts: that daemon is gone or cut off, and its work has ended.
const peerLoadAge = time.Second

// peerLoads holds what other daemons have sent to one server.
type peerLoads []peerLoad

type peerLoad struct {
	daemon string
	load   Load
	seen   time.Time
}

// set notes what a daemon has sent to the server, which may be nothing.
func (peers *peerLoads) set(now time.Time, daemon string, load Load) {
	at := slices.IndexFunc(*peers, func(peer peerLoad) bool { return peer.daemon == daemon })
	switch {
	case at < 0 && load != Load{}:
		*peers = append(*peers, peerLoad{daemon: daemon, load: load, seen: now})
	case at >= 0 && load != Load{}:
		(*peers)[at].load, (*peers)[at].seen = load, now
	case at >= 0:
		*peers = slices.Delete(*peers, at, at+1)
	}
}

// applyReport notes a report of a daemon in the loads of servers, by server id.
func applyReport[Server any](now time.Time, daemon string, report LoadReport, servers map[string]Server, loadsOf func(Server) *peerLoads) {
	if !report.Full {
		for id, load := range report.Loads {
			if server, found := servers[id]; found {
				loadsOf(server).set(now, daemon, load)
			}
		}
		return
	}
	for id, server := range servers {
		loadsOf(server).set(now, daemon, report.Loads[id])
	}
}

// sum returns the load of all daemons that were heard lately.
func (peers peerLoads) sum(now time.Time) Load {
	var total Load
	for i := range peers {
		if now.Sub(peers[i].seen) < peerLoadAge {
			total.PrefillTime += peers[i].load.PrefillTime
			total.Running += peers[i].load.Running
		}
	}
	return total
}

package lwtqueueplacement

import (
	"slices"
	"time"
)

// Load is what a daemon has outstanding on one server.
type Load struct {
	// PrefillTime is the estimated time to prefill the outstanding prompts.
	PrefillTime time.Duration
	// Running is the number of running requests; on an engine, of those in decode.
	Running int
}

// peerLoadTTL is the age at which a load reported by another daemon expires. That daemon has
// terminated or is partitioned, and its requests are assumed to have ended.
const peerLoadTTL = time.Second

// peerLoads holds the loads of other daemons on one server.
type peerLoads []peerLoad

type peerLoad struct {
	daemon     string
	load       Load
	receivedAt time.Time
}

// set stores the load of a daemon on the server. A zero load removes its entry.
func (peers *peerLoads) set(now time.Time, daemon string, load Load) {
	index := slices.IndexFunc(*peers, func(peer peerLoad) bool { return peer.daemon == daemon })
	switch {
	case index < 0 && load != Load{}:
		*peers = append(*peers, peerLoad{daemon: daemon, load: load, receivedAt: now})
	case index >= 0 && load != Load{}:
		(*peers)[index].load, (*peers)[index].receivedAt = load, now
	case index >= 0:
		*peers = slices.Delete(*peers, index, index+1)
	}
}

// applyReport stores the loads that a daemon reported. Servers holds the servers by id.
func applyReport[Server any](
	now time.Time, daemon string, report LoadReport, servers map[string]Server, loadsOf func(Server) *peerLoads,
) {
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

// sum returns the total load of all daemons whose reports have not expired.
func (peers peerLoads) sum(now time.Time) Load {
	var total Load
	for i := range peers {
		if now.Sub(peers[i].receivedAt) < peerLoadTTL {
			total.PrefillTime += peers[i].load.PrefillTime
			total.Running += peers[i].load.Running
		}
	}
	return total
}

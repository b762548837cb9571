package lwtsendlimit

import "github.com/cespare/xxhash/v2"

// minRate is the lowest rate, in requests per second, at which a server is used. A server that
// names a lower one is still sent a request now and then, or the end of its limit would go
// unnoticed.
const minRate = 0.1

// share returns the requests per second that the daemon self may send to a server whose limit is
// perSecond for all daemons together. The rate is divided equally among at most one daemon per
// request per second, chosen by rendezvous hashing: daemons that know the same live daemons
// choose the same ones, and different ones for each server.
func share(self string, daemons []string, serverID string, perSecond float64) float64 {
	perSecond = max(perSecond, minRate)
	senders := len(daemons)
	if perSecond < float64(senders) {
		senders = max(int(perSecond), 1)
	}
	own, rank := weight(self, serverID), 0
	for _, daemon := range daemons {
		if daemon != self && weight(daemon, serverID) > own {
			rank++
		}
	}
	if rank >= senders {
		return 0
	}
	return perSecond / float64(senders)
}

func weight(daemon, serverID string) uint64 { return xxhash.Sum64String(daemon + "/" + serverID) }

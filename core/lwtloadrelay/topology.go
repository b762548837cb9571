// Package lwtloadrelay decides how daemons propagate load reports to each other.
//
// It is designed for hundreds of daemons that share the same engines. Each receives a few
// prompts per second, of which all others must learn within milliseconds. In a full mesh the
// number of messages would grow with the square of the number of daemons. Instead each daemon
// reports to a relay in its availability zone; relays exchange the sums of their groups and
// forward changes to their groups. With about the square root of the number of daemons as
// relays, a daemon handles as many messages in a large fleet as in a small one.
package lwtloadrelay

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxFullMeshDaemons is the largest fleet in which each daemon is its own relay and
	// reports to all others. In a small fleet a second hop costs more than it saves.
	maxFullMeshDaemons = 12
	// storeReaders is the number of relays that read the store for all daemons. One may
	// crash and another be partitioned from the store.
	storeReaders = 3
)

// Daemon is a live daemon.
type Daemon struct {
	Name             string
	AvailabilityZone string
}

// Topology says which daemons relay reports and which read the store, as one daemon sees it.
// Daemons with the same view of the fleet compute the same relays. While their views differ, a
// relay forwards the reports of any daemon that sends it some.
type Topology struct {
	self     string
	relay    string
	relays   []string
	fullMesh bool
}

// NewTopology returns the topology as the daemon self sees it. Live holds the live daemons,
// including self. Avoided reports whether a daemon has recently failed to relay reports.
func NewTopology(self Daemon, live []Daemon, avoided func(name string) bool) Topology {
	topology := Topology{self: self.Name, relay: self.Name, fullMesh: len(live) <= maxFullMeshDaemons}
	zones := map[string][]string{}
	for _, daemon := range live {
		if topology.fullMesh || daemon.Name == self.Name || !avoided(daemon.Name) {
			zones[daemon.AvailabilityZone] = append(zones[daemon.AvailabilityZone], daemon.Name)
		}
	}
	for zone, names := range zones {
		relays := names
		if !topology.fullMesh {
			relays = highestWeighted(names, "", relayCount(len(names), len(live)))
		}
		topology.relays = append(topology.relays, relays...)
		if zone == self.AvailabilityZone && !slices.Contains(relays, self.Name) {
			topology.relay = highestWeighted(relays, self.Name, 1)[0]
		}
	}
	sortByWeight(topology.relays, "")
	return topology
}

// relayCount returns the number of relays in an availability zone, from the number of its
// daemons and that of the fleet.
func relayCount(zoneDaemons, fleetDaemons int) int {
	return max(int(math.Round(float64(zoneDaemons)/math.Sqrt(float64(fleetDaemons)))), 1)
}

// highestWeighted returns the names with the highest rendezvous-hash weights for a key. All
// daemons compute the same weights, and a daemon that leaves changes only its own assignments.
func highestWeighted(names []string, key string, count int) []string {
	sorted := slices.Clone(names)
	sortByWeight(sorted, key)
	return sorted[:min(count, len(sorted))]
}

func sortByWeight(names []string, key string) {
	slices.SortFunc(names, func(a, b string) int {
		if x, y := xxhash.Sum64String(a+"/"+key), xxhash.Sum64String(b+"/"+key); x != y {
			if x > y {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
}

// Relay returns the name of the daemon that relays the reports of this one, which is its own
// name if it is a relay.
func (topology Topology) Relay() string { return topology.relay }

// IsRelay reports whether this daemon is a relay.
func (topology Topology) IsRelay() bool { return topology.relay == topology.self }

// OtherRelays returns the names of all relays except this daemon.
func (topology Topology) OtherRelays() []string {
	return slices.DeleteFunc(slices.Clone(topology.relays), func(name string) bool { return name == topology.self })
}

// Reference returns the name of the daemon with whose list of servers this daemon compares its own:
// its relay or, for a relay, the first of the others, which reads the store. It is empty if there is
// none.
func (topology Topology) Reference() string {
	if !topology.IsRelay() {
		return topology.relay
	}
	for _, name := range topology.relays {
		if name != topology.self {
			return name
		}
	}
	return ""
}

// Holders returns the daemons, other than this one, that hold what is known of a key: all in a full
// mesh, otherwise count relays.
func (topology Topology) Holders(key string, count int) []string {
	if !topology.fullMesh {
		topology.relays = highestWeighted(topology.relays, key, count)
	}
	return topology.OtherRelays()
}

// FullMesh reports whether each daemon reports to all others directly.
func (topology Topology) FullMesh() bool { return topology.fullMesh }

// ReadsStore reports whether this daemon reads the store itself.
func (topology Topology) ReadsStore() bool {
	return topology.fullMesh || slices.Contains(topology.relays[:min(storeReaders, len(topology.relays))], topology.self)
}

// Package lwtloadrelay decides how daemons tell each other what they have in work.
//
// The load it answers: hundreds of daemons before the same engines, each of which
// takes a few prompts a second that all others have to know of within
// milliseconds. If each told every other one, the messages would grow with the
// square of the fleet. Instead each daemon reports to a relay in its availability
// zone; relays exchange the sums of their groups and pass on to their groups what
// has changed. With about the square root of the fleet as relays, a daemon takes as
// many messages in a large fleet as in a small one.
package lwtloadrelay

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// meshDaemons is the largest fleet in which each daemon is its own relay and
	// reports to all others. There a second hop costs more than it saves.
	meshDaemons = 12
	// readers is the number of relays that read the store for all daemons. One may
	// be lost and one be cut off from the store.
	readers = 3
)

// Daemon is a live daemon.
type Daemon struct {
	Name             string
	AvailabilityZone string
}

// Topology says who relays reports and who reads the store, as one daemon sees it. Two
// daemons with the same knowledge make the same plan; while their knowledge
// differs, a relay serves whoever reports to it.
type Topology struct {
	self   string
	own    string
	relays []string
	mesh   bool
}

// New returns the plan of a daemon. Live holds the live daemons, self included.
// Avoided reports whether a daemon has lately not relayed what it should.
func New(self Daemon, live []Daemon, avoided func(name string) bool) Topology {
	plan := Topology{self: self.Name, own: self.Name, mesh: len(live) <= meshDaemons}
	zones := map[string][]string{}
	for _, daemon := range live {
		if plan.mesh || daemon.Name == self.Name || !avoided(daemon.Name) {
			zones[daemon.AvailabilityZone] = append(zones[daemon.AvailabilityZone], daemon.Name)
		}
	}
	for zone, names := range zones {
		relays := names
		if !plan.mesh {
			relays = highest(names, "", relaysOf(len(names), len(live)))
		}
		plan.relays = append(plan.relays, relays...)
		if zone == self.AvailabilityZone && !slices.Contains(relays, self.Name) {
			plan.own = highest(relays, self.Name, 1)[0]
		}
	}
	sortByWeight(plan.relays, "")
	return plan
}

// relaysOf returns the number of relays of an availability zone.
func relaysOf(zone, fleet int) int {
	return max(int(math.Round(float64(zone)/math.Sqrt(float64(fleet)))), 1)
}

// highest returns the names with the highest weights for a key, which every daemon
// weighs alike. A daemon that leaves changes nothing for the others.
func highest(names []string, key string, count int) []string {
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

// Relay returns the daemon that relays the reports of this one. It is this one if
// it relays itself.
func (plan Topology) Relay() string { return plan.own }

// IsRelay reports whether this daemon relays.
func (plan Topology) IsRelay() bool { return plan.own == plan.self }

// OtherRelays returns the other relays.
func (plan Topology) OtherRelays() []string {
	return slices.DeleteFunc(slices.Clone(plan.relays), func(name string) bool { return name == plan.self })
}

// FullMesh reports whether each daemon reports to all others.
func (plan Topology) FullMesh() bool { return plan.mesh }

// ReadsStore reports whether this daemon reads the store for others.
func (plan Topology) ReadsStore() bool {
	return plan.mesh || slices.Contains(plan.relays[:min(readers, len(plan.relays))], plan.self)
}

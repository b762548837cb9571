package lwtgateway

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"lacewingtide/core/lwtlease"
	"lacewingtide/io/lwtpeer"
	"lacewingtide/platform"
)

// memberTable holds a row for each daemon.
const memberTable = "daemons"

// Times of membership.
const (
	// memberInterval is the time between two writes of a daemon's row and two
	// reads of all rows, in a fleet of up to smallFleet daemons. It grows with the
	// fleet, so that the calls of all daemons do not.
	memberInterval    = 2 * time.Second
	maxMemberInterval = 20 * time.Second
	smallFleet        = 8
	// unheardInterval is the time between two reads by a daemon that hears no other.
	unheardInterval = time.Second
	// readerInterval is the time between two reads by a daemon that reads for others.
	readerInterval = 4 * time.Second
	// memberRowAge is how long a changed row tells that its daemon lives, if no
	// message of it comes.
	memberRowAge = 4 * time.Second
	// memberSilence is how long a daemon that has exchanged loads may be silent.
	memberSilence = 2 * time.Second
	// relayedSilence is the same for a daemon that is heard by relays, each of which
	// may hold its state for relayedStateInterval.
	relayedSilence = memberSilence + 2*relayedStateInterval
)

// member is another daemon, or this one, as its row tells.
type member struct {
	Name string `json:"name"`
	Boot uint64 `json:"boot"`
	// EntryAddress and Peer are IP:port.
	EntryAddress     string `json:"entry"`
	PeerAddress      string `json:"peer"`
	AvailabilityZone string `json:"availability-zone"`
	// Ready says that callers may use the daemon.
	Ready bool `json:"ready"`
	// HeartbeatSeq grows with each write.
	HeartbeatSeq int64 `json:"beat"`
}

// holder names one run of a daemon.
func (member member) holder() string { return fmt.Sprintf("%s-%x", member.Name, member.Boot) }

// known is what this daemon has seen of another one.
type known struct {
	member
	version int64
	// changed is when the row was seen to change, and written the time of the
	// read before, after which it was written.
	changed time.Time
	written time.Time
	// heard is when the last message came. Relayed says that another daemon has
	// passed it on.
	heard   time.Time
	relayed bool
}

func (known known) silence() time.Duration {
	if known.relayed {
		return relayedSilence
	}
	return memberSilence
}

// live reports whether the daemon answers, or has written its row since it was
// last heard.
func (known known) live(now time.Time) bool {
	if !known.heard.IsZero() && now.Sub(known.heard) < known.silence() {
		return true
	}
	silent := known.heard.IsZero() || known.written.After(known.heard.Add(known.silence()))
	return silent && now.Sub(known.changed) < memberRowAge
}

// members holds the live daemons. It is safe for concurrent use and implements
// lwtpeer.Directory.
type members struct {
	mutex sync.Mutex
	self  member
	known map[string]known
	// read is when the rows were last read.
	read time.Time
}

func newMembers(settings Settings, boot uint64) *members {
	return &members{
		self: member{
			Name: settings.Name, Boot: boot, EntryAddress: settings.EntryAddress, PeerAddress: settings.PeerAddress,
			AvailabilityZone: settings.AvailabilityZone,
		},
		known: map[string]known{},
	}
}

// Address implements lwtpeer.Directory.
func (members *members) Address(name string) (string, bool) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	known, found := members.known[name]
	return known.PeerAddress, found
}

// Names implements lwtpeer.Directory: the live daemons but this one.
func (members *members) Names() []string {
	var names []string
	for _, member := range members.live(time.Now()) {
		if member.Name != members.self.Name {
			names = append(names, member.Name)
		}
	}
	return names
}

// live returns the live daemons, this one included, sorted by name.
func (members *members) live(now time.Time) []member {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	live := []member{members.self}
	for _, known := range members.known {
		if known.live(now) {
			live = append(live, known.member)
		}
	}
	slices.SortFunc(live, func(a, b member) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// count returns the number of live daemons, this one included.
func (members *members) count(now time.Time) int {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	count := 1
	for _, known := range members.known {
		if known.live(now) {
			count++
		}
	}
	return count
}

// intervalOf returns the time between two writes of a daemon's row.
func intervalOf(daemons int) time.Duration {
	return min(max(memberInterval*time.Duration(daemons)/smallFleet, memberInterval), maxMemberInterval)
}

// nextBeat returns this daemon's row for the next write.
func (members *members) nextBeat(ready bool) member {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.self.HeartbeatSeq++
	members.self.Ready = ready
	return members.self
}

// observe takes in the rows of all daemons. It returns those that joined.
func (members *members) observe(now time.Time, rows []platform.Row) (joined []member, broken []error) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	for _, row := range rows {
		var member member
		if err := json.Unmarshal(row.Value, &member); err != nil {
			broken = append(broken, fmt.Errorf("row %s: %w", row.Key, err))
			continue
		}
		before, found := members.known[member.Name]
		if member.Name == members.self.Name || found && before.version == row.Version {
			continue
		}
		next := known{member: member, version: row.Version, changed: now, written: members.read, heard: before.heard}
		if !found || before.Boot != member.Boot {
			next.heard = time.Time{}
			joined = append(joined, member)
		}
		members.known[member.Name] = next
	}
	members.read = now
	return joined, broken
}

// heard notes a message of another daemon without its state.
func (members *members) heard(now time.Time, identity lwtpeer.Identity) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if known, found := members.known[identity.Name]; found && known.Boot == identity.Boot {
		known.heard, known.relayed = now, false
		members.known[identity.Name] = known
	}
}

// heardFrom notes the state of another daemon, which it has told itself or a relay has
// passed on, and reports whether it joins by it. A daemon that was started again, or
// is new, is known by its state until its row is read.
func (members *members) heardFrom(heard time.Time, state daemonState, direct bool) (joined bool) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	known := members.known[state.Name]
	if known.Boot != state.Boot {
		unknown := state.Name == members.self.Name || state.PeerAddress == ""
		if unknown || known.live(heard) && heard.Sub(known.changed) < memberSilence {
			// A late message of the run before the one that has just been listed, or one
			// that does not say where the daemon is.
			return false
		}
		joined = true
		known.member = member{
			Name: state.Name, Boot: state.Boot, EntryAddress: state.EntryAddress, PeerAddress: state.PeerAddress, AvailabilityZone: state.AvailabilityZone,
		}
		known.heard = time.Time{}
	}
	if !heard.Before(known.heard) {
		known.heard, known.Ready = heard, state.Ready
		known.relayed = !direct
	}
	members.known[state.Name] = known
	return joined
}

// holders names the live daemons as holders of leases.
func holders(live []member) lwtlease.SetMembers {
	names := make([]string, 0, len(live))
	for _, member := range live {
		names = append(names, member.holder())
	}
	return lwtlease.SetMembers{Names: names}
}

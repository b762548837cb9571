// Package lwtmember decides which daemons are alive. Model is a pure state machine
// in the style of SWIM: it probes one member per interval, asks other members to
// probe one that does not respond, marks it as suspect and later as dead, and
// piggybacks membership updates on its messages.
package lwtmember

// Status is the state of a member as far as a daemon knows.
type Status uint8

// The statuses of a member. Of two records with the same boot number and
// refutation count, the one with the higher status supersedes the other.
const (
	// Alive members serve callers.
	Alive Status = iota
	// Suspect members did not respond to a probe and may still refute it.
	Suspect
	// Leaving members finish their requests and accept no new callers.
	Leaving
	// Dead members were suspect for the whole suspicion timeout, or have left.
	Dead
)

// String returns the status as it appears in logs.
func (status Status) String() string {
	switch status {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}

// Member is the record of one daemon. A daemon is identified by its peer address
// and boot number.
type Member struct {
	// Address is the peer address (IP:port).
	Address string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	// EntryAddress is the address for callers (IP:port). It is empty until the
	// daemon has an active declared state.
	EntryAddress     string `cbor:"3,keyasint"`
	AvailabilityZone string `cbor:"4,keyasint"`
	// Boot is the boot number. It is higher for each later daemon at the same
	// address.
	Boot uint64 `cbor:"5,keyasint"`
	// Refutations is the number of times that the member refuted a claim about
	// itself.
	Refutations uint32 `cbor:"6,keyasint,omitempty"`
	Status      Status `cbor:"7,keyasint,omitempty"`
}

// Supersedes reports whether the record is newer than another record of the same
// address.
func (member Member) Supersedes(other Member) bool {
	if member.Boot != other.Boot {
		return member.Boot > other.Boot
	}
	if member.Refutations != other.Refutations {
		return member.Refutations > other.Refutations
	}
	return member.Status > other.Status
}

// Live reports whether the member is not known to be dead.
func (member Member) Live() bool { return member.Status != Dead }

func (member Member) withStatus(status Status) Member {
	member.Status = status
	return member
}

// hash returns a hash of the address, the boot number, the refutation count and whether
// the member is leaving. It is 0 for a dead member, so that a table that has
// purged dead members has the same hash as one that has not.
func (member Member) hash() uint64 {
	if member.Status == Dead {
		return 0
	}
	const offset, prime = 14695981039346656037, 1099511628211 // FNV-1a, 64 bits
	hash := uint64(offset)
	for _, char := range []byte(member.Address) {
		hash = (hash ^ uint64(char)) * prime
	}
	leaving := uint64(0)
	if member.Status == Leaving {
		leaving = 1
	}
	for _, word := range []uint64{member.Boot, uint64(member.Refutations), leaving} {
		hash = (hash ^ word) * prime
		hash ^= hash >> 29
	}
	return hash
}

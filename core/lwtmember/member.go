// Package lwtmember decides which daemons are alive. Model is a pure SWIM-style
// state machine: it probes one member per interval, asks others to probe a
// silent one, suspects it, and spreads what it learns on its own messages.
package lwtmember

// Status says what is believed of a member.
type Status uint8

// The statuses of a member. Of two records with the same boot number and
// refutation counter, the one with the higher status holds.
const (
	// Alive members serve callers.
	Alive Status = iota
	// Suspect members gave no answer lately and may still refute it.
	Suspect
	// Leaving members finish their work and take no new callers.
	Leaving
	// Dead members were suspected for the whole suspicion time, or have left.
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

// Member is what is known of one daemon. Its identity is the peer address and
// the boot number.
type Member struct {
	// Address is the peer address (IP:port).
	Address string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	// EntryAddress is where callers connect (IP:port). It is empty until the
	// daemon has a state to serve by.
	EntryAddress     string `cbor:"3,keyasint"`
	AvailabilityZone string `cbor:"4,keyasint"`
	// Boot is higher for each later daemon at the same address.
	Boot uint64 `cbor:"5,keyasint"`
	// Incarnation counts the times that the member denied a suspicion.
	Incarnation uint32 `cbor:"6,keyasint,omitempty"`
	Status      Status `cbor:"7,keyasint,omitempty"`
}

// Supersedes reports whether the record replaces another one of the same
// address.
func (member Member) Supersedes(other Member) bool {
	if member.Boot != other.Boot {
		return member.Boot > other.Boot
	}
	if member.Incarnation != other.Incarnation {
		return member.Incarnation > other.Incarnation
	}
	return member.Status > other.Status
}

// Live reports whether the member answers, as far as is known.
func (member Member) Live() bool { return member.Status != Dead }

func (member Member) withStatus(status Status) Member {
	member.Status = status
	return member
}

// hash returns a number that differs between records that name different lives
// of a member. Dead members count as unknown, so that a table that has
// forgotten them equals one that has not.
func (member Member) hash() uint64 {
	if member.Status == Dead {
		return 0
	}
	const offset, prime = 14695981039346656037, 1099511628211
	sum := uint64(offset)
	for _, char := range []byte(member.Address) {
		sum = (sum ^ uint64(char)) * prime
	}
	leaving := uint64(0)
	if member.Status == Leaving {
		leaving = 1
	}
	for _, word := range []uint64{member.Boot, uint64(member.Incarnation), leaving} {
		sum = (sum ^ word) * prime
		sum ^= sum >> 29
	}
	return sum
}

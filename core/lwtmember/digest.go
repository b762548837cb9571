package lwtmember

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of one member's digest. Its encoding stays below 320 bytes.
const (
	MaxMetadataValues   = 8
	MaxMetadataKeyBytes = 24
)

const (
	// digestSends is the number of messages of one member that carry a
	// version of a digest. A version that is lost is replaced by the next one.
	digestSends = 3
	// digestMembersPerSecond sets how often a digest may change: the interval
	// grows with the number of members, so that all digests together fit into
	// the bytes that each message may carry.
	digestMembersPerSecond = 12
	minDigestInterval      = time.Second
	valueOverhead          = 10
	digestOverhead         = 24
)

// Metadata is a small set of values that one member tells all others. Values
// that others need sooner than DigestInterval are sent to them directly.
type Metadata struct {
	Address string           `cbor:"1,keyasint"`
	Boot    uint64           `cbor:"2,keyasint"`
	Version uint64           `cbor:"3,keyasint"`
	Values  map[string]int64 `cbor:"4,keyasint,omitempty"`
}

// MetadataInterval returns the least time between two versions of a digest
// among a number of members.
func MetadataInterval(members int) time.Duration {
	return max(minDigestInterval, time.Duration(members)*time.Second/digestMembersPerSecond)
}

func (digest Metadata) supersedes(other Metadata) bool {
	if digest.Boot != other.Boot {
		return digest.Boot > other.Boot
	}
	return digest.Version > other.Version
}

// size returns an upper bound of the encoded size in bytes.
func (digest Metadata) size() int {
	size := digestOverhead + len(digest.Address)
	for key := range digest.Values {
		size += valueOverhead + len(key)
	}
	return size
}

func (digest Metadata) valid() bool {
	if len(digest.Values) > MaxMetadataValues {
		return false
	}
	for key := range digest.Values {
		if len(key) > MaxMetadataKeyBytes {
			return false
		}
	}
	return true
}

func (digest Metadata) withValue(key string, value int64) Metadata {
	values := maps.Clone(digest.Values)
	if values == nil {
		values = map[string]int64{}
	}
	values[key] = value
	digest.Values = values
	return digest
}

type heldDigest struct {
	Metadata
	sent int
}

// digests holds the newest digest of each member, sorted by address. It is
// immutable.
type digests []heldDigest

func (digests digests) find(address string) (int, bool) {
	return slices.BinarySearchFunc(digests, address, func(held heldDigest, address string) int {
		return cmp.Compare(held.Address, address)
	})
}

func (digests digests) with(digest Metadata) digests {
	index, found := digests.find(digest.Address)
	if found && !digest.supersedes(digests[index].Metadata) {
		return digests
	}
	next := slices.Clone(digests)
	if found {
		next[index] = heldDigest{Metadata: digest}
		return next
	}
	return slices.Insert(next, index, heldDigest{Metadata: digest})
}

func (digests digests) without(address string) digests {
	index, found := digests.find(address)
	if !found {
		return digests
	}
	return slices.Delete(slices.Clone(digests), index, index+1)
}

// take returns the least-sent digests that fit into a number of bytes, and the
// digests after they were sent once more. Start shifts the choice among
// digests sent equally often.
func (digests digests) take(bytes, start int) ([]Metadata, digests) {
	var taken []Metadata
	var next []heldDigest
	for sent := range digestSends {
		for i := range digests {
			index := (i + start) % len(digests)
			held := digests[index]
			if held.sent != sent || held.size() > bytes {
				continue
			}
			if next == nil {
				next = slices.Clone(digests)
			}
			bytes -= held.size()
			taken = append(taken, held.Metadata)
			next[index].sent++
		}
	}
	if next == nil {
		return nil, digests
	}
	return taken, next
}

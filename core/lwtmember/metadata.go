package lwtmember

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of one member's metadata. They keep its encoding below 320 bytes.
const (
	MaxMetadataValues   = 8
	MaxMetadataKeyBytes = 24
)

const (
	// metadataSendLimit is the number of messages in which each daemon sends a
	// given version of a member's metadata. A lost version is replaced by the
	// next one.
	metadataSendLimit = 3
	// metadataUpdatesPerSecond bounds the rate of new versions over all members.
	// The update interval grows with the number of members, so that the metadata
	// of all members fits into the bytes that each message may carry.
	metadataUpdatesPerSecond = 12
	minMetadataInterval      = time.Second
	// metadataValueOverhead and metadataOverhead are upper bounds in bytes of the
	// encoding around a key and around the address.
	metadataValueOverhead = 10
	metadataOverhead      = 24
)

// Metadata is a small set of values that one member publishes to all others.
// Values that others need sooner than MetadataInterval are sent to them
// directly.
type Metadata struct {
	Address string           `cbor:"1,keyasint"`
	Boot    uint64           `cbor:"2,keyasint"`
	Version uint64           `cbor:"3,keyasint"`
	Values  map[string]int64 `cbor:"4,keyasint,omitempty"`
}

// MetadataInterval returns the minimum time between two versions of a member's
// metadata in a cluster of the given number of members.
func MetadataInterval(members int) time.Duration {
	return max(minMetadataInterval, time.Duration(members)*time.Second/metadataUpdatesPerSecond)
}

func (metadata Metadata) supersedes(other Metadata) bool {
	if metadata.Boot != other.Boot {
		return metadata.Boot > other.Boot
	}
	return metadata.Version > other.Version
}

// size returns an upper bound of the encoded size in bytes.
func (metadata Metadata) size() int {
	size := metadataOverhead + len(metadata.Address)
	for key := range metadata.Values {
		size += metadataValueOverhead + len(key)
	}
	return size
}

func (metadata Metadata) valid() bool {
	if len(metadata.Values) > MaxMetadataValues {
		return false
	}
	for key := range metadata.Values {
		if len(key) > MaxMetadataKeyBytes {
			return false
		}
	}
	return true
}

func (metadata Metadata) withValue(key string, value int64) Metadata {
	values := maps.Clone(metadata.Values)
	if values == nil {
		values = map[string]int64{}
	}
	values[key] = value
	metadata.Values = values
	return metadata
}

// metadataEntry is the metadata of one member and the number of messages that
// have carried this version.
type metadataEntry struct {
	Metadata
	sendCount int
}

// metadataSet holds the latest metadata of each member, sorted by address. It
// is immutable.
type metadataSet []metadataEntry

func (set metadataSet) find(address string) (int, bool) {
	return slices.BinarySearchFunc(set, address, func(entry metadataEntry, address string) int {
		return cmp.Compare(entry.Address, address)
	})
}

func (set metadataSet) with(metadata Metadata) metadataSet {
	index, found := set.find(metadata.Address)
	if found && !metadata.supersedes(set[index].Metadata) {
		return set
	}
	next := slices.Clone(set)
	if found {
		next[index] = metadataEntry{Metadata: metadata}
		return next
	}
	return slices.Insert(next, index, metadataEntry{Metadata: metadata})
}

func (set metadataSet) without(address string) metadataSet {
	index, found := set.find(address)
	if !found {
		return set
	}
	return slices.Delete(slices.Clone(set), index, index+1)
}

// take returns the least-sent metadata that fits into maxBytes, and the set
// with the send counts of that metadata incremented. The start index rotates
// the choice among entries with the same send count.
func (set metadataSet) take(maxBytes, start int) ([]Metadata, metadataSet) {
	var taken []Metadata
	var next []metadataEntry
	for sendCount := range metadataSendLimit {
		for i := range set {
			index := (i + start) % len(set)
			entry := set[index]
			if entry.sendCount != sendCount || entry.size() > maxBytes {
				continue
			}
			if next == nil {
				next = slices.Clone(set)
			}
			maxBytes -= entry.size()
			taken = append(taken, entry.Metadata)
			next[index].sendCount++
		}
	}
	if next == nil {
		return nil, set
	}
	return taken, next
}

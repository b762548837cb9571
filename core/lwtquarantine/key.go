package lwtquarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lacewingtide/core/lwtroutetable"
)

// Kind says what a Key identifies.
type Kind int

const (
	// Segment is a prompt segment that several requests share.
	Segment Kind = iota
	// Request is a request that comes again: all requests with the same content.
	Request
)

// String returns the name of the kind in logs.
func (kind Kind) String() string {
	if kind == Request {
		return "request"
	}
	return "segment"
}

// Key identifies what may crash the servers of one service.
type Key struct {
	Service string
	Kind    Kind
	// ID is the id of the segment, or a hash of it if it is long, or the request's fingerprint.
	ID string
}

// maxSegmentBytes is the size of a segment's id from which its hash is kept instead.
const maxSegmentBytes = 64

// segmentKey returns the key of a segment.
func segmentKey(service string, segment lwtroutetable.PromptSegment) Key {
	if len(segment.ID) <= maxSegmentBytes {
		return Key{Service: service, ID: segment.ID}
	}
	return Key{Service: service, ID: "hash-" + strconv.FormatUint(xxhash.Sum64String(segment.ID), 16)}
}

// keysOf returns the keys of a request: those of its shared segments, and its own if its
// fingerprint is known.
func keysOf(service string, request lwtroutetable.Request) []Key {
	shared := request.SharedSegments()
	keys := make([]Key, 0, len(shared)+1)
	for _, segment := range shared {
		keys = append(keys, segmentKey(service, segment))
	}
	if request.Fingerprint != "" {
		keys = append(keys, Key{Service: service, Kind: Request, ID: request.Fingerprint})
	}
	return keys
}

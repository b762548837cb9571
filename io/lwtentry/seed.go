package lwtentry

import (
	"bytes"
	"hash/fnv"
	"strconv"
)

// withSeed returns a copy of a request's body that contains a seed. If the caller set none,
// the seed is a hash of the request's original ID, so that every rerun generates the same
// response.
func withSeed(raw []byte, body completionBody, streamID string) []byte {
	brace := bytes.IndexByte(raw, '{')
	if body.Seed != nil || brace < 0 {
		return bytes.Clone(raw)
	}
	digest := fnv.New32a()
	// Writes to a hash never fail.
	_, _ = digest.Write([]byte(originalID(streamID)))
	seeded := make([]byte, 0, len(raw)+len(`"seed":4294967295,`))
	seeded = append(seeded, raw[:brace+1]...)
	seeded = append(seeded, `"seed":`...)
	seeded = strconv.AppendUint(seeded, uint64(digest.Sum32()), 10)
	seeded = append(seeded, ',')
	return append(seeded, raw[brace+1:]...)
}

package lwtentry

import (
	"bytes"
	"hash/fnv"
	"strconv"
)

// withSeed returns a copy of a request's body that has a seed. A caller that
// gives none gets one that follows from the name under which the request ran
// first, so that every run makes the same answer.
func withSeed(raw []byte, body completionBody, stream string) []byte {
	open := bytes.IndexByte(raw, '{')
	if body.Seed != nil || open < 0 {
		return bytes.Clone(raw)
	}
	digest := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = digest.Write([]byte(firstName(stream)))
	seeded := make([]byte, 0, len(raw)+len(`"seed":4294967295,`))
	seeded = append(seeded, raw[:open+1]...)
	seeded = append(seeded, `"seed":`...)
	seeded = strconv.AppendUint(seeded, uint64(digest.Sum32()), 10)
	seeded = append(seeded, ',')
	return append(seeded, raw[open+1:]...)
}

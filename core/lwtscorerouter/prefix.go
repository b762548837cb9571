package lwtscorerouter

import "github.com/cespare/xxhash/v2"

const (
	// blockBytes is the size of a block in bytes of a request's messages, at
	// four bytes per token.
	blockBytes = 4 * BlockTokens
	// maxPrefixes bounds the blocks of a prompt that are hashed.
	maxPrefixes = 64
)

// PrefixHashes returns the hashes of a prompt's growing prefixes, one per whole
// block, shortest first. Messages are the messages as in the request's body, so
// that daemons and engines come to the same hashes.
func PrefixHashes[M ~[]byte](model string, messages []M) []uint64 {
	var prefixes []uint64
	digest := xxhash.New()
	// Writing to a hash never fails.
	_, _ = digest.WriteString(model)
	room := blockBytes
	for _, message := range messages {
		for rest := []byte(message); len(rest) > 0; {
			part := rest[:min(room, len(rest))]
			_, _ = digest.Write(part)
			rest, room = rest[len(part):], room-len(part)
			if room > 0 {
				continue
			}
			prefixes = append(prefixes, digest.Sum64())
			if len(prefixes) == maxPrefixes {
				return prefixes
			}
			room = blockBytes
		}
	}
	return prefixes
}

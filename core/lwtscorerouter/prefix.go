package lwtscorerouter

import "github.com/cespare/xxhash/v2"

const (
	// blockBytes is the size of a block in bytes of message text, at four bytes per
	// token.
	blockBytes = 4 * BlockTokens
	// maxPrefixBlocks limits how many blocks of a prompt are hashed.
	maxPrefixBlocks = 64
)

// PrefixHashes returns the hash of each prefix of a prompt that ends at a whole
// block, shortest first. The messages must be the bytes of the request's body, so
// that daemons and engines compute the same hashes.
func PrefixHashes[M ~[]byte](model string, messages []M) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	// xxhash.Digest never returns a write error.
	_, _ = digest.WriteString(model)
	remaining := blockBytes
	for _, message := range messages {
		for unread := []byte(message); len(unread) > 0; {
			part := unread[:min(remaining, len(unread))]
			_, _ = digest.Write(part)
			unread, remaining = unread[len(part):], remaining-len(part)
			if remaining > 0 {
				continue
			}
			hashes = append(hashes, digest.Sum64())
			if len(hashes) == maxPrefixBlocks {
				return hashes
			}
			remaining = blockBytes
		}
	}
	return hashes
}

package lwtlease

import (
	"bytes"
	"crypto/sha256"
)

// Rank returns the rank of a member among the members for a group by rendezvous
// hashing: 0 for the member with the lowest hash. The member itself need not be in
// the list.
func Rank(group, member string, members []string) int {
	own, rank := rendezvousHash(group, member), 0
	for _, other := range members {
		hash := rendezvousHash(group, other)
		if other != member && bytes.Compare(hash[:], own[:]) < 0 {
			rank++
		}
	}
	return rank
}

func rendezvousHash(group, member string) [sha256.Size]byte {
	return sha256.Sum256([]byte(group + "\x00" + member))
}

// jitter returns a number in [0, 1) that depends only on its arguments.
func jitter(group, member string, attempt int) float64 {
	hash := rendezvousHash(group, member)
	return float64(hash[attempt%len(hash)]) / 256
}

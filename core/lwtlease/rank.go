package lwtlease

import (
	"bytes"
	"crypto/sha256"
)

// Rank returns the place of a member among the members for a group by
// rendezvous hashing: 0 for the member with the lowest hash. The member itself
// need not be in the list.
func Rank(group, member string, members []string) int {
	own, rank := weight(group, member), 0
	for _, other := range members {
		weight := weight(group, other)
		if other != member && bytes.Compare(weight[:], own[:]) < 0 {
			rank++
		}
	}
	return rank
}

func weight(group, member string) [sha256.Size]byte {
	return sha256.Sum256([]byte(group + "\x00" + member))
}

// jitter returns a share in [0, 1) that depends on its arguments alone.
func jitter(group, member string, attempt int) float64 {
	hash := weight(group, member)
	return float64(hash[attempt%len(hash)]) / 256
}

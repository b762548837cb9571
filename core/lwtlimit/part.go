package lwtlimit

import (
	"cmp"
	"hash"
	"hash/fnv"
	"slices"
)

// homeDaemons is the number of daemons that serve one caller.
const homeDaemons = 4

// Part is a daemon's part of a caller's limits. The zero value is no part.
type Part struct {
	// rank is the daemon's place among the home daemons, from 0.
	rank    int
	divisor int
}

// share returns the part as a fraction of the whole limit.
func (part Part) share() float64 {
	if part.divisor == 0 {
		return 0
	}
	return 1 / float64(part.divisor)
}

// of returns the part of a whole number; the parts of all ranks add up to it.
func (part Part) of(whole int) int {
	if part.divisor == 0 {
		return 0
	}
	if part.rank < whole%part.divisor {
		return whole/part.divisor + 1
	}
	return whole / part.divisor
}

// PartOf returns a daemon's part of a caller's limits. Daemons are all names
// that the VM list still has or that membership sees, in any order, with or
// without repetition: a partition removes neither, so the parts on its two
// sides never add up to more than the whole. A daemon that is not a home of the
// caller has no part.
func PartOf(daemon, caller string, daemons []string) Part {
	homes := Homes(caller, daemons)
	rank := slices.Index(homes, daemon)
	if rank < 0 {
		return Part{}
	}
	return Part{rank: rank, divisor: len(homes)}
}

// Homes returns the caller's home daemons by rendezvous hashing, best first.
func Homes(caller string, daemons []string) []string {
	type candidate struct {
		name   string
		weight uint64
	}
	best, digest := make([]candidate, 0, homeDaemons+1), fnv.New64a()
	name := append([]byte(caller), 0)
	for _, daemon := range daemons {
		name = append(name[:len(caller)+1], daemon...)
		one := candidate{daemon, weight(digest, name)}
		at, found := slices.BinarySearchFunc(best, one, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
		})
		if found || at == homeDaemons {
			continue
		}
		best = slices.Insert(best, at, one)
		best = best[:min(len(best), homeDaemons)]
	}
	homes := make([]string, len(best))
	for i := range best {
		homes[i] = best[i].name
	}
	return homes
}

// weight hashes a name of the form CALLER, 0, DAEMON.
func weight(digest hash.Hash64, name []byte) uint64 {
	digest.Reset()
	// Writing to a hash never fails.
	_, _ = digest.Write(name)
	// FNV alone leaves the high bits of similar names alike; the multiplication mixes them.
	sum := digest.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}

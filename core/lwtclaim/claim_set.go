package lwtclaim

import (
	"hash/fnv"
	"io"
	"maps"
	"slices"
)

// shardCount is the number of maps that the claims are divided into, so that a
// change copies only a small part of them.
const shardCount = 64

// claimSet holds the claims of a daemon by key. It is a value: with and without
// return changed copies that share the unchanged shards.
type claimSet struct {
	shards [shardCount]map[string]claim
	count  int
}

func shardIndex(key string) int {
	hash := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = io.WriteString(hash, key)
	return int(hash.Sum32() % shardCount)
}

func (set *claimSet) get(key string) (claim, bool) {
	found, ok := set.shards[shardIndex(key)][key]
	return found, ok
}

func (set claimSet) with(changed claim) claimSet {
	shard := shardIndex(changed.key)
	copied := maps.Clone(set.shards[shard])
	if copied == nil {
		copied = map[string]claim{}
	}
	set.count -= len(copied)
	copied[changed.key] = changed
	set.count += len(copied)
	set.shards[shard] = copied
	return set
}

func (set claimSet) without(key string) claimSet {
	shard := shardIndex(key)
	if _, found := set.shards[shard][key]; !found {
		return set
	}
	copied := maps.Clone(set.shards[shard])
	delete(copied, key)
	set.shards[shard] = copied
	set.count--
	return set
}

// inOpeningPhase returns the claims in phaseOpening, sorted by key so that the
// commands are deterministic.
func (set *claimSet) inOpeningPhase() []claim {
	var claims []claim
	for _, shard := range set.shards {
		for _, claim := range shard {
			if claim.phase == phaseOpening {
				claims = append(claims, claim)
			}
		}
	}
	slices.SortFunc(claims, func(a, b claim) int {
		if a.key < b.key {
			return -1
		}
		return 1
	})
	return claims
}

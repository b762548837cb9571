package lwtclaim

import (
	"hash/fnv"
	"io"
	"maps"
	"slices"
)

// shardCount divides the claims, so that a change copies a small part of them.
const shardCount = 64

// heldClaims are the claims of a daemon by key. It is a value: with and without
// return changed copies that share the shards that did not change.
type heldClaims struct {
	shards [shardCount]map[string]claim
	count  int
}

func shardOf(key string) int {
	digest := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = io.WriteString(digest, key)
	return int(digest.Sum32() % shardCount)
}

func (held *heldClaims) get(key string) (claim, bool) {
	found, ok := held.shards[shardOf(key)][key]
	return found, ok
}

func (held heldClaims) with(changed claim) heldClaims {
	shard := shardOf(changed.key)
	copied := maps.Clone(held.shards[shard])
	if copied == nil {
		copied = map[string]claim{}
	}
	held.count -= len(copied)
	copied[changed.key] = changed
	held.count += len(copied)
	held.shards[shard] = copied
	return held
}

func (held heldClaims) without(key string) heldClaims {
	shard := shardOf(key)
	if _, found := held.shards[shard][key]; !found {
		return held
	}
	copied := maps.Clone(held.shards[shard])
	delete(copied, key)
	held.shards[shard] = copied
	held.count--
	return held
}

// opening returns the claims that wait for their row, by key, so that equal
// inputs give equal commands.
func (held *heldClaims) opening() []claim {
	var claims []claim
	for _, shard := range held.shards {
		for _, one := range shard {
			if one.phase == opening {
				claims = append(claims, one)
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

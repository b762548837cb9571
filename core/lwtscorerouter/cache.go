package lwtscorerouter

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence counts the events of one incarnation from 1.
	Sequence int64
	// PrefixHash is the hash of the prefix that ends with the block.
	PrefixHash uint64
	// Evicted says that the block was evicted; otherwise it was stored.
	Evicted bool
}

const (
	// staleWeight discounts blocks that were stored before a gap in the events,
	// because the missing events may have evicted them.
	staleWeight = 0.5
	// maxTrackedBlocks limits the blocks tracked per engine, to bound memory.
	maxTrackedBlocks = 4096
)

// cacheView tracks the contents of one engine's prefix cache.
type cacheView struct {
	// blocks maps the hash of each cached prefix to the generation in which it was
	// last stored.
	blocks map[uint64]uint32
	// generation counts the gaps in the events.
	generation   uint32
	nextSequence int64
}

func newCacheView() cacheView {
	return cacheView{blocks: map[uint64]uint32{}, nextSequence: 1}
}

// applyEvents applies events in order and skips those already applied. A gap in
// the sequence makes all blocks tracked so far stale.
func (cache *cacheView) applyEvents(events []CacheEvent) {
	for _, event := range events {
		if event.Sequence < cache.nextSequence {
			continue
		}
		if event.Sequence > cache.nextSequence {
			cache.generation++
		}
		cache.nextSequence = event.Sequence + 1
		if event.Evicted {
			delete(cache.blocks, event.PrefixHash)
		} else {
			cache.store(event.PrefixHash)
		}
	}
}

func (cache *cacheView) store(hash uint64) {
	if _, found := cache.blocks[hash]; !found && len(cache.blocks) >= maxTrackedBlocks {
		return
	}
	cache.blocks[hash] = cache.generation
}

// cachedTokens estimates how many leading prompt tokens are cached.
func (cache *cacheView) cachedTokens(prefixHashes []uint64) float64 {
	tokens, weight := 0.0, 1.0
	for _, hash := range prefixHashes {
		generation, found := cache.blocks[hash]
		if !found {
			break
		}
		if generation != cache.generation {
			weight = staleWeight
		}
		tokens += weight * BlockTokens
	}
	return tokens
}

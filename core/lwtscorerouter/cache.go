package lwtscorerouter

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence counts the events of one incarnation from 1.
	Sequence int64
	// PrefixHash is the hash of the prefix that ends with the block.
	PrefixHash uint64
	// Evicted says that the block left the cache.
	Evicted bool
}

// Weights of what a daemon believes about a cached block.
const (
	// staleWeight discounts blocks seen before a gap in the events: any of
	// them may have been evicted meanwhile.
	staleWeight = 0.5
	// maxCacheBlocks bounds the memory of the view of one engine's cache.
	maxCacheBlocks = 4096
)

// cacheView is what a daemon knows of one engine's prefix cache.
type cacheView struct {
	// blocks holds the generation in which each block was last seen.
	blocks     map[uint64]uint32
	generation uint32
	next       int64
}

func newCacheView() cacheView {
	return cacheView{blocks: map[uint64]uint32{}, next: 1}
}

// apply takes events in order. A gap makes all blocks known so far stale.
func (cache *cacheView) apply(events []CacheEvent) {
	for _, event := range events {
		if event.Sequence < cache.next {
			continue
		}
		if event.Sequence > cache.next {
			cache.generation++
		}
		cache.next = event.Sequence + 1
		if event.Evicted {
			delete(cache.blocks, event.PrefixHash)
		} else {
			cache.store(event.PrefixHash)
		}
	}
}

func (cache *cacheView) store(prefix uint64) {
	if _, found := cache.blocks[prefix]; !found && len(cache.blocks) >= maxCacheBlocks {
		return
	}
	cache.blocks[prefix] = cache.generation
}

// saved returns the prompt tokens that the cache is expected to save.
func (cache *cacheView) saved(prefixes []uint64) float64 {
	saved, weight := 0.0, 1.0
	for _, prefix := range prefixes {
		generation, found := cache.blocks[prefix]
		if !found {
			break
		}
		if generation != cache.generation {
			weight = staleWeight
		}
		saved += weight * BlockTokens
	}
	return saved
}

package lwtservingsim

import (
	"container/list"

	"lacewingtide/core/lwtscorerouter"
)

// prefixCache keeps the most recently used blocks and numbers its events.
type prefixCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	recent   *list.List // of uint64, most recent first
	events   []lwtscorerouter.CacheEvent
	sequence int64
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacity: capacity, blocks: map[uint64]*list.Element{}, recent: list.New()}
}

// lookup returns the number of leading prefixes that are cached.
func (cache *prefixCache) lookup(prefixes []uint64) int {
	for i, prefix := range prefixes {
		element, found := cache.blocks[prefix]
		if !found {
			return i
		}
		cache.recent.MoveToFront(element)
	}
	return len(prefixes)
}

func (cache *prefixCache) store(prefixes []uint64) {
	for _, prefix := range prefixes {
		if element, found := cache.blocks[prefix]; found {
			cache.recent.MoveToFront(element)
			continue
		}
		cache.blocks[prefix] = cache.recent.PushFront(prefix)
		cache.emit(prefix, false)
		if len(cache.blocks) > cache.capacity {
			oldest := cache.recent.Remove(cache.recent.Back()).(uint64)
			delete(cache.blocks, oldest)
			cache.emit(oldest, true)
		}
	}
}

func (cache *prefixCache) emit(prefix uint64, evicted bool) {
	cache.sequence++
	cache.events = append(cache.events, lwtscorerouter.CacheEvent{Sequence: cache.sequence, PrefixHash: prefix, Evicted: evicted})
}

// after returns the events after a sequence number.
func (cache *prefixCache) after(sequence int64) []lwtscorerouter.CacheEvent {
	return cache.events[min(sequence, int64(len(cache.events))):]
}

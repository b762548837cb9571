package lwtservingsim

import (
	"container/list"

	"lacewingtide/core/lwtscorerouter"
)

// prefixCache is an LRU cache of prefix blocks that records its changes as numbered
// events.
type prefixCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	recency  *list.List // of uint64, most recent first
	events   []lwtscorerouter.CacheEvent
	sequence int64
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacity: capacity, blocks: map[uint64]*list.Element{}, recency: list.New()}
}

// lookup returns the number of leading blocks that are cached, and marks them as
// recently used.
func (cache *prefixCache) lookup(hashes []uint64) int {
	for i, hash := range hashes {
		element, found := cache.blocks[hash]
		if !found {
			return i
		}
		cache.recency.MoveToFront(element)
	}
	return len(hashes)
}

func (cache *prefixCache) store(hashes []uint64) {
	for _, hash := range hashes {
		if element, found := cache.blocks[hash]; found {
			cache.recency.MoveToFront(element)
			continue
		}
		cache.blocks[hash] = cache.recency.PushFront(hash)
		cache.emit(hash, false)
		if len(cache.blocks) > cache.capacity {
			oldest := cache.recency.Remove(cache.recency.Back()).(uint64)
			delete(cache.blocks, oldest)
			cache.emit(oldest, true)
		}
	}
}

func (cache *prefixCache) emit(hash uint64, evicted bool) {
	cache.sequence++
	cache.events = append(cache.events, lwtscorerouter.CacheEvent{
		Sequence: cache.sequence, PrefixHash: hash, Evicted: evicted,
	})
}

// eventsAfter returns the events with a larger sequence number.
func (cache *prefixCache) eventsAfter(sequence int64) []lwtscorerouter.CacheEvent {
	return cache.events[min(sequence, int64(len(cache.events))):]
}

package lwtstandin

import (
	"container/list"
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtscorerouter"
)

const (
	cacheEventsPath = "/v1/cache-events"
	maxCacheBlocks  = 32
	// maxCacheEvents is the number of events kept for readers. A reader that is
	// further behind sees a gap in the sequence.
	maxCacheEvents = 256
)

// engineCache is the prefix cache of an engine, with LRU eviction. It is guarded
// by the engine's mutex.
type engineCache struct {
	blocks   map[uint64]*list.Element
	lru      *list.List // of prefix hashes (uint64), most recently used first
	events   []cacheEvent
	sequence int64
}

type cacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   string `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

func newEngineCache() engineCache {
	return engineCache{blocks: map[uint64]*list.Element{}, lru: list.New()}
}

// lookupAndInsert returns how many leading tokens of a prompt are cached, and adds
// the whole prompt to the cache.
func (cache *engineCache) lookupAndInsert(prefixHashes []uint64) int {
	cached, contiguous := 0, true
	for _, prefixHash := range prefixHashes {
		element, found := cache.blocks[prefixHash]
		contiguous = contiguous && found
		switch {
		case found:
			cache.lru.MoveToFront(element)
		default:
			cache.insert(prefixHash)
		}
		if contiguous {
			cached += lwtscorerouter.BlockTokens
		}
	}
	return cached
}

func (cache *engineCache) insert(prefixHash uint64) {
	cache.blocks[prefixHash] = cache.lru.PushFront(prefixHash)
	cache.appendEvent(prefixHash, false)
	if len(cache.blocks) > maxCacheBlocks {
		oldest := cache.lru.Remove(cache.lru.Back()).(uint64)
		delete(cache.blocks, oldest)
		cache.appendEvent(oldest, true)
	}
}

func (cache *engineCache) appendEvent(prefixHash uint64, evicted bool) {
	cache.sequence++
	cache.events = append(cache.events, cacheEvent{cache.sequence, strconv.FormatUint(prefixHash, 16), evicted})
	cache.events = cache.events[max(0, len(cache.events)-maxCacheEvents):]
}

// requestPrefixes returns the prefix hashes of a request's prompt, or nil if the
// body is not valid.
func requestPrefixes(body []byte) []uint64 {
	var request struct {
		Model    string            `json:"model"`
		Messages []json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return nil
	}
	return lwtscorerouter.PrefixHashes(request.Model, request.Messages)
}

func (engine *Engine) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		rejectRequest(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	engine.mutex.Lock()
	events := []cacheEvent{}
	for _, event := range engine.cache.events {
		if event.Sequence > after {
			events = append(events, event)
		}
	}
	engine.mutex.Unlock()
	writeJSON(ctx, struct {
		Incarnation int64        `json:"incarnation"`
		Events      []cacheEvent `json:"events"`
	}{engine.incarnation, events})
}

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
	cacheBlocks     = 32
	// cacheEventsKept bounds the events that can be read later; a reader that
	// is further behind sees a gap.
	cacheEventsKept = 256
)

// engineCache keeps the most recently used prompt prefixes of an engine. It is
// guarded by the engine's mutex.
type engineCache struct {
	blocks   map[uint64]*list.Element
	recent   *list.List // of uint64, most recent first
	events   []cacheEvent
	sequence int64
}

type cacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   string `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

func newEngineCache() engineCache {
	return engineCache{blocks: map[uint64]*list.Element{}, recent: list.New()}
}

// use returns how many tokens of a prompt are cached, and caches all of it.
func (cache *engineCache) use(prefixes []uint64) int {
	cached, unbroken := 0, true
	for _, prefix := range prefixes {
		element, found := cache.blocks[prefix]
		unbroken = unbroken && found
		switch {
		case found:
			cache.recent.MoveToFront(element)
		default:
			cache.store(prefix)
		}
		if unbroken {
			cached += lwtscorerouter.BlockTokens
		}
	}
	return cached
}

func (cache *engineCache) store(prefix uint64) {
	cache.blocks[prefix] = cache.recent.PushFront(prefix)
	cache.emit(prefix, false)
	if len(cache.blocks) > cacheBlocks {
		oldest := cache.recent.Remove(cache.recent.Back()).(uint64)
		delete(cache.blocks, oldest)
		cache.emit(oldest, true)
	}
}

func (cache *engineCache) emit(prefix uint64, evicted bool) {
	cache.sequence++
	cache.events = append(cache.events, cacheEvent{cache.sequence, strconv.FormatUint(prefix, 16), evicted})
	cache.events = cache.events[max(0, len(cache.events)-cacheEventsKept):]
}

// requestPrefixes returns the hashes of a request's prompt.
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
		refuse(ctx, fasthttp.StatusBadRequest, err)
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

package lwtscorerouter_test

import (
	"fmt"
	"runtime"
	"testing"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtscorerouter"
)

const cachedBlocks = 100

// BenchmarkViewMemory measures the memory of a View per engine, without cached
// blocks, and per cached block, with 100 cached blocks per engine. The time per
// operation includes applying the cache events.
func BenchmarkViewMemory(b *testing.B) {
	for _, engines := range []int{12, 48, 128, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			change := lwtdeclaredstate.Change{Revision: 1, Models: []lwtdeclaredstate.Model{{Name: "m", Version: "1"}}}
			for i := range engines {
				change.Engines = append(change.Engines, lwtdeclaredstate.Engine{
					Name: fmt.Sprintf("e%04d", i), Models: []string{"m"}, Role: lwtdeclaredstate.RoleMixed, MemoryBlocks: 256,
				})
			}
			state := lwtdeclaredstate.New().WithChange(change)
			for b.Loop() {
				start := heapBytes()
				view := lwtscorerouter.NewView("d1", lwtscorerouter.DefaultCostModel()).WithState(state)
				empty := heapBytes()
				for name := range state.Engines {
					view.WithCacheEvents(name, cacheEvents(cachedBlocks))
				}
				full := heapBytes()
				b.ReportMetric(float64(empty-start)/float64(engines), "B/engine")
				b.ReportMetric(float64(full-empty)/float64(engines)/cachedBlocks, "B/block")
				runtime.KeepAlive(view)
			}
		})
	}
}

func cacheEvents(count int) []lwtscorerouter.CacheEvent {
	events := make([]lwtscorerouter.CacheEvent, count)
	for i := range events {
		events[i] = lwtscorerouter.CacheEvent{Sequence: int64(i) + 1, PrefixHash: uint64(i) << 16}
	}
	return events
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

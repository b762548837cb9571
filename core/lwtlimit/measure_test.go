package lwtlimit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"
	"unsafe"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlimit"
)

// BenchmarkTake measures one Acquire and Release, and the size of a Usage. The
// metric's unit calls the Usage an account.
func BenchmarkTake(b *testing.B) {
	caller, now := lwtdeclaredstate.Caller{Name: "c", Rate: 1e12, Concurrency: 100}, time.Unix(1_000_000, 0)
	limiter := lwtlimit.New(1000)
	usage := lwtlimit.NewUsage(now, lwtlimit.QuotaOf("d", []string{"d"}))
	for b.Loop() {
		now = now.Add(time.Millisecond)
		limiter, usage, _ = limiter.Acquire(now, caller, usage)
		limiter, usage = limiter.Release(usage)
	}
	b.ReportMetric(float64(unsafe.Sizeof(usage)), "B/account")
}

// BenchmarkMemory measures the memory for the usage and the quotas of 870 callers.
func BenchmarkMemory(b *testing.B) {
	const callers = 870
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		usages, quotas := map[string]lwtlimit.Usage{}, map[string]lwtlimit.Quota{}
		for i := range callers {
			usages[fmt.Sprint("caller-", i)], quotas[fmt.Sprint("caller-", i)] = lwtlimit.Usage{}, lwtlimit.Quota{}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(usages)
		runtime.KeepAlive(quotas)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/callers, "B/caller")
}

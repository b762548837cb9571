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

// BenchmarkTake measures one admission and release, and the size of an account.
func BenchmarkTake(b *testing.B) {
	caller, now := lwtdeclaredstate.Caller{Name: "c", Rate: 1e12, Concurrency: 100}, time.Unix(1_000_000, 0)
	limits := lwtlimit.New(1000)
	account := lwtlimit.NewUsage(now, lwtlimit.QuotaOf("d", []string{"d"}))
	for b.Loop() {
		now = now.Add(time.Millisecond)
		limits, account, _ = limits.Acquire(now, caller, account)
		limits, account = limits.Release(account)
	}
	b.ReportMetric(float64(unsafe.Sizeof(account)), "B/account")
}

// BenchmarkMemory measures the memory of the accounts of 870 callers.
func BenchmarkMemory(b *testing.B) {
	const callers = 870
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		accounts, parts := map[string]lwtlimit.Usage{}, map[string]lwtlimit.Quota{}
		for i := range callers {
			accounts[fmt.Sprint("caller-", i)], parts[fmt.Sprint("caller-", i)] = lwtlimit.Usage{}, lwtlimit.Quota{}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(accounts)
		runtime.KeepAlive(parts)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/callers, "B/caller")
}

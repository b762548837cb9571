package lwtburn

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// BenchmarkLedger measures the time to count a request and the memory per key of
// a Recorder.
func BenchmarkLedger(b *testing.B) {
	for _, keys := range []int{10, 100, 1000, 4000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			before := heapBytes()
			recorder, now := New("d1"), epoch
			requests := make([]FinishedRequest, keys)
			for i := range requests {
				requests[i] = FinishedRequest{
					Key: BudgetKey{lwtdeclaredstate.ClassChat, fmt.Sprintf("caller-%d", i)}, Outcome: OutcomeGood,
				}
				recorder.Add(now, requests[i])
			}
			held := heapBytes() - before
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				recorder.Add(now.Add(time.Duration(i)*time.Millisecond), requests[i%keys])
			}
			b.ReportMetric(float64(held)/float64(keys), "B/key")
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

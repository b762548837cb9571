package lwtburn

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// BenchmarkLedger measures an event's cost and the memory of a key.
func BenchmarkLedger(b *testing.B) {
	for _, keys := range []int{10, 100, 1000, 4000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			before := heap()
			ledger, now := New("d1"), epoch
			events := make([]FinishedRequest, keys)
			for i := range events {
				events[i] = FinishedRequest{Key: BudgetKey{lwtdeclaredstate.ClassChat, fmt.Sprintf("caller-%d", i)}, Outcome: OutcomeGood}
				ledger.Add(now, events[i])
			}
			held := heap() - before
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				ledger.Add(now.Add(time.Duration(i)*time.Millisecond), events[i%keys])
			}
			b.ReportMetric(float64(held)/float64(keys), "B/key")
		})
	}
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

package lwtdaemon

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lacewingtide/core/lwtticket"
	"lacewingtide/io/lwtstandin"
)

// BenchmarkInForce measures the time from the submission of a ticket, which is
// before its acceptance, to its being in force on 4 daemons: with the store up,
// with the store lost after the accepting transaction, and over the store alone
// without peers.
func BenchmarkInForce(b *testing.B) {
	b.Run("store-up", func(b *testing.B) { benchmarkInForce(b, newGroup(b, 4), false) })
	b.Run("store-lost", func(b *testing.B) { benchmarkInForce(b, newGroup(b, 4), true) })
	b.Run("without-peers", func(b *testing.B) {
		group := newGroup(b, 4)
		group.bus.disconnect()
		benchmarkInForce(b, group, false)
	})
}

func benchmarkInForce(b *testing.B, group *declaredGroup, lost bool) {
	var times []time.Duration
	number := int64(0)
	for b.Loop() {
		// The phase of the polls is independent of the submission.
		time.Sleep(time.Duration(number*37%500) * time.Millisecond)
		part := group.parts[number%int64(len(group.parts))]
		if lost {
			group.platform.SetFault(lwtstandin.PlatformFault{DownAfter: 1})
		}
		began := time.Now()
		if result := group.submit(b, part, number, "s"); result.Outcome != lwtticket.OutcomeAccepted {
			b.Fatalf("result %+v", result)
		}
		number++
		group.await(b, number)
		times = append(times, time.Since(began))
		group.platform.SetFault(lwtstandin.PlatformFault{})
	}
	slices.Sort(times)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(milliseconds(times[len(times)/2]), "p50-ms")
	b.ReportMetric(milliseconds(times[min(len(times)*99/100, len(times)-1)]), "p99-ms")
	b.ReportMetric(milliseconds(times[len(times)-1]), "max-ms")
}

func milliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// BenchmarkStoreLoad measures what a number of daemons together ask of the
// store per second, at rest and with one ticket a second, which is 31 times the
// target's 2,800 a day.
func BenchmarkStoreLoad(b *testing.B) {
	for _, size := range []int{4, 16, 64, 256, 370} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			for b.Loop() {
				group := newGroup(b, size)
				group.submit(b, group.parts[0], 0, "s")
				group.await(b, 1)
				// Two poll intervals pass, so that the start is not counted.
				time.Sleep(2 * groupInterval(size))
				measureLoad(b, group, "rest", 20*time.Second, 0)
				measureLoad(b, group, "change", 20*time.Second, time.Second)
			}
		})
	}
}

func groupInterval(size int) time.Duration { return time.Duration(size) * 25 * time.Millisecond }

func measureLoad(b *testing.B, group *declaredGroup, name string, span, interval time.Duration) {
	writes, reads := group.platform.Table().Counts()
	began := time.Now()
	state, _ := group.parts[0].State()
	number, slowest := state.Revision, time.Duration(0)
	for interval > 0 && time.Since(began) < span {
		part := group.parts[number%int64(len(group.parts))]
		submitted := time.Now()
		if result := group.submit(b, part, number, "s"); result.Outcome != lwtticket.OutcomeAccepted {
			b.Fatalf("result %+v", result)
		}
		number++
		group.await(b, number)
		slowest = max(slowest, time.Since(submitted))
		time.Sleep(interval - time.Since(submitted))
	}
	time.Sleep(span - time.Since(began))
	seconds := time.Since(began).Seconds()
	writesAfter, readsAfter := group.platform.Table().Counts()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(readsAfter-reads)/seconds, name+"-reads/s")
	b.ReportMetric(float64(writesAfter-writes)/seconds, name+"-writes/s")
	if interval > 0 {
		b.ReportMetric(milliseconds(slowest), name+"-slowest-ms")
	}
}

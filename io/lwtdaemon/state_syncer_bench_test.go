package lwtdaemon

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lacewingtide/core/lwtticket"
	"lacewingtide/io/lwtstandin"
)

// BenchmarkInForce measures the time from the submission of a ticket until it is active
// on 4 daemons, including its acceptance: with the store available, with the store
// unavailable after the accepting transaction, and with the store but without peers.
func BenchmarkInForce(b *testing.B) {
	b.Run("store-up", func(b *testing.B) { benchmarkInForce(b, newSyncGroup(b, 4), false) })
	b.Run("store-lost", func(b *testing.B) { benchmarkInForce(b, newSyncGroup(b, 4), true) })
	b.Run("without-peers", func(b *testing.B) {
		group := newSyncGroup(b, 4)
		group.bus.disconnect()
		benchmarkInForce(b, group, false)
	})
}

func benchmarkInForce(b *testing.B, group *syncGroup, storeLost bool) {
	var durations []time.Duration
	revision := int64(0)
	for b.Loop() {
		// The varying wait makes the submission independent of the phase of the polls.
		time.Sleep(time.Duration(revision*37%500) * time.Millisecond)
		syncer := group.syncers[revision%int64(len(group.syncers))]
		if storeLost {
			group.platform.SetFault(lwtstandin.PlatformFault{DownAfter: 1})
		}
		start := time.Now()
		if result := group.submit(b, syncer, revision, "s"); result.Outcome != lwtticket.OutcomeAccepted {
			b.Fatalf("submission: result %+v, want accepted", result)
		}
		revision++
		group.awaitRevision(b, revision)
		durations = append(durations, time.Since(start))
		group.platform.SetFault(lwtstandin.PlatformFault{})
	}
	slices.Sort(durations)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(toMilliseconds(durations[len(durations)/2]), "p50-ms")
	b.ReportMetric(toMilliseconds(durations[min(len(durations)*99/100, len(durations)-1)]), "p99-ms")
	b.ReportMetric(toMilliseconds(durations[len(durations)-1]), "max-ms")
}

func toMilliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// BenchmarkStoreLoad measures the reads and writes per second with which a number of
// daemons together load the store: without tickets, and with one ticket per second,
// which is 31 times the target of 2,800 per day.
func BenchmarkStoreLoad(b *testing.B) {
	for _, size := range []int{4, 16, 64, 256, 370} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			for b.Loop() {
				group := newSyncGroup(b, size)
				group.submit(b, group.syncers[0], 0, "s")
				group.awaitRevision(b, 1)
				// Waiting for two poll intervals excludes the reads at startup.
				time.Sleep(2 * groupPollInterval(size))
				measureLoad(b, group, "rest", 20*time.Second, 0)
				measureLoad(b, group, "change", 20*time.Second, time.Second)
			}
		})
	}
}

func groupPollInterval(size int) time.Duration { return time.Duration(size) * 25 * time.Millisecond }

func measureLoad(b *testing.B, group *syncGroup, name string, duration, interval time.Duration) {
	writes, reads := group.platform.Table().Counts()
	start := time.Now()
	state, _ := group.syncers[0].State()
	revision, maxLatency := state.Revision, time.Duration(0)
	for interval > 0 && time.Since(start) < duration {
		syncer := group.syncers[revision%int64(len(group.syncers))]
		submitted := time.Now()
		if result := group.submit(b, syncer, revision, "s"); result.Outcome != lwtticket.OutcomeAccepted {
			b.Fatalf("submission: result %+v, want accepted", result)
		}
		revision++
		group.awaitRevision(b, revision)
		maxLatency = max(maxLatency, time.Since(submitted))
		time.Sleep(interval - time.Since(submitted))
	}
	time.Sleep(duration - time.Since(start))
	seconds := time.Since(start).Seconds()
	writesAfter, readsAfter := group.platform.Table().Counts()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(readsAfter-reads)/seconds, name+"-reads/s")
	b.ReportMetric(float64(writesAfter-writes)/seconds, name+"-writes/s")
	if interval > 0 {
		b.ReportMetric(toMilliseconds(maxLatency), name+"-slowest-ms")
	}
}

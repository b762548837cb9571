package lwtmembersim_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lacewingtide/core/lwtaddress"
	"lacewingtide/core/lwtmember"
	"lacewingtide/core/lwtmembersim"
)

const (
	benchZones = 12
	// settleTime lets the dissemination of the updates from the start end.
	settleTime   = 90 * time.Second
	steadyTime   = 60 * time.Second
	startTimeout = 2 * time.Minute
)

var benchSizes = []int{4, 16, 64, 256, 370}

// detectionSizes omits the largest size, whose 15 cluster starts take minutes.
var detectionSizes = []int{4, 16, 64, 256}

// encodedSize returns the size of a message in bytes. It encodes and decodes the
// message, so that the CPU time of both is included in the measurement.
func encodedSize(_ lwtmember.Kind, gossip lwtmember.Gossip) int {
	body, err := cbor.Marshal(gossip)
	if err != nil {
		panic(err)
	}
	var decoded lwtmember.Gossip
	if err := cbor.Unmarshal(body, &decoded); err != nil {
		panic(err)
	}
	return len(body) + frameBytes
}

func startedCluster(b *testing.B, members, zones int, seed uint64) *lwtmembersim.Cluster {
	b.Helper()
	settings := options(members, zones, seed)
	settings.MessageSize = encodedSize
	cluster := lwtmembersim.New(settings)
	if _, err := cluster.StartAll(startTimeout); err != nil {
		b.Fatal(err)
	}
	return cluster
}

func runPerSize(b *testing.B, sizes []int, run func(b *testing.B, members int)) {
	for _, members := range sizes {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) { run(b, members) })
	}
}

// changeMetadata changes the metadata of each daemon, as real daemons do every second.
func changeMetadata(cluster *lwtmembersim.Cluster, members int, second int64) {
	for index := range members {
		for value := range int64(4) {
			cluster.Dispatch(lwtmembersim.Address(index), lwtmember.SetMetadata{
				Key: fmt.Sprint("load/e", value), Value: second * 100,
			})
		}
	}
}

// BenchmarkMemberSteady measures the resource usage per second of the membership of one
// daemon while no member changes. All daemons change their metadata every second.
func BenchmarkMemberSteady(b *testing.B) {
	runPerSize(b, benchSizes, func(b *testing.B, members int) {
		for b.Loop() {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			cluster := startedCluster(b, members, benchZones, 1)
			cluster.Run(settleTime)
			sent := totalSent(cluster, members)
			began := time.Now()
			for second := range int64(steadyTime / time.Second) {
				changeMetadata(cluster, members, second)
				cluster.Run(time.Second)
			}
			cpu := time.Since(began)
			now := totalSent(cluster, members)
			runtime.GC()
			runtime.ReadMemStats(&after)
			daemonSeconds := steadyTime.Seconds() * float64(members)
			b.ReportMetric(float64(now.Bytes-sent.Bytes)/daemonSeconds, "B/s/daemon")
			b.ReportMetric(float64(now.Messages-sent.Messages)/daemonSeconds, "msg/s/daemon")
			b.ReportMetric(float64(cpu.Microseconds())/daemonSeconds, "cpu-us/s/daemon")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(members)/1024, "heap-KB/daemon")
			b.ReportMetric(metadataAge(cluster, members), "digest-age-s")
			runtime.KeepAlive(cluster)
		}
		b.ReportMetric(0, "ns/op")
	})
}

// metadataAge returns the mean age, in seconds, of the metadata that daemons have of
// other members. It is computed from the number of versions that they are behind.
func metadataAge(cluster *lwtmembersim.Cluster, members int) float64 {
	interval, behind, pairs := lwtmember.MetadataInterval(members).Seconds(), 0.0, 0.0
	for observer := range members {
		daemon, _ := cluster.Daemon(lwtmembersim.Address(observer))
		for index := range members {
			if index == observer {
				continue
			}
			member, _ := cluster.Daemon(lwtmembersim.Address(index))
			latest, _ := member.Model.Metadata(lwtmembersim.Address(index))
			received, _ := daemon.Model.Metadata(lwtmembersim.Address(index))
			behind += float64(latest.Version-received.Version) + 0.5
			pairs++
		}
	}
	return behind / pairs * interval
}

func totalSent(cluster *lwtmembersim.Cluster, members int) lwtmembersim.Traffic {
	var total lwtmembersim.Traffic
	for index := range members {
		daemon, _ := cluster.Daemon(lwtmembersim.Address(index))
		total.Bytes += daemon.Sent.Bytes
		total.Messages += daemon.Sent.Messages
	}
	return total
}

// BenchmarkMemberFullMesh measures the alternative to gossip: each daemon sends a
// heartbeat with its metadata to every other daemon every second.
func BenchmarkMemberFullMesh(b *testing.B) {
	heartbeat := lwtmember.Gossip{
		Sequence: 1000, Revision: 5000, Metadata: []lwtmember.Metadata{{
			Address: lwtmembersim.Address(300), Boot: 1 << 60, Version: 1000,
			Values: map[string]int64{"load/e0": 5900, "load/e1": 5900, "load/e2": 5900, "load/e3": 5900},
		}},
	}
	runPerSize(b, benchSizes, func(b *testing.B, members int) {
		for b.Loop() {
			bytes, began := 0, time.Now()
			const seconds = 100
			for range seconds * (members - 1) {
				bytes += encodedSize(lwtmember.KindPing, heartbeat)
			}
			b.ReportMetric(float64(bytes)/seconds, "B/s/daemon")
			b.ReportMetric(float64(members-1), "msg/s/daemon")
			b.ReportMetric(float64(time.Since(began).Microseconds())/seconds, "cpu-us/s/daemon")
		}
		b.ReportMetric(0, "ns/op")
	})
}

// BenchmarkMemberNotice measures the time until the other daemons mark a failed daemon
// as dead, and until they mark it as suspect and no longer return its address to
// callers. It reports the first, the median and the last daemon, over 3 seeds.
func BenchmarkMemberNotice(b *testing.B) {
	failures := map[string]func(*lwtmembersim.Cluster, int){
		"killed": func(cluster *lwtmembersim.Cluster, _ int) { cluster.Kill(lwtmembersim.Address(1)) },
		"paused": func(cluster *lwtmembersim.Cluster, _ int) { cluster.Pause(lwtmembersim.Address(1), time.Hour) },
		"cut-off": func(cluster *lwtmembersim.Cluster, members int) {
			for index := range members {
				cluster.CutLink(lwtmembersim.Address(index), lwtmembersim.Address(1))
				cluster.CutLink(lwtmembersim.Address(1), lwtmembersim.Address(index))
			}
		},
	}
	for name, fail := range failures {
		b.Run(name, func(b *testing.B) {
			runPerSize(b, detectionSizes, func(b *testing.B, members int) { measureDetection(b, members, fail) })
		})
	}
}

func measureDetection(b *testing.B, members int, fail func(*lwtmembersim.Cluster, int)) {
	const seeds = 3
	for b.Loop() {
		var dead, unnamed []time.Duration
		for seed := range uint64(seeds) {
			cluster := startedCluster(b, members, benchZones, seed)
			cluster.Run(settleTime / 3)
			began := cluster.Now()
			cluster.Observe(func(now time.Time, observer string, cmd lwtmember.Cmd) {
				changed, found := cmd.(lwtmember.Changed)
				if !found || changed.Member.Address != lwtmembersim.Address(1) || observer == lwtmembersim.Address(1) {
					return
				}
				switch changed.Member.Status {
				case lwtmember.Dead:
					dead = append(dead, now.Sub(began))
				case lwtmember.Suspect:
					unnamed = append(unnamed, now.Sub(began))
				case lwtmember.Alive, lwtmember.Leaving:
				}
			})
			fail(cluster, members)
			cluster.Run(30 * time.Second)
		}
		if len(dead) != seeds*(members-1) {
			b.Errorf("%d daemons marked it as dead, want %d", len(dead), seeds*(members-1))
		}
		reportTimes(b, dead, "dead")
		reportTimes(b, unnamed, "unnamed")
	}
	b.ReportMetric(0, "ns/op")
}

func reportTimes(b *testing.B, times []time.Duration, what string) {
	b.Helper()
	slices.Sort(times)
	if len(times) == 0 {
		return
	}
	b.ReportMetric(times[0].Seconds(), what+"-first-s")
	b.ReportMetric(times[len(times)/2].Seconds(), what+"-median-s")
	b.ReportMetric(times[len(times)-1].Seconds(), what+"-last-s")
}

// BenchmarkMemberPauses counts false positives per hour while each daemon is paused for
// 5 s once in 10 minutes on average.
func BenchmarkMemberPauses(b *testing.B) {
	for _, members := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for b.Loop() {
				measurePauses(b, members)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measurePauses(b *testing.B, members int) {
	b.Helper()
	const (
		pause    = 5 * time.Second
		interval = 10 * time.Minute
	)
	cluster, random := startedCluster(b, members, benchZones, 1), rand.New(rand.NewPCG(2, 3))
	until := make([]time.Time, members)
	count, dead, suspects := 0, map[string]bool{}, map[string]bool{}
	cluster.Observe(func(now time.Time, _ string, cmd lwtmember.Cmd) {
		changed, found := cmd.(lwtmember.Changed)
		if !found {
			return
		}
		// Count each refutation count of a member once.
		key := fmt.Sprint(changed.Member.Address, changed.Member.Refutations)
		if changed.Member.Status == lwtmember.Dead {
			dead[key] = true
		}
		for index := range members {
			if changed.Member.Status == lwtmember.Suspect && lwtmembersim.Address(index) == changed.Member.Address &&
				now.Sub(until[index]) > pause {
				suspects[key] = true
			}
		}
	})
	duration := time.Hour
	if members > 16 {
		duration = 10 * time.Minute
	}
	for second := time.Duration(0); second < duration; second += time.Second {
		for index := range members {
			if random.Float64() < float64(time.Second)/float64(interval) {
				count++
				until[index] = cluster.Now().Add(pause)
				cluster.Pause(lwtmembersim.Address(index), pause)
			}
		}
		cluster.Run(time.Second)
	}
	hours := duration.Hours()
	b.ReportMetric(float64(count)/hours, "pauses/h")
	b.ReportMetric(float64(len(dead))/hours, "false-dead/h")
	b.ReportMetric(float64(len(suspects))/hours, "other-suspicions/h")
}

// BenchmarkMemberLostZone measures the time until the remaining daemons agree after the
// loss of an availability zone, the time until all agree after it returns, and the peak
// send rate of one daemon during both.
func BenchmarkMemberLostZone(b *testing.B) {
	for _, zones := range []int{4, 12} {
		for _, members := range []int{48, 192} {
			b.Run(fmt.Sprintf("share=1/%d/members=%d", zones, members), func(b *testing.B) {
				for b.Loop() {
					measureLostZone(b, members, zones)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func measureLostZone(b *testing.B, members, zones int) {
	b.Helper()
	cluster := startedCluster(b, members, zones, 1)
	cluster.Run(settleTime)
	var all []string
	for index := range members {
		all = append(all, lwtmembersim.Address(index))
	}
	for index := 1; index < members; index += zones {
		cluster.Kill(lwtmembersim.Address(index))
	}
	lost, peak := awaitAgreement(b, cluster, members)
	cluster.Run(settleTime)
	for index := 1; index < members; index += zones {
		cluster.Start(index, all, false)
	}
	back, peakBack := awaitAgreement(b, cluster, members)
	b.ReportMetric(lost.Seconds(), "lost-s")
	b.ReportMetric(back.Seconds(), "back-s")
	b.ReportMetric(float64(peak)/1000, "peak-lost-KB/s")
	b.ReportMetric(float64(peakBack)/1000, "peak-back-KB/s")
}

func awaitAgreement(b *testing.B, cluster *lwtmembersim.Cluster, members int) (took time.Duration, peak int) {
	b.Helper()
	before := make([]int, members)
	for cluster.CheckAgreement() != nil {
		for index := range members {
			daemon, _ := cluster.Daemon(lwtmembersim.Address(index))
			before[index] = daemon.Sent.Bytes
		}
		cluster.Run(time.Second)
		took += time.Second
		if took > 5*time.Minute {
			b.Fatal(cluster.CheckAgreement())
		}
		for index := range members {
			daemon, _ := cluster.Daemon(lwtmembersim.Address(index))
			peak = max(peak, daemon.Sent.Bytes-before[index])
		}
	}
	return took, peak
}

// BenchmarkAddressAnswer measures one computation of the entry addresses for a caller.
func BenchmarkAddressAnswer(b *testing.B) {
	runPerSize(b, benchSizes, func(b *testing.B, members int) {
		candidates := make([]lwtaddress.Candidate, members)
		for i := range candidates {
			candidates[i] = lwtaddress.Candidate{
				EntryAddress: lwtmembersim.Address(i), AvailabilityZone: fmt.Sprint("r-", i%benchZones), Serving: true,
			}
		}
		for b.Loop() {
			if len(lwtaddress.EntryAddresses(candidates, "caller", "r-3")) != min(members, lwtaddress.HomeCount) {
				b.Fatal("too few addresses")
			}
		}
	})
}

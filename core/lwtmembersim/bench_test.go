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
	// settleTime lets the updates of the start run out.
	settleTime = 90 * time.Second
	steadyTime = 60 * time.Second
	startTime  = 2 * time.Minute
)

var benchSizes = []int{4, 16, 64, 256, 370}

// noticeSizes leave out the largest size, whose 15 starts take minutes.
var noticeSizes = []int{4, 16, 64, 256}

// coded returns the bytes of a message after encoding and decoding it, so that
// the time that both take is part of what is measured.
func coded(_ lwtmember.Kind, gossip lwtmember.Gossip) int {
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

func started(b *testing.B, members, zones int, seed uint64) *lwtmembersim.Cluster {
	b.Helper()
	settings := options(members, zones, seed)
	settings.MessageSize = coded
	fleet := lwtmembersim.New(settings)
	if _, err := fleet.StartAll(startTime); err != nil {
		b.Fatal(err)
	}
	return fleet
}

func perSize(b *testing.B, sizes []int, run func(b *testing.B, members int)) {
	for _, members := range sizes {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) { run(b, members) })
	}
}

// tellLoad changes the digest of each daemon, as real daemons do each second.
func tellLoad(fleet *lwtmembersim.Cluster, members int, second int64) {
	for index := range members {
		for value := range int64(4) {
			fleet.Dispatch(lwtmembersim.Address(index), lwtmember.SetMetadata{Key: fmt.Sprint("load/e", value), Value: second * 100})
		}
	}
}

// BenchmarkMemberSteady measures what the membership of one daemon uses per
// second while nothing happens. All daemons change their digest each second.
func BenchmarkMemberSteady(b *testing.B) {
	perSize(b, benchSizes, func(b *testing.B, members int) {
		for b.Loop() {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			fleet := started(b, members, benchZones, 1)
			fleet.Run(settleTime)
			sent := totalSent(fleet, members)
			began := time.Now()
			for second := range int64(steadyTime / time.Second) {
				tellLoad(fleet, members, second)
				fleet.Run(time.Second)
			}
			cpu := time.Since(began)
			now := totalSent(fleet, members)
			runtime.GC()
			runtime.ReadMemStats(&after)
			span := steadyTime.Seconds() * float64(members)
			b.ReportMetric(float64(now.Bytes-sent.Bytes)/span, "B/s/daemon")
			b.ReportMetric(float64(now.Messages-sent.Messages)/span, "msg/s/daemon")
			b.ReportMetric(float64(cpu.Microseconds())/span, "cpu-us/s/daemon")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(members)/1024, "heap-KB/daemon")
			b.ReportMetric(digestAge(fleet, members), "digest-age-s")
			runtime.KeepAlive(fleet)
		}
		b.ReportMetric(0, "ns/op")
	})
}

// digestAge returns the mean age of the digests that daemons hold of others,
// in digest versions' intervals worked out in seconds.
func digestAge(fleet *lwtmembersim.Cluster, members int) float64 {
	interval, behind, pairs := lwtmember.MetadataInterval(members).Seconds(), 0.0, 0.0
	for viewer := range members {
		daemon, _ := fleet.Daemon(lwtmembersim.Address(viewer))
		for index := range members {
			if index == viewer {
				continue
			}
			owner, _ := fleet.Daemon(lwtmembersim.Address(index))
			own, _ := owner.Model.Metadata(lwtmembersim.Address(index))
			held, _ := daemon.Model.Metadata(lwtmembersim.Address(index))
			behind += float64(own.Version-held.Version) + 0.5
			pairs++
		}
	}
	return behind / pairs * interval
}

func totalSent(fleet *lwtmembersim.Cluster, members int) lwtmembersim.Traffic {
	var total lwtmembersim.Traffic
	for index := range members {
		daemon, _ := fleet.Daemon(lwtmembersim.Address(index))
		total.Bytes += daemon.Sent.Bytes
		total.Messages += daemon.Sent.Messages
	}
	return total
}

// BenchmarkMemberFullMesh measures the alternative: each daemon sends a
// heartbeat with its digest to each other one each second.
func BenchmarkMemberFullMesh(b *testing.B) {
	heartbeat := lwtmember.Gossip{
		Sequence: 1000, Revision: 5000, Metadata: []lwtmember.Metadata{{
			Address: lwtmembersim.Address(300), Boot: 1 << 60, Version: 1000,
			Values: map[string]int64{"load/e0": 5900, "load/e1": 5900, "load/e2": 5900, "load/e3": 5900},
		}},
	}
	perSize(b, benchSizes, func(b *testing.B, members int) {
		for b.Loop() {
			bytes, began := 0, time.Now()
			const seconds = 100
			for range seconds * (members - 1) {
				bytes += coded(lwtmember.KindPing, heartbeat)
			}
			b.ReportMetric(float64(bytes)/seconds, "B/s/daemon")
			b.ReportMetric(float64(members-1), "msg/s/daemon")
			b.ReportMetric(float64(time.Since(began).Microseconds())/seconds, "cpu-us/s/daemon")
		}
		b.ReportMetric(0, "ns/op")
	})
}

// BenchmarkMemberNotice measures the time until the others hold a failed
// daemon for dead, and until none names its address any more: the first, the
// median and the last of them, over 3 seeds.
func BenchmarkMemberNotice(b *testing.B) {
	failures := map[string]func(*lwtmembersim.Cluster, int){
		"killed": func(fleet *lwtmembersim.Cluster, _ int) { fleet.Kill(lwtmembersim.Address(1)) },
		"paused": func(fleet *lwtmembersim.Cluster, _ int) { fleet.Pause(lwtmembersim.Address(1), time.Hour) },
		"cut-off": func(fleet *lwtmembersim.Cluster, members int) {
			for index := range members {
				fleet.CutLink(lwtmembersim.Address(index), lwtmembersim.Address(1))
				fleet.CutLink(lwtmembersim.Address(1), lwtmembersim.Address(index))
			}
		},
	}
	for name, fail := range failures {
		b.Run(name, func(b *testing.B) {
			perSize(b, noticeSizes, func(b *testing.B, members int) { notice(b, members, fail) })
		})
	}
}

func notice(b *testing.B, members int, fail func(*lwtmembersim.Cluster, int)) {
	const seeds = 3
	for b.Loop() {
		var dead, unnamed []time.Duration
		for seed := range uint64(seeds) {
			fleet := started(b, members, benchZones, seed)
			fleet.Run(settleTime / 3)
			began := fleet.Now()
			fleet.Observe(func(now time.Time, viewer string, cmd lwtmember.Cmd) {
				changed, found := cmd.(lwtmember.Changed)
				if !found || changed.Member.Address != lwtmembersim.Address(1) || viewer == lwtmembersim.Address(1) {
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
			fail(fleet, members)
			fleet.Run(30 * time.Second)
		}
		if len(dead) != seeds*(members-1) {
			b.Errorf("%d verdicts, want %d", len(dead), seeds*(members-1))
		}
		report(b, dead, "dead")
		report(b, unnamed, "unnamed")
	}
	b.ReportMetric(0, "ns/op")
}

func report(b *testing.B, times []time.Duration, what string) {
	b.Helper()
	slices.Sort(times)
	if len(times) == 0 {
		return
	}
	b.ReportMetric(times[0].Seconds(), what+"-first-s")
	b.ReportMetric(times[len(times)/2].Seconds(), what+"-median-s")
	b.ReportMetric(times[len(times)-1].Seconds(), what+"-last-s")
}

// BenchmarkMemberPauses counts wrong verdicts per hour while each daemon is
// paused for 5 s once in 10 minutes on average.
func BenchmarkMemberPauses(b *testing.B) {
	for _, members := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for b.Loop() {
				pauses(b, members)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func pauses(b *testing.B, members int) {
	b.Helper()
	const (
		pause = 5 * time.Second
		every = 10 * time.Minute
	)
	fleet, random := started(b, members, benchZones, 1), rand.New(rand.NewPCG(2, 3))
	until := make([]time.Time, members)
	count, dead, suspects := 0, map[string]bool{}, map[string]bool{}
	fleet.Observe(func(now time.Time, _ string, cmd lwtmember.Cmd) {
		changed, found := cmd.(lwtmember.Changed)
		if !found {
			return
		}
		// A verdict of the life of one refutation counts once.
		key := fmt.Sprint(changed.Member.Address, changed.Member.Incarnation)
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
	span := time.Hour
	if members > 16 {
		span = 10 * time.Minute
	}
	for second := time.Duration(0); second < span; second += time.Second {
		for index := range members {
			if random.Float64() < float64(time.Second)/float64(every) {
				count++
				until[index] = fleet.Now().Add(pause)
				fleet.Pause(lwtmembersim.Address(index), pause)
			}
		}
		fleet.Run(time.Second)
	}
	hours := span.Hours()
	b.ReportMetric(float64(count)/hours, "pauses/h")
	b.ReportMetric(float64(len(dead))/hours, "false-dead/h")
	b.ReportMetric(float64(len(suspects))/hours, "other-suspicions/h")
}

// BenchmarkMemberLostZone measures the time until all that are left agree after
// an availability zone is lost, the highest rate of bytes of one daemon within
// a second meanwhile, and the time until all agree after it returns.
func BenchmarkMemberLostZone(b *testing.B) {
	for _, zones := range []int{4, 12} {
		for _, members := range []int{48, 192} {
			b.Run(fmt.Sprintf("share=1/%d/members=%d", zones, members), func(b *testing.B) {
				for b.Loop() {
					lostZone(b, members, zones)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func lostZone(b *testing.B, members, zones int) {
	b.Helper()
	fleet := started(b, members, zones, 1)
	fleet.Run(settleTime)
	var all []string
	for index := range members {
		all = append(all, lwtmembersim.Address(index))
	}
	for index := 1; index < members; index += zones {
		fleet.Kill(lwtmembersim.Address(index))
	}
	lost, peak := converge(b, fleet, members)
	fleet.Run(settleTime)
	for index := 1; index < members; index += zones {
		fleet.Start(index, all, false)
	}
	back, peakBack := converge(b, fleet, members)
	b.ReportMetric(lost.Seconds(), "lost-s")
	b.ReportMetric(back.Seconds(), "back-s")
	b.ReportMetric(float64(peak)/1000, "peak-lost-KB/s")
	b.ReportMetric(float64(peakBack)/1000, "peak-back-KB/s")
}

func converge(b *testing.B, fleet *lwtmembersim.Cluster, members int) (took time.Duration, peak int) {
	b.Helper()
	before := make([]int, members)
	for fleet.CheckAgreement() != nil {
		for index := range members {
			daemon, _ := fleet.Daemon(lwtmembersim.Address(index))
			before[index] = daemon.Sent.Bytes
		}
		fleet.Run(time.Second)
		took += time.Second
		if took > 5*time.Minute {
			b.Fatal(fleet.CheckAgreement())
		}
		for index := range members {
			daemon, _ := fleet.Daemon(lwtmembersim.Address(index))
			peak = max(peak, daemon.Sent.Bytes-before[index])
		}
	}
	return took, peak
}

// BenchmarkAddressAnswer measures one answer to a caller.
func BenchmarkAddressAnswer(b *testing.B) {
	perSize(b, benchSizes, func(b *testing.B, members int) {
		candidates := make([]lwtaddress.Candidate, members)
		for i := range candidates {
			candidates[i] = lwtaddress.Candidate{
				EntryAddress: lwtmembersim.Address(i), AvailabilityZone: fmt.Sprint("r-", i%benchZones), Serving: true,
			}
		}
		for b.Loop() {
			if len(lwtaddress.EntryAddresses(candidates, "caller", "r-3")) != min(members, lwtaddress.HomeCount) {
				b.Fatal("short answer")
			}
		}
	})
}

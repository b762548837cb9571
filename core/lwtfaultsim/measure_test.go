package lwtfaultsim_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingtide/core/lwtclaim"
	"lacewingtide/core/lwtfaultsim"
)

// BenchmarkClaims measures the transaction rate of the table and the claim latency, at
// 4,600 requests/s of which 10% are orders with a key.
func BenchmarkClaims(b *testing.B) {
	const orders = 460
	single := lwtclaim.Options{BatchSize: 1, MaxInFlight: 1 << 20, MaxClaims: 1 << 20}
	direct := lwtclaim.Options{BatchSize: 64, MaxInFlight: 4, MaxClaims: 4096}
	collect := lwtclaim.Options{BatchWindow: 20 * time.Millisecond, BatchSize: 64, MaxInFlight: 2}
	for _, daemons := range []int{4, 16, 64, 370} {
		for _, mode := range []struct {
			name       string
			options    lwtclaim.Options
			collectors int
		}{{"single", single, 0}, {"batched", lwtclaim.DefaultOptions(), 0}, {"collected", direct, 4}} {
			b.Run(fmt.Sprintf("%s/daemons=%d", mode.name, daemons), func(b *testing.B) {
				var result lwtfaultsim.Result
				for range b.N {
					result = lwtfaultsim.Run(lwtfaultsim.Experiment{
						Seed: 1, Daemons: daemons, ClaimOptions: mode.options, Collectors: mode.collectors,
						CollectorOptions: collect, Orders: 60 * orders, ArrivalInterval: time.Second / orders,
					})
				}
				b.ReportMetric(result.TransactionsPerSecond(), "transactions/s")
				b.ReportMetric(result.ClaimLatency(0.5).Seconds()*1000, "p50-ms")
				b.ReportMetric(result.ClaimLatency(0.99).Seconds()*1000, "p99-ms")
				if len(result.Violations) > 0 {
					b.Error(result.Violations[0])
				}
			})
		}
	}
}

func fairnessExperiment(admitAll bool, burst float64) lwtfaultsim.FairnessExperiment {
	return lwtfaultsim.FairnessExperiment{
		Seed: 1, Slots: 256, Callers: 20, Load: 0.7, BurstFactor: burst, ServiceTime: 4 * time.Second,
		Deadline: 600 * time.Millisecond, Duration: 10 * time.Minute, AdmitAll: admitAll,
	}
}

// BenchmarkFairness measures the fraction of the other callers' requests that are
// rejected or start late while one caller sends 10 times as many requests as each of
// the others.
func BenchmarkFairness(b *testing.B) {
	for _, burst := range []float64{1, 10} {
		for _, admitAll := range []bool{true, false} {
			b.Run(fmt.Sprintf("burst=%v/fair=%v", burst, !admitAll), func(b *testing.B) {
				var result lwtfaultsim.FairnessResult
				for range b.N {
					result = lwtfaultsim.RunFairness(fairnessExperiment(admitAll, burst))
				}
				b.ReportMetric(100*result.MissRate(), "%-others-missed")
				b.ReportMetric(100*float64(result.BurstServed)/float64(result.BurstRequests), "%-burst-served")
			})
		}
	}
}

// TestBurstCostsOthersNoDeadlines guards against admission control that lets a caller
// with 10 times the request rate make the other callers miss their deadlines.
func TestBurstCostsOthersNoDeadlines(t *testing.T) {
	if missed := lwtfaultsim.RunFairness(fairnessExperiment(false, 10)).MissRate(); missed > 0.01 {
		t.Errorf("%.1f%% of the other callers' requests missed their deadline", 100*missed)
	}
}

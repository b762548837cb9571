package lwtdaemon_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingtide/io/lwtstandin"
)

// BenchmarkSilentConnection measures the time to a complete response when the
// connection in use stops transferring data: to an engine before the request, from an
// engine in the middle of its response, and to a shop before the request.
func BenchmarkSilentConnection(b *testing.B) {
	for _, test := range []struct {
		name, relay string
		fault       lwtstandin.ProxyFault
		line        string
	}{
		{"none", "engine1", lwtstandin.ProxyFault{}, "chat d1 hello 20"},
		{"engine-request", "engine1", lwtstandin.ProxyFault{Upstream: true, Connections: 1}, "chat d1 hello 20"},
		{"engine-answer", "engine1", lwtstandin.ProxyFault{AfterBytes: 1500, Downstream: true, Connections: 1}, "chat d1 hello 20"},
		{"lookup", "shop2", lwtstandin.ProxyFault{Upstream: true, Connections: 1}, "stock d1 x"},
	} {
		b.Run(test.name, func(b *testing.B) {
			var maxLatency time.Duration
			for range b.N {
				cluster := newCluster(b)
				cluster.Proxies[test.relay].SetFault(test.fault)
				start := time.Now()
				if got := cluster.runStep(test.line); got != "  200  whole=true\n" {
					b.Fatal(got)
				}
				maxLatency = max(maxLatency, time.Since(start))
				if test.name != "none" && cluster.Proxies[test.relay].BlackholedDirections() == 0 {
					b.Log("no request used the blackholed connection")
				}
			}
			b.ReportMetric(maxLatency.Seconds()*1000, "longest-ms")
		})
	}
}

// BenchmarkOrder measures an order with and without an Idempotency-Key through a
// daemon, a shop and the store, all on loopback.
func BenchmarkOrder(b *testing.B) {
	cluster := newCluster(b)
	for _, keyed := range []bool{false, true} {
		b.Run(fmt.Sprint("keyed=", keyed), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				order := fmt.Sprintf("o%v-%d-%d", keyed, b.N, i)
				if done, _ := cluster.submitOrder(order, keyed, 1); !done {
					b.Fatal("the order failed")
				}
			}
		})
	}
}

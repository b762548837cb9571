package lwtdaemon_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingtide/io/lwtstandin"
)

// BenchmarkSilentConnection measures the time to a whole answer when the
// connection in use goes silent: towards an engine before the request arrives,
// from an engine in the middle of its answer, and from a shop before its answer.
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
			var longest time.Duration
			for range b.N {
				world := newWorld(b)
				world.Proxies[test.relay].SetFault(test.fault)
				began := time.Now()
				if got := world.step(test.line); got != "  200  whole=true\n" {
					b.Fatal(got)
				}
				longest = max(longest, time.Since(began))
				if test.name != "none" && world.Proxies[test.relay].BlackholedDirections() == 0 {
					b.Log("the silent connection was not used")
				}
			}
			b.ReportMetric(longest.Seconds()*1000, "longest-ms")
		})
	}
}

// BenchmarkOrder measures a keyed order through a daemon, a shop and the store,
// all on loopback.
func BenchmarkOrder(b *testing.B) {
	world := newWorld(b)
	for _, keyed := range []bool{false, true} {
		b.Run(fmt.Sprint("keyed=", keyed), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				order := fmt.Sprintf("o%v-%d-%d", keyed, b.N, i)
				if done, _ := world.buy(order, keyed, 1); !done {
					b.Fatal("the order failed")
				}
			}
		})
	}
}

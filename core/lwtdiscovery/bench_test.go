package lwtdiscovery_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingtide/core/lwtdiscovery"
)

// BenchmarkFirstRead measures a complete read of the list by a daemon that knows no
// server yet.
func BenchmarkFirstRead(b *testing.B) {
	for _, count := range []int{100, 300, 1000, 3000} {
		servers := make([]lwtdiscovery.Server, 0, count)
		for i := range count {
			servers = append(servers, server(fmt.Sprint("i-", i), 1))
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				lwtdiscovery.ServerSet{}.WithSnapshot(start, servers)
			}
		})
	}
}

// BenchmarkHeartbeat measures one heartbeat of a server that changes nothing else.
func BenchmarkHeartbeat(b *testing.B) {
	for _, count := range []int{100, 300, 1000, 3000} {
		roster := lwtdiscovery.ServerSet{}
		for i := range count {
			roster = roster.WithEntry(server(fmt.Sprint("i-", i), 1))
		}
		roster = roster.WithOutage(lwtdiscovery.Outage{End: start.Add(-time.Hour)})
		beat := int64(1)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				beat++
				roster = roster.WithEntry(server("i-1", beat))
			}
		})
	}
}

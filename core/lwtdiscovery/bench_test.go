package lwtdiscovery_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingtide/core/lwtdiscovery"
)

// BenchmarkFirstRead measures applying a complete server list to an empty set.
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

// BenchmarkHeartbeat measures applying an entry that differs only in its heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	for _, count := range []int{100, 300, 1000, 3000} {
		serverSet := lwtdiscovery.ServerSet{}
		for i := range count {
			serverSet = serverSet.WithEntry(server(fmt.Sprint("i-", i), 1))
		}
		serverSet = serverSet.WithOutage(lwtdiscovery.Outage{End: start.Add(-time.Hour)})
		heartbeatSeq := int64(1)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				heartbeatSeq++
				serverSet = serverSet.WithEntry(server("i-1", heartbeatSeq))
			}
		})
	}
}

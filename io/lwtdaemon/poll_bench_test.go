package lwtdaemon

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtengine"
)

// BenchmarkPollBytes measures the bytes of one load poll and one read of cache
// events in both directions, without TCP and IP headers.
func BenchmarkPollBytes(b *testing.B) {
	target := runEngine(b, "e1")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var bytes atomic.Int64
	go countBytes(listener, target, &bytes)
	address := listener.Addr().String()
	router := routerOf(lwtdeclaredstate.Engine{Name: "e1", Address: address, Role: lwtdeclaredstate.RoleMixed, Models: []string{"m"}})
	poll := newRouterPoll(router, lwtengine.New(), log.NewNopLogger())
	defer poll.pool.Release()
	for b.Loop() {
		poll.load("e1", address)
		load := bytes.Swap(0)
		poll.cache("e1", address)
		b.ReportMetric(float64(load), "B/load")
		b.ReportMetric(float64(bytes.Swap(0)), "B/cache-read")
	}
}

func countBytes(listener net.Listener, target string, bytes *atomic.Int64) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		engine, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		pass := func(to, from net.Conn) {
			buffer := make([]byte, 4096)
			for {
				n, err := from.Read(buffer)
				bytes.Add(int64(n))
				if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
					// Each side's end ends the other one.
					_ = to.Close()
					return
				}
			}
		}
		go pass(engine, caller)
		go pass(caller, engine)
	}
}

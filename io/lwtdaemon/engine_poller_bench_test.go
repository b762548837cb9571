package lwtdaemon

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtengine"
)

// BenchmarkPollBytes measures the bytes that one load poll and one read of cache
// events transfer in both directions, without TCP and IP headers.
func BenchmarkPollBytes(b *testing.B) {
	target := startEngine(b, "e1")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var bytes atomic.Int64
	go proxyAndCount(listener, target, &bytes)
	address := listener.Addr().String()
	router := newTestRouter(lwtdeclaredstate.Engine{
		Name: "e1", Address: address, Role: lwtdeclaredstate.RoleMixed, Models: []string{"m"},
	})
	poller := newEnginePoller(router, lwtengine.New(), log.NewNopLogger())
	defer poller.pool.Release()
	for b.Loop() {
		poller.pollLoad("e1", address)
		loadBytes := bytes.Swap(0)
		poller.readCacheEvents("e1", address)
		b.ReportMetric(float64(loadBytes), "B/load")
		b.ReportMetric(float64(bytes.Swap(0)), "B/cache-read")
	}
}

func proxyAndCount(listener net.Listener, target string, bytes *atomic.Int64) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		engine, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		forward := func(to, from net.Conn) {
			buffer := make([]byte, 4096)
			for {
				n, err := from.Read(buffer)
				bytes.Add(int64(n))
				if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
					// The end of one direction ends the other one.
					_ = to.Close()
					return
				}
			}
		}
		go forward(engine, caller)
		go forward(caller, engine)
	}
}

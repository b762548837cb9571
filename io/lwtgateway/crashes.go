package lwtgateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtquarantine"
	"lacewingtide/core/lwtroutetable"
	"lacewingtide/io/lwthttp"
	"lacewingtide/io/lwtlog"
)

const (
	// crashCollectTime is how long the requests that an engine has broken off are collected
	// before it is checked whether it has crashed.
	crashCollectTime = 5 * time.Millisecond
	// crashCheckTimeout is the timeout of that check.
	crashCheckTimeout = 500 * time.Millisecond
	// maxBrokenRequests bounds the requests that are collected for one engine.
	maxBrokenRequests = 256
	// responseOnset is the time from the first event of a response in which a crash of the engine
	// may be due to the request.
	responseOnset = 50 * time.Millisecond
)

// crashDetector finds out whether engines that break off responses have crashed. An engine that
// refuses connections right after it has broken off responses has.
type crashDetector struct {
	gateway *Gateway
	mutex   sync.Mutex
	// broken holds the responses that are being checked.
	broken map[incarnation]*brokenResponses
}

// incarnation identifies a process of a server. Two processes of one server may be checked at the
// same time.
type incarnation struct {
	serverID, address string
	started           int64
}

func incarnationOf(server lwtdiscovery.Server) incarnation {
	return incarnation{serverID: server.ID, address: server.Address, started: server.StartTime.UnixNano()}
}

// brokenResponses holds the requests whose responses an engine has broken off when it had not
// begun, or just begun, to send them.
type brokenResponses struct {
	server   lwtdiscovery.Server
	since    time.Time
	requests []lwtroutetable.Request
}

func newCrashDetector(gateway *Gateway) *crashDetector {
	return &crashDetector{gateway: gateway, broken: map[incarnation]*brokenResponses{}}
}

// suspectCrash reports an attempt that the engine has broken off to the crash detector, unless the
// caller or the daemon has ended it, or its response was already under way.
func (call *call) suspectCrash(server lwtdiscovery.Server, err error) {
	underWay := call.attemptEvents > 0 && time.Since(call.firstEventAt) >= responseOnset
	if !call.target.isEngine || underWay || call.context.Err() != nil || lwthttp.IsTimeout(err) ||
		len(call.request.SharedSegments()) == 0 {
		return
	}
	call.gateway.crashDetector.record(time.Now(), server, call.request)
}

func (crashDetector *crashDetector) record(now time.Time, server lwtdiscovery.Server, request lwtroutetable.Request) {
	crashDetector.mutex.Lock()
	defer crashDetector.mutex.Unlock()
	if broken, found := crashDetector.broken[incarnationOf(server)]; found {
		if len(broken.requests) < maxBrokenRequests {
			broken.requests = append(broken.requests, request)
		}
		return
	}
	crashDetector.broken[incarnationOf(server)] = &brokenResponses{
		server: server, since: now, requests: []lwtroutetable.Request{request},
	}
	go crashDetector.check(server)
}

// check records a crash if the engine refuses connections.
func (crashDetector *crashDetector) check(server lwtdiscovery.Server) {
	time.Sleep(crashCollectTime)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	conn, err := crashDetector.gateway.connPool.Dial(ctx, server.Address)
	if err == nil {
		conn.Close()
	}
	crashDetector.mutex.Lock()
	broken := crashDetector.broken[incarnationOf(server)]
	delete(crashDetector.broken, incarnationOf(server))
	crashDetector.mutex.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		crashDetector.gateway.recordCrash(broken)
	}
}

// recordCrash applies a crash that this daemon has seen and informs the other daemons.
func (gateway *Gateway) recordCrash(broken *brokenResponses) {
	server, now := broken.server, time.Now()
	crash := lwtquarantine.Crash{Service: server.Service, ServerID: server.ID, At: broken.since}
	report, quarantined := gateway.view.recordCrash(now, crash, broken.requests)
	gateway.metrics.Count("server-crashes")
	lwtlog.Info(gateway.logger, "server-crashed", "server", server.ID, "started", server.StartTime.UnixMilli(),
		"requests", len(broken.requests), "segments", segmentNames(slices.Sorted(maps.Keys(report.Suspects))),
		"source", "answer")
	gateway.sendServerMessage("", serverMessage{Crashes: []crashReport{encodeCrash(now, report)}})
	gateway.publishQuarantine(quarantined, "server "+server.ID)
}

// crashReport is the crash of an engine, as reported to other daemons.
type crashReport struct {
	Service  string `cbor:"1,keyasint"`
	ServerID string `cbor:"2,keyasint"`
	// AgeMilliseconds is how long ago the server crashed.
	AgeMilliseconds int64 `cbor:"3,keyasint,omitempty"`
	// Suspects holds the number of answered requests of each segment that may have caused the
	// crash.
	Suspects map[string]int `cbor:"4,keyasint,omitempty"`
}

func encodeCrash(now time.Time, crash lwtquarantine.Crash) crashReport {
	return crashReport{
		Service: crash.Service, ServerID: crash.ServerID, AgeMilliseconds: now.Sub(crash.At).Milliseconds(),
		Suspects: crash.Suspects,
	}
}

func (report crashReport) decode(now time.Time) lwtquarantine.Crash {
	return lwtquarantine.Crash{
		Service: report.Service, ServerID: report.ServerID,
		At: now.Add(-time.Duration(report.AgeMilliseconds) * time.Millisecond), Suspects: report.Suspects,
	}
}

// applyCrashes applies crashes that another daemon has reported, and returns those that are new.
func (gateway *Gateway) applyCrashes(daemon string, reports []crashReport) (fresh []crashReport) {
	now := time.Now()
	for _, report := range reports {
		if !gateway.view.observeCrash(now, report.decode(now)) {
			continue
		}
		lwtlog.Info(gateway.logger, "server-crashed", "server", report.ServerID,
			"segments", segmentNames(slices.Sorted(maps.Keys(report.Suspects))), "source", daemon)
		fresh = append(fresh, report)
	}
	return fresh
}

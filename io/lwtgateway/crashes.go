package lwtgateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
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
	// crashCollectTime is how long the requests that a server has broken off are collected
	// before it is checked whether it has crashed.
	crashCollectTime = 5 * time.Millisecond
	// crashCheckTimeout is the timeout of that check.
	crashCheckTimeout = 500 * time.Millisecond
	// maxBrokenRequests bounds the requests that are collected for one server.
	maxBrokenRequests = 256
	// responseOnset is the time from the first event of a response in which a crash of the server
	// may be due to the request.
	responseOnset = 50 * time.Millisecond
)

// crashDetector finds out whether servers that break off responses have crashed. A server that
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

// brokenResponses holds the requests whose responses a server has broken off when it had not
// begun, or just begun, to send them.
type brokenResponses struct {
	server   lwtdiscovery.Server
	since    time.Time
	requests []lwtroutetable.Request
	// checked is closed when the daemon knows whether the server has crashed.
	checked chan struct{}
}

func newCrashDetector(gateway *Gateway) *crashDetector {
	return &crashDetector{gateway: gateway, broken: map[incarnation]*brokenResponses{}}
}

// suspectCrash reports an attempt that the server has broken off to the crash detector, unless the
// caller or the daemon has ended it, or its response was already under way.
func (call *call) suspectCrash(server lwtdiscovery.Server, err error) {
	underWay := call.attemptEvents > 0 && time.Since(call.firstEventAt) >= responseOnset
	if underWay || call.context.Err() != nil || lwthttp.IsTimeout(err) {
		return
	}
	call.crashChecked = call.gateway.crashDetector.record(time.Now(), server, call.request)
}

// awaitCrashCheck waits until it is known whether the server that broke off the last attempt has
// crashed, if the request may have crashed another one before: it may be quarantined then.
func (call *call) awaitCrashCheck() {
	checked := call.crashChecked
	call.crashChecked = nil
	if checked == nil || !call.gateway.view.suspected(call.service, call.request) {
		return
	}
	select {
	case <-checked:
	case <-call.context.Done():
	}
}

// record adds a request to those that a server has broken off. Checked is closed when it is known
// whether the server has crashed.
func (crashDetector *crashDetector) record(
	now time.Time, server lwtdiscovery.Server, request lwtroutetable.Request,
) (checked <-chan struct{}) {
	crashDetector.mutex.Lock()
	defer crashDetector.mutex.Unlock()
	if broken, found := crashDetector.broken[incarnationOf(server)]; found {
		if len(broken.requests) < maxBrokenRequests {
			broken.requests = append(broken.requests, request)
		}
		return broken.checked
	}
	broken := &brokenResponses{
		server: server, since: now, requests: []lwtroutetable.Request{request}, checked: make(chan struct{}),
	}
	crashDetector.broken[incarnationOf(server)] = broken
	go crashDetector.check(server)
	return broken.checked
}

// check records a crash if the server refuses connections.
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
	defer close(broken.checked)
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
		"requests", len(broken.requests), "segments", segmentNames(report), "fingerprints", fingerprintNames(report),
		"source", "answer")
	gateway.sendServerMessage("", serverMessage{Crashes: []crashReport{encodeCrash(now, report)}})
	gateway.publishQuarantine(quarantined, "server "+server.ID)
}

// crashReport is the crash of a server, as reported to other daemons.
type crashReport struct {
	Service  string `cbor:"1,keyasint"`
	ServerID string `cbor:"2,keyasint"`
	// AgeMilliseconds is how long ago the server crashed.
	AgeMilliseconds int64 `cbor:"3,keyasint,omitempty"`
	// Segments holds the number of answered requests of each segment that may have caused the
	// crash, Requests the requests that may have.
	Segments map[string]int   `cbor:"4,keyasint,omitempty"`
	Requests []suspectRequest `cbor:"5,keyasint,omitempty"`
}

type suspectRequest struct {
	Fingerprint string   `cbor:"1,keyasint"`
	Segments    []string `cbor:"2,keyasint,omitempty"`
}

func encodeCrash(now time.Time, crash lwtquarantine.Crash) crashReport {
	report := crashReport{
		Service: crash.Service, ServerID: crash.ServerID, AgeMilliseconds: now.Sub(crash.At).Milliseconds(),
		Segments: crash.Segments,
	}
	for _, request := range crash.Requests {
		report.Requests = append(report.Requests, suspectRequest(request))
	}
	return report
}

func (report crashReport) decode(now time.Time) lwtquarantine.Crash {
	crash := lwtquarantine.Crash{
		Service: report.Service, ServerID: report.ServerID,
		At: now.Add(-time.Duration(report.AgeMilliseconds) * time.Millisecond), Segments: report.Segments,
	}
	for _, request := range report.Requests {
		crash.Requests = append(crash.Requests, lwtquarantine.SuspectRequest(request))
	}
	return crash
}

// applyCrashes applies crashes that another daemon has reported, and returns those that are new.
func (gateway *Gateway) applyCrashes(daemon string, reports []crashReport) (fresh []crashReport) {
	now := time.Now()
	for _, report := range reports {
		crash := report.decode(now)
		if !gateway.view.observeCrash(now, crash) {
			continue
		}
		lwtlog.Info(gateway.logger, "server-crashed", "server", report.ServerID,
			"segments", segmentNames(crash), "fingerprints", fingerprintNames(crash), "source", daemon)
		fresh = append(fresh, report)
	}
	return fresh
}

// segmentNames returns the comma-separated segments of a crash, for logs.
func segmentNames(crash lwtquarantine.Crash) string {
	return firstNames(slices.Sorted(maps.Keys(crash.Segments)))
}

// fingerprintNames returns the comma-separated fingerprints of the requests of a crash, for logs.
func fingerprintNames(crash lwtquarantine.Crash) string {
	fingerprints := make([]string, 0, len(crash.Requests))
	for _, request := range crash.Requests {
		fingerprints = append(fingerprints, request.Fingerprint)
	}
	return firstNames(fingerprints)
}

// firstNames joins names for logs, not more than maxLoggedNames.
func firstNames(names []string) string {
	return strings.Join(names[:min(len(names), maxLoggedNames)], ",")
}

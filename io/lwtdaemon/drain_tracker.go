package lwtdaemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"

	"lacewingtide/io/lwteventloop"
	"lacewingtide/io/lwtlog"
)

const (
	kindDraining = "draining"
	// drainAnnounceInterval is the interval at which a lease holder repeats which
	// engines it drains, because messages can be lost.
	drainAnnounceInterval = 500 * time.Millisecond
	// drainReportTTL is the time after which a peer's report expires unless repeated.
	drainReportTTL = 3 * time.Second
)

// drainingMessage announces the engines that a daemon drains for a planned change.
type drainingMessage struct {
	Engines []string `cbor:"engines"`
}

// drainTracker tracks the engines that get no new requests because a lease holder,
// this daemon or another, is about to change them. An order is sent only once its
// engine has no active stream, so that a lost message delays a change but doesn't
// interrupt a stream.
type drainTracker struct {
	ownDraining func() []string
	peers       Peers
	logger      log.Logger
	view        atomic.Pointer[map[string]bool]

	mutex         sync.Mutex
	reports       map[string]drainReport
	lastAnnounced []string
}

type drainReport struct {
	engines    []string
	receivedAt time.Time
}

func newDrainTracker(ownDraining func() []string, peers Peers, logger log.Logger) *drainTracker {
	tracker := &drainTracker{ownDraining: ownDraining, peers: peers, logger: logger, reports: map[string]drainReport{}}
	tracker.view.Store(&map[string]bool{})
	peers.Handle(kindDraining, tracker.receive)
	return tracker
}

// Draining reports whether an engine is draining and gets no new requests.
func (tracker *drainTracker) Draining(engine string) bool { return (*tracker.view.Load())[engine] }

// Serve implements suture.Service.
func (tracker *drainTracker) Serve(ctx context.Context) error {
	return lwteventloop.Tick(ctx, drainAnnounceInterval, tracker.tick)
}

// String returns the name of the service in logs.
func (tracker *drainTracker) String() string { return "drains" }

func (tracker *drainTracker) tick(now time.Time) {
	own := tracker.ownDraining()
	tracker.mutex.Lock()
	if len(own) > 0 || len(tracker.lastAnnounced) > 0 {
		tracker.announce(own)
	}
	tracker.lastAnnounced = own
	tracker.mutex.Unlock()
	tracker.updateView(now)
}

func (tracker *drainTracker) announce(engines []string) {
	for _, member := range tracker.peers.Members() {
		if err := tracker.peers.Send(member, kindDraining, drainingMessage{engines}); err != nil {
			lwtlog.Debug(tracker.logger, "peer-send-failed", "kind", kindDraining, "to", member, "err", err)
		}
	}
}

func (tracker *drainTracker) receive(from string, body []byte) {
	var message drainingMessage
	if err := cbor.Unmarshal(body, &message); err != nil {
		lwtlog.Warn(tracker.logger, "peer-message-malformed", "kind", kindDraining, "from", from, "err", err)
		return
	}
	now := time.Now()
	tracker.mutex.Lock()
	tracker.reports[from] = drainReport{engines: message.Engines, receivedAt: now}
	tracker.mutex.Unlock()
	tracker.updateView(now)
}

// updateView recomputes the set of engines that this daemon or a peer drains.
func (tracker *drainTracker) updateView(now time.Time) {
	view := map[string]bool{}
	for _, engine := range tracker.ownDraining() {
		view[engine] = true
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	maps.DeleteFunc(tracker.reports, func(_ string, report drainReport) bool {
		return now.Sub(report.receivedAt) > drainReportTTL
	})
	for _, report := range tracker.reports {
		for _, engine := range report.engines {
			view[engine] = true
		}
	}
	tracker.view.Store(&view)
}

func (tracker *drainTracker) status(time.Time) any {
	return slices.Sorted(maps.Keys(*tracker.view.Load()))
}

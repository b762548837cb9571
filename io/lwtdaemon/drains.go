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
	// drainRepeat is how often the holder of a lease repeats which engines it
	// drains, as messages can be lost.
	drainRepeat = 500 * time.Millisecond
	// drainHeld is the time for which a peer's message holds without repetition.
	drainHeld = 3 * time.Second
)

// draining tells which engines a daemon drains for a planned change.
type draining struct {
	Engines []string `cbor:"engines"`
}

// drains knows which engines get no new work because a lease holder, this
// daemon or another, is about to change them. An order goes out only when its
// engine has no stream left, so a lost message delays a change and cuts nothing.
type drains struct {
	own    func() []string
	peers  Peers
	logger log.Logger
	view   atomic.Pointer[map[string]bool]

	mutex sync.Mutex
	told  map[string]toldDraining
	sent  []string
}

type toldDraining struct {
	engines []string
	at      time.Time
}

func newDrains(own func() []string, peers Peers, logger log.Logger) *drains {
	drains := &drains{own: own, peers: peers, logger: logger, told: map[string]toldDraining{}}
	drains.view.Store(&map[string]bool{})
	peers.Handle(kindDraining, drains.receive)
	return drains
}

// Draining reports whether an engine gets no new work.
func (drains *drains) Draining(engine string) bool { return (*drains.view.Load())[engine] }

// Serve implements suture.Service.
func (drains *drains) Serve(ctx context.Context) error {
	return lwteventloop.Tick(ctx, drainRepeat, drains.tick)
}

// String names the part in logs.
func (drains *drains) String() string { return "drains" }

func (drains *drains) tick(now time.Time) {
	own := drains.own()
	drains.mutex.Lock()
	if len(own) > 0 || len(drains.sent) > 0 {
		drains.tell(own)
	}
	drains.sent = own
	drains.mutex.Unlock()
	drains.renew(now)
}

func (drains *drains) tell(engines []string) {
	for _, member := range drains.peers.Members() {
		if err := drains.peers.Send(member, kindDraining, draining{engines}); err != nil {
			lwtlog.Debug(drains.logger, "peer-send-failed", "kind", kindDraining, "to", member, "err", err)
		}
	}
}

func (drains *drains) receive(from string, body []byte) {
	var message draining
	if err := cbor.Unmarshal(body, &message); err != nil {
		lwtlog.Warn(drains.logger, "peer-message-malformed", "kind", kindDraining, "from", from, "err", err)
		return
	}
	now := time.Now()
	drains.mutex.Lock()
	drains.told[from] = toldDraining{engines: message.Engines, at: now}
	drains.mutex.Unlock()
	drains.renew(now)
}

// renew puts together what this daemon and its peers drain.
func (drains *drains) renew(now time.Time) {
	view := map[string]bool{}
	for _, engine := range drains.own() {
		view[engine] = true
	}
	drains.mutex.Lock()
	defer drains.mutex.Unlock()
	maps.DeleteFunc(drains.told, func(_ string, told toldDraining) bool { return now.Sub(told.at) > drainHeld })
	for _, told := range drains.told {
		for _, engine := range told.engines {
			view[engine] = true
		}
	}
	drains.view.Store(&view)
}

func (drains *drains) status(time.Time) any {
	return slices.Sorted(maps.Keys(*drains.view.Load()))
}

package lwtquarantine_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"lacewingtide/core/lwtquarantine"
	"lacewingtide/core/lwtroutetable"
)

const (
	service = "engines"
	// deadly is the segment that crashes the engines, deadlyRequest the fingerprint of the request
	// that does.
	deadly        = "deadly"
	deadlyRequest = "deadly-request"
	// warmUp is the time before deadly requests are sent, and duration the time in which requests
	// are. The messages of its end are delivered within settleTime.
	warmUp     = 2 * time.Second
	duration   = 30 * time.Second
	settleTime = 100 * time.Millisecond
	// toleratedCrashes is the number of crashes by requests with deadly after which, contactTime
	// later, at most maxLate of them may be sent, toleratedRequestCrashes that by deadlyRequest.
	toleratedCrashes        = 5
	toleratedRequestCrashes = 3
	contactTime             = 3 * time.Second
	maxLate                 = 3
	downtime                = 3 * time.Second
	// confirmDelay is the time in which a daemon confirms a crash.
	confirmDelay = 15 * time.Millisecond
	startDelay   = 25 * time.Millisecond
	answerDelay  = 30 * time.Millisecond
)

var start = time.Unix(1000, 0)

// simulation is a fleet of daemons before engines, in virtual time.
type simulation struct {
	options options
	random  *rand.Rand
	now     time.Time
	events  eventQueue
	daemons []*simulatedDaemon
	engines []*simulatedEngine
	stored  map[lwtquarantine.Key]lwtquarantine.Entry
	// crashes and sent hold, by cause, when engines crashed and when deadly requests were sent to
	// an engine.
	crashes, sent map[cause][]time.Time
	// sound holds the sound requests.
	sound []*simulatedRequest
	// blocked counts the sound requests that were kept away from the engines.
	blocked int
}

// cause is why an engine crashes.
type cause int

const (
	none cause = iota
	segmentCause
	requestCause
	otherCause
)

type options struct {
	daemons, engines int
	// perSecond is the number of requests of all callers.
	perSecond int
	// deadlyShare is the share of the requests that have deadly.
	deadlyShare float64
	// deadlyRequestShare is the share of the requests that are deadlyRequest.
	deadlyRequestShare float64
	// plain says that the requests have no prompts.
	plain bool
	// retries is the number of further engines to which a request is sent after a crash.
	retries int
	// hotShare is the share of the requests that are the same as many others.
	hotShare float64
	// knownBefore says that deadly is sound until it begins to crash engines.
	knownBefore bool
	// partitions is the number of groups whose daemons do not reach each other, but the store.
	partitions int
	// lostMessages is the share of the messages between daemons that are lost.
	lostMessages float64
	// restartAt is when all daemons restart, 0 if they do not.
	restartAt time.Duration
	// outageEvery is the time between two crashes of an engine without any request's fault, 0 if
	// there are none.
	outageEvery time.Duration
	// rack is the number of engines that crash together then.
	rack int
}

type simulatedDaemon struct {
	name       string
	partition  int
	quarantine *lwtquarantine.Quarantine
}

type simulatedEngine struct {
	id       string
	upAt     time.Time
	inFlight map[string]*simulatedRequest
}

type simulatedRequest struct {
	lwtroutetable.Request
	daemon *simulatedDaemon
	sentAt time.Time
	// crashes is what makes the request crash engines, if anything.
	crashes cause
	// retries is the number of further engines to which it may be sent.
	retries  int
	answered bool
}

// event is an action at a moment.
type event struct {
	at     time.Time
	number int
	act    func()
}

type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(i, j int) bool {
	if !queue[i].at.Equal(queue[j].at) {
		return queue[i].at.Before(queue[j].at)
	}
	return queue[i].number < queue[j].number
}
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }
func (queue *eventQueue) Push(x any)   { *queue = append(*queue, x.(event)) }
func (queue *eventQueue) Pop() any {
	last := len(*queue) - 1
	popped := (*queue)[last]
	*queue = (*queue)[:last]
	return popped
}

func newSimulation(seed uint64, options options) *simulation {
	simulation := &simulation{
		options: options, random: rand.New(rand.NewPCG(seed, 1)), now: start,
		stored:  map[lwtquarantine.Key]lwtquarantine.Entry{},
		crashes: map[cause][]time.Time{}, sent: map[cause][]time.Time{},
	}
	for i := range options.daemons {
		partition := 0
		if options.partitions > 1 {
			partition = i % options.partitions
		}
		simulation.daemons = append(simulation.daemons, &simulatedDaemon{name: fmt.Sprint("d", i), partition: partition})
	}
	simulation.restartDaemons()
	for i := range options.engines {
		simulation.engines = append(simulation.engines, &simulatedEngine{
			id: fmt.Sprint("e", i), inFlight: map[string]*simulatedRequest{},
		})
	}
	return simulation
}

// restartDaemons starts all daemons with what the store holds.
func (simulation *simulation) restartDaemons() {
	names := make([]string, 0, len(simulation.daemons))
	for _, daemon := range simulation.daemons {
		names = append(names, daemon.name)
	}
	for _, daemon := range simulation.daemons {
		daemon.quarantine = lwtquarantine.New(daemon.name)
		daemon.quarantine.SetDaemons(names)
		for _, entry := range simulation.stored {
			daemon.quarantine.ObserveEntry(simulation.now, entry)
		}
	}
}

func (simulation *simulation) after(delay time.Duration, act func()) {
	heap.Push(&simulation.events, event{at: simulation.now.Add(delay), number: simulation.random.Int(), act: act})
}

func (simulation *simulation) run() {
	number := 0
	var arrive func()
	arrive = func() {
		if simulation.now.Sub(start) >= duration {
			return
		}
		number++
		simulation.arrive(number)
		simulation.after(time.Duration(simulation.random.ExpFloat64()*float64(time.Second)/float64(simulation.options.perSecond)), arrive)
	}
	simulation.after(0, arrive)
	if simulation.options.restartAt > 0 {
		simulation.after(simulation.options.restartAt, simulation.restartDaemons)
	}
	if every := simulation.options.outageEvery; every > 0 {
		var fail func()
		fail = func() {
			if simulation.now.Sub(start) >= duration {
				return
			}
			first := simulation.random.IntN(len(simulation.engines))
			for i := range max(simulation.options.rack, 1) {
				simulation.crash(simulation.engines[(first+i)%len(simulation.engines)], otherCause)
			}
			simulation.after(every/2+time.Duration(simulation.random.Int64N(int64(every))), fail)
		}
		simulation.after(every, fail)
	}
	for len(simulation.events) > 0 && simulation.now.Sub(start) < duration+settleTime {
		next := heap.Pop(&simulation.events).(event)
		simulation.now = next.at
		next.act()
	}
}

// arrive is the arrival of a request at a random daemon.
func (simulation *simulation) arrive(number int) {
	daemon := simulation.daemons[simulation.random.IntN(len(simulation.daemons))]
	id := fmt.Sprint("r", number)
	request := &simulatedRequest{
		Request: lwtroutetable.Request{ID: id, Fingerprint: "f-" + id}, daemon: daemon, sentAt: simulation.now,
		retries: simulation.options.retries,
	}
	segments := []string{"common", fmt.Sprint("subject", simulation.random.IntN(20))}
	begun := simulation.now.Sub(start) >= warmUp
	switch {
	case begun && simulation.random.Float64() < simulation.options.deadlyRequestShare:
		request.crashes, request.Fingerprint = requestCause, deadlyRequest
		segments[1] = "subject0"
	case (begun || simulation.options.knownBefore) && simulation.random.Float64() < simulation.options.deadlyShare:
		if begun {
			request.crashes = segmentCause
		}
		segments = append(segments, deadly)
	case simulation.random.Float64() < simulation.options.hotShare:
		request.Fingerprint = fmt.Sprint("hot", simulation.random.IntN(5))
	}
	if simulation.options.plain {
		segments = nil
	}
	for _, segment := range append(segments, "own-"+id) {
		request.Segments = append(request.Segments, lwtroutetable.PromptSegment{ID: segment, Tokens: 100})
	}
	if request.crashes == none {
		simulation.sound = append(simulation.sound, request)
	}
	if !simulation.submit(request) && request.crashes == none {
		simulation.blocked++
	}
}

// submit sends a request to a random engine that is up, unless it is kept away from all.
func (simulation *simulation) submit(request *simulatedRequest) (admitted bool) {
	entry, admitted := request.daemon.quarantine.Admit(simulation.now, service, request.Request)
	if !admitted {
		return false
	}
	if entry != (lwtquarantine.Entry{}) {
		// A probe is not retried.
		request.retries = 0
	}
	var up []*simulatedEngine
	for _, engine := range simulation.engines {
		if !simulation.now.Before(engine.upAt) {
			up = append(up, engine)
		}
	}
	if len(up) == 0 {
		return true
	}
	engine := up[simulation.random.IntN(len(up))]
	if request.crashes != none {
		simulation.sent[request.crashes] = append(simulation.sent[request.crashes], simulation.now)
	}
	engine.inFlight[request.ID] = request
	simulation.after(startDelay, func() {
		if engine.inFlight[request.ID] != request {
			return
		}
		if request.crashes != none {
			simulation.crash(engine, request.crashes)
			return
		}
		simulation.after(answerDelay, func() {
			if engine.inFlight[request.ID] != request {
				return
			}
			delete(engine.inFlight, request.ID)
			request.answered = true
			lifted := request.daemon.quarantine.RecordAnswer(simulation.now, request.sentAt, service, request.Request)
			simulation.publish(request.daemon, lifted)
		})
	})
	return true
}

// crash crashes an engine. Each daemon with requests in flight there sees it, and sends them to
// another one: at once, or if they may have crashed one before, when the crash is confirmed.
func (simulation *simulation) crash(engine *simulatedEngine, cause cause) {
	if simulation.now.Before(engine.upAt) {
		return
	}
	simulation.crashes[cause] = append(simulation.crashes[cause], simulation.now)
	lost := map[*simulatedDaemon][]lwtroutetable.Request{}
	var broken []*simulatedRequest
	for _, id := range slices.Sorted(maps.Keys(engine.inFlight)) {
		request := engine.inFlight[id]
		lost[request.daemon] = append(lost[request.daemon], request.Request)
		broken = append(broken, request)
	}
	crashedAt := simulation.now
	for _, daemon := range simulation.daemons {
		if requests := lost[daemon]; len(requests) > 0 {
			simulation.after(confirmDelay, func() { simulation.report(daemon, engine.id, crashedAt, requests) })
		}
	}
	engine.inFlight = map[string]*simulatedRequest{}
	engine.upAt = simulation.now.Add(downtime)
	for _, request := range broken {
		if request.retries--; request.retries < 0 {
			continue
		}
		delay := time.Millisecond
		if request.daemon.quarantine.Suspected(service, request.Request) {
			delay += confirmDelay
		}
		simulation.after(delay, func() { simulation.submit(request) })
	}
}

func (simulation *simulation) report(
	daemon *simulatedDaemon, serverID string, at time.Time, requests []lwtroutetable.Request,
) {
	crash := lwtquarantine.Crash{Service: service, ServerID: serverID, At: at}
	report, quarantined := daemon.quarantine.RecordCrash(simulation.now, crash, requests)
	simulation.broadcast(daemon, func(other *simulatedDaemon) { other.quarantine.ObserveCrash(simulation.now, report) })
	simulation.publish(daemon, quarantined)
}

// publish informs the other daemons of entries, through the store those of other partitions.
func (simulation *simulation) publish(daemon *simulatedDaemon, entries []lwtquarantine.Entry) {
	for _, entry := range entries {
		simulation.broadcast(daemon, func(other *simulatedDaemon) { simulation.observe(other, entry) })
		simulation.after(10*time.Millisecond, func() { simulation.store(entry) })
	}
}

func (simulation *simulation) store(entry lwtquarantine.Entry) {
	if previous, found := simulation.stored[entry.Key]; found &&
		(previous.Revision > entry.Revision || previous.Revision == entry.Revision && previous.Lifted) {
		return
	}
	simulation.stored[entry.Key] = entry
	for _, daemon := range simulation.daemons {
		simulation.after(10*time.Millisecond, func() { simulation.observe(daemon, entry) })
	}
}

func (simulation *simulation) observe(daemon *simulatedDaemon, entry lwtquarantine.Entry) {
	if _, refuted := daemon.quarantine.ObserveEntry(simulation.now, entry); refuted != nil {
		simulation.publish(daemon, []lwtquarantine.Entry{*refuted})
	}
}

// broadcast delivers a message to the other daemons of the partition, or loses it.
func (simulation *simulation) broadcast(from *simulatedDaemon, deliver func(*simulatedDaemon)) {
	for _, other := range simulation.daemons {
		if other == from || other.partition != from.partition || simulation.random.Float64() < simulation.options.lostMessages {
			continue
		}
		delay := 3*time.Millisecond + time.Duration(simulation.random.Int64N(int64(40*time.Millisecond)))
		simulation.after(delay, func() { deliver(other) })
	}
}

// quarantinedSound returns how many daemons hold what is sound in quarantine.
func (simulation *simulation) quarantinedSound() map[string]int {
	held := map[string]int{}
	for _, daemon := range simulation.daemons {
		for _, entry := range daemon.quarantine.Entries(simulation.now) {
			// Unlike segments and hot requests, single requests do not come again.
			single := strings.HasPrefix(entry.ID, "f-")
			if !entry.Lifted && entry.ID != deadly && entry.ID != deadlyRequest && !single {
				held[entry.ID]++
			}
		}
	}
	return held
}

// TestDeadlySegmentStopsReachingEngines guards against daemons that go on sending requests which crash engines, or keep sound ones away.
func TestDeadlySegmentStopsReachingEngines(t *testing.T) {
	base := options{daemons: 4, engines: 8, perSecond: 160, deadlyShare: 0.05}
	for name, change := range map[string]func(*options){
		"one daemon":           func(options *options) { options.daemons = 1 },
		"4 daemons":            func(*options) {},
		"31 daemons":           func(options *options) { options.daemons, options.engines, options.perSecond = 31, 48, 800 },
		"117 daemons":          func(options *options) { options.daemons, options.engines, options.perSecond = 117, 97, 1200 },
		"370 daemons":          func(options *options) { options.daemons, options.engines, options.perSecond = 370, 600, 4600 },
		"rare":                 func(options *options) { options.deadlyShare = 0.003 },
		"frequent":             func(options *options) { options.deadlyShare = 0.4 },
		"sound before":         func(options *options) { options.knownBefore = true },
		"lost messages":        func(options *options) { options.daemons, options.lostMessages = 31, 0.2 },
		"partitioned daemons":  func(options *options) { options.daemons, options.partitions = 4, 4 },
		"all daemons restart":  func(options *options) { options.restartAt = warmUp + 6*time.Second },
		"restart at the start": func(options *options) { options.restartAt = warmUp + 150*time.Millisecond },
		"other crashes":        func(options *options) { options.outageEvery, options.rack = 2*time.Second, 2 },
		"other crashes only": func(options *options) {
			options.deadlyShare, options.outageEvery, options.rack = 0, 2*time.Second, 3
		},
		"most engines crash": func(options *options) { options.deadlyShare, options.outageEvery = 0, 500*time.Millisecond },
		"most engines of many crash": func(options *options) {
			options.daemons, options.engines, options.perSecond = 31, 48, 800
			options.deadlyShare, options.outageEvery, options.rack = 0, 500*time.Millisecond, 6
		},
		"retries": func(options *options) { options.retries = 2 },
		"sound before, retries": func(options *options) {
			options.knownBefore, options.deadlyShare, options.retries = true, 0.01, 1
		},
		"request": func(options *options) { options.deadlyShare, options.deadlyRequestShare = 0, 0.03 },
		"request, one daemon": func(options *options) {
			options.daemons, options.deadlyShare, options.deadlyRequestShare = 1, 0, 0.03
		},
		"request, rare":     func(options *options) { options.deadlyShare, options.deadlyRequestShare = 0, 0.002 },
		"request, frequent": func(options *options) { options.deadlyShare, options.deadlyRequestShare = 0, 0.4 },
		"request, retries": func(options *options) {
			options.deadlyShare, options.deadlyRequestShare, options.retries = 0, 0.03, 2
		},
		"request, 117 daemons": func(options *options) {
			options.daemons, options.engines, options.perSecond = 117, 97, 1200
			options.deadlyShare, options.deadlyRequestShare, options.retries = 0, 0.03, 1
		},
		"request, 370 daemons": func(options *options) {
			options.daemons, options.engines, options.perSecond = 370, 600, 4600
			options.deadlyShare, options.deadlyRequestShare, options.retries = 0, 0.01, 1
		},
		"request, lost messages": func(options *options) {
			options.daemons, options.lostMessages = 31, 0.2
			options.deadlyShare, options.deadlyRequestShare = 0, 0.03
		},
		"request, partitioned daemons": func(options *options) {
			options.partitions, options.deadlyShare, options.deadlyRequestShare = 4, 0, 0.03
		},
		"request, all daemons restart": func(options *options) {
			options.restartAt, options.deadlyShare, options.deadlyRequestShare = warmUp+6*time.Second, 0, 0.03
		},
		"request, other crashes": func(options *options) {
			options.outageEvery, options.rack = 2*time.Second, 2
			options.deadlyShare, options.deadlyRequestShare, options.retries = 0, 0.03, 1
		},
		"plain request": func(options *options) {
			options.plain, options.engines, options.retries, options.hotShare = true, 6, 1, 0.2
			options.deadlyShare, options.deadlyRequestShare = 0, 0.03
		},
		"plain requests, other crashes only": func(options *options) {
			options.plain, options.retries, options.hotShare = true, 1, 0.2
			options.deadlyShare, options.outageEvery, options.rack = 0, time.Second, 2
		},
		"request and segment": func(options *options) { options.deadlyRequestShare = 0.03 },
		"request and segment, retries": func(options *options) {
			options.deadlyRequestShare, options.retries = 0.03, 1
		},
		"request and segment, 31 daemons, other crashes": func(options *options) {
			options.daemons, options.engines, options.perSecond = 31, 48, 800
			options.deadlyRequestShare, options.retries = 0.03, 1
			options.outageEvery, options.rack = 2*time.Second, 2
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			options := base
			change(&options)
			seeds := uint64(10)
			if options.daemons > 100 {
				seeds = 2
			}
			for seed := range seeds {
				simulation := newSimulation(seed, options)
				simulation.run()
				simulation.check(t, seed)
			}
		})
	}
}

// tolerated holds the number of crashes by each cause after which contactTime begins.
var tolerated = map[cause]int{segmentCause: toleratedCrashes, requestCause: toleratedRequestCrashes}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// minAnswered is the least share of the sound requests that must be answered, of those that are sent
// later than twice contactTime after the crash that counts for maxLate.
const minAnswered = 0.95

func (simulation *simulation) answeredRatio() float64 {
	from := start
	for cause, tolerated := range tolerated {
		if crashes := simulation.crashes[cause]; len(crashes) > 0 {
			from = maxTime(from, crashes[min(len(crashes), tolerated)-1].Add(2*contactTime))
		}
	}
	sent, answered := 0, 0
	for _, request := range simulation.sound {
		// The last ones are still on their way.
		if request.sentAt.After(from) && request.sentAt.Before(simulation.now.Add(-time.Second)) {
			sent++
			if request.answered {
				answered++
			}
		}
	}
	return float64(answered) / float64(max(sent, 1))
}

// maxBlocked is the largest share of the sound requests that may be kept away from the engines.
const maxBlocked = 0.01

func (simulation *simulation) check(t *testing.T, seed uint64) {
	t.Helper()
	for cause, tolerated := range tolerated {
		late, crashes := 0, simulation.crashes[cause]
		for _, sent := range simulation.sent[cause] {
			if len(crashes) >= tolerated && sent.Sub(crashes[tolerated-1]) > contactTime {
				late++
			}
		}
		if late > maxLate {
			t.Errorf("seed %d: %d requests sent later than %s after crash %d, want at most %d; %d crashes",
				seed, late, contactTime, tolerated, maxLate, len(crashes))
		}
		if testing.Verbose() && len(crashes) > 0 {
			t.Logf("seed %d, cause %d: %d crashes, %d sent, %d late", seed, cause, len(crashes), len(simulation.sent[cause]), late)
		}
	}
	if float64(simulation.blocked) > maxBlocked*float64(len(simulation.sound)) {
		t.Errorf("seed %d: %d of %d sound requests are kept away; in quarantine %v",
			seed, simulation.blocked, len(simulation.sound), simulation.quarantinedSound())
	}
	if held := simulation.quarantinedSound(); len(held) > 0 {
		t.Errorf("seed %d: sound ones in quarantine at the end, with the number of daemons: %v", seed, held)
	}
	if ratio := simulation.answeredRatio(); ratio < minAnswered {
		t.Errorf("seed %d: %.3f of the sound requests are answered, want at least %g", seed, ratio, minAnswered)
	}
	if testing.Verbose() {
		t.Logf("seed %d: %.3f answered, %d kept away", seed, simulation.answeredRatio(), simulation.blocked)
	}
}

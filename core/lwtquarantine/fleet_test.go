package lwtquarantine_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lacewingtide/core/lwtquarantine"
	"lacewingtide/core/lwtroutetable"
)

const (
	service = "engines"
	// deadly is the segment that crashes the engines.
	deadly = "deadly"
	// warmUp is the time before requests with deadly are sent, and duration the whole time.
	warmUp   = 2 * time.Second
	duration = 30 * time.Second
	// toleratedCrashes is the number of crashes after which, contactTime later, at most maxLate
	// requests with deadly may be sent.
	toleratedCrashes = 5
	contactTime      = 3 * time.Second
	maxLate          = 3
	downtime         = 3 * time.Second
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
	crashes []time.Time
	// sent holds when requests with deadly were sent to an engine.
	sent []time.Time
	// sound holds the sound requests.
	sound []*simulatedRequest
	// blocked counts the sound requests that were kept away from the engines.
	blocked int
}

type options struct {
	daemons, engines int
	// perSecond is the number of requests of all callers.
	perSecond int
	// deadlyShare is the share of the requests that have deadly.
	deadlyShare float64
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
	// deadly says that the request crashes the engine, answered that it was answered.
	deadly, answered bool
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
		stored: map[lwtquarantine.Key]lwtquarantine.Entry{},
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
			first := simulation.random.IntN(len(simulation.engines))
			for i := range max(simulation.options.rack, 1) {
				simulation.crash(simulation.engines[(first+i)%len(simulation.engines)])
			}
			simulation.after(every/2+time.Duration(simulation.random.Int64N(int64(every))), fail)
		}
		simulation.after(every, fail)
	}
	for simulation.now.Sub(start) < duration {
		next := heap.Pop(&simulation.events).(event)
		simulation.now = next.at
		next.act()
	}
}

// arrive is the arrival of a request at a random daemon.
func (simulation *simulation) arrive(number int) {
	daemon := simulation.daemons[simulation.random.IntN(len(simulation.daemons))]
	id := fmt.Sprint("r", number)
	subject := fmt.Sprint("subject", simulation.random.IntN(20))
	request := &simulatedRequest{Request: lwtroutetable.Request{ID: id}, daemon: daemon, sentAt: simulation.now}
	segments := []string{"common", subject}
	begun := simulation.now.Sub(start) >= warmUp
	if (begun || simulation.options.knownBefore) && simulation.random.Float64() < simulation.options.deadlyShare {
		request.deadly = begun
		segments = append(segments, deadly)
	}
	for _, segment := range append(segments, "own-"+id) {
		request.Segments = append(request.Segments, lwtroutetable.PromptSegment{ID: segment, Tokens: 100})
	}
	if !request.deadly {
		simulation.sound = append(simulation.sound, request)
	}
	if _, admitted := daemon.quarantine.Admit(simulation.now, service, request.Request); !admitted {
		if !request.deadly {
			simulation.blocked++
		}
		return
	}
	simulation.send(request)
}

// send sends a request to a random engine that is up.
func (simulation *simulation) send(request *simulatedRequest) {
	var up []*simulatedEngine
	for _, engine := range simulation.engines {
		if !simulation.now.Before(engine.upAt) {
			up = append(up, engine)
		}
	}
	if len(up) == 0 {
		return
	}
	engine := up[simulation.random.IntN(len(up))]
	if request.deadly {
		simulation.sent = append(simulation.sent, simulation.now)
	}
	engine.inFlight[request.ID] = request
	simulation.after(startDelay, func() {
		if engine.inFlight[request.ID] != request {
			return
		}
		if request.deadly {
			simulation.crash(engine)
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
}

// crash crashes an engine. Each daemon with requests in flight there sees it.
func (simulation *simulation) crash(engine *simulatedEngine) {
	if simulation.now.Before(engine.upAt) {
		return
	}
	simulation.crashes = append(simulation.crashes, simulation.now)
	lost := map[*simulatedDaemon][]lwtroutetable.Request{}
	for _, request := range engine.inFlight {
		lost[request.daemon] = append(lost[request.daemon], request.Request)
	}
	crashedAt := simulation.now
	for _, daemon := range simulation.daemons {
		if requests := lost[daemon]; len(requests) > 0 {
			simulation.after(confirmDelay, func() { simulation.report(daemon, engine.id, crashedAt, requests) })
		}
	}
	engine.inFlight = map[string]*simulatedRequest{}
	engine.upAt = simulation.now.Add(downtime)
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

// quarantinedSound returns how many daemons hold which sound segments in quarantine.
func (simulation *simulation) quarantinedSound() map[string]int {
	held := map[string]int{}
	for _, daemon := range simulation.daemons {
		for _, entry := range daemon.quarantine.Entries(simulation.now) {
			if !entry.Lifted && entry.Segment != deadly {
				held[entry.Segment]++
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

// minAnswered is the least share of the sound requests that must be answered, of those that are sent
// later than twice contactTime after the crash that counts for maxLate.
const minAnswered = 0.95

func (simulation *simulation) answeredRatio() float64 {
	from := start
	if len(simulation.crashes) > 0 && simulation.options.deadlyShare > 0 {
		from = simulation.crashes[min(len(simulation.crashes), toleratedCrashes)-1].Add(2 * contactTime)
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
	late := 0
	if len(simulation.crashes) >= toleratedCrashes {
		for _, sent := range simulation.sent {
			if sent.Sub(simulation.crashes[toleratedCrashes-1]) > contactTime {
				late++
			}
		}
	}
	if late > maxLate {
		t.Errorf("seed %d: %d requests sent later than %s after crash %d, want at most %d; %d crashes",
			seed, late, contactTime, toleratedCrashes, maxLate, len(simulation.crashes))
	}
	if float64(simulation.blocked) > maxBlocked*float64(len(simulation.sound)) {
		t.Errorf("seed %d: %d of %d sound requests are kept away; in quarantine %v",
			seed, simulation.blocked, len(simulation.sound), simulation.quarantinedSound())
	}
	if held := simulation.quarantinedSound(); len(held) > 0 {
		t.Errorf("seed %d: sound segments in quarantine at the end, with the number of daemons: %v", seed, held)
	}
	if ratio := simulation.answeredRatio(); ratio < minAnswered {
		t.Errorf("seed %d: %.3f of the sound requests are answered, want at least %g", seed, ratio, minAnswered)
	}
	if testing.Verbose() {
		t.Logf("seed %d: %d crashes, %d sent, %d late, %.3f answered, %d kept away", seed, len(simulation.crashes),
			len(simulation.sent), late, simulation.answeredRatio(), simulation.blocked)
	}
}

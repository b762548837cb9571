// Package lwtservingsim measures goodput through mix shifts: models of engines in
// virtual time are driven by the same routing, admission and planning code
// that daemons run, through several daemons with lagging reports.
package lwtservingsim

import (
	"math/rand/v2"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtroleplanner"
	"lacewingtide/core/lwtscorerouter"
)

// Experiment is one comparison of policies on the same arrivals.
type Experiment struct {
	Deployment Deployment
	Seed       uint64
	// Load is a multiple of the fleet's capacity.
	Load     float64
	Duration time.Duration
	// Failures happen besides the load.
	Failures []Failure
}

// DefaultDuration is the virtual time of one run.
const DefaultDuration = 12 * time.Minute

// tailTime is the virtual time after the last arrival for running answers.
const tailTime = 2 * time.Minute

const maxAttempts = 3

// run is the run of one policy.
type run struct {
	time       timeline
	experiment Experiment
	policy     Policy
	state      lwtdeclaredstate.State
	engines    []*engine
	byName     map[string]*engine
	daemons    []*daemon
	arrivals   []Arrival
	jobs       []job
	random     *rand.Rand
	end        int64
	tally      tally
	changedAt  map[string]time.Time
	past       []lwtroleplanner.Demand
}

// Run runs one policy on arrivals and returns what became of them.
func Run(experiment Experiment, policy Policy, arrivals []Arrival) Result {
	run := newRun(experiment, policy, arrivals)
	run.play()
	return run.result()
}

func (run *run) play() {
	for i := range run.jobs {
		j := &run.jobs[i]
		run.time.add(j.arrival.At, func(now int64) { run.arrive(now, j) })
	}
	run.every(0, int64(reportInterval), run.takeSnapshots)
	if run.policy.Baseline == "" {
		run.every(0, int64(idlePoll), run.poll)
		run.startPlanner()
	}
	for _, failure := range run.experiment.Failures {
		run.startFailure(failure)
	}
	run.time.run(run.end + int64(tailTime))
}

func newRun(experiment Experiment, policy Policy, arrivals []Arrival) *run {
	state := experiment.Deployment.State()
	run := &run{
		experiment: experiment, policy: policy, state: state, arrivals: arrivals, byName: map[string]*engine{},
		random: rand.New(rand.NewPCG(experiment.Seed, 2)), end: int64(experiment.Duration), tally: newTally(),
		jobs: make([]job, len(arrivals)), changedAt: map[string]time.Time{},
	}
	for _, name := range state.EnginesServing(model) {
		engine := newEngine(state.Engines[name], lwtscorerouter.DefaultCostModel())
		run.engines = append(run.engines, engine)
		run.byName[name] = engine
	}
	for i := range daemonCount {
		if policy.Clairvoyant && i > 0 {
			run.daemons = append(run.daemons, run.daemons[0])
			continue
		}
		random := rand.New(rand.NewPCG(experiment.Seed, uint64(10+i)))
		run.daemons = append(run.daemons, newDaemon(i, state, policy, random))
	}
	for i := range arrivals {
		run.jobs[i] = job{
			arrival: &arrivals[i], daemon: arrivals[i].Daemon, priority: arrivals[i].Class.Priority(),
		}
	}
	return run
}

func at(now int64) time.Time { return time.Unix(0, now) }

// every repeats work from a start until the run ends.
func (run *run) every(start, interval int64, work func(now int64)) {
	var again func(now int64)
	again = func(now int64) {
		work(now)
		if now+interval <= run.end+int64(tailTime) {
			run.time.add(now+interval, again)
		}
	}
	run.time.add(start, again)
}

func (run *run) arrive(now int64, j *job) {
	for run.daemons[j.daemon].down {
		j.daemon = (j.daemon + 1) % daemonCount
	}
	daemon := run.daemons[j.daemon]
	output := j.arrival.OutputTokens
	if !run.policy.Clairvoyant {
		output = daemon.lengths.Expected(j.arrival.Class, defaultOutput)
	}
	j.request = lwtscorerouter.Request{
		Model: model, Class: j.arrival.Class, PromptTokens: j.arrival.PromptTokens, OutputTokens: output,
		PrefixHashes: j.arrival.PrefixHashes, AvailabilityZone: run.experiment.Deployment.AvailabilityZones[j.daemon%len(run.experiment.Deployment.AvailabilityZones)],
	}
	run.place(now, j)
}

// defaultOutput is the expected output before a class is known, in tokens.
const defaultOutput = 256

// place sends a request to the engines that the policy chooses.
func (run *run) place(now int64, j *job) {
	daemon := run.daemons[j.daemon]
	for ; j.attempts < maxAttempts; j.attempts++ {
		if !run.choose(now, daemon, j) {
			break
		}
		if j.engine.enqueue(j) {
			run.sent(now, daemon, j)
			return
		}
		daemon.router.View().WithDown(j.engine.name, at(now).Add(downTime))
	}
	if j.starts > 0 {
		j.cut = true
		return
	}
	j.rejected = true
}

// choose sets the engines of a request; false when it is not admitted.
func (run *run) choose(now int64, daemon *daemon, j *job) bool {
	if run.policy.Baseline != "" {
		return run.chooseSimple(daemon, j)
	}
	if run.policy.Clairvoyant {
		run.refresh(now, daemon)
	}
	if rejection := daemon.place(at(now), j); rejection != nil {
		return false
	}
	j.engine = run.byName[j.choice.Engine]
	j.decodeAt = j.engine
	if j.choice.Split() {
		j.decodeAt = run.byName[j.choice.DecodeEngine]
	}
	return true
}

func (run *run) chooseSimple(daemon *daemon, j *job) bool {
	available := func(engine *engine) bool { return !engine.down && !engine.declared.Draining }
	j.engine = daemon.count(run.policy.Baseline, run.engines, func(engine *engine) bool {
		return available(engine) && engine.role != lwtdeclaredstate.RoleDecode
	})
	if j.engine == nil {
		return false
	}
	j.decodeAt = j.engine
	if j.engine.role == lwtdeclaredstate.RolePrefill {
		j.decodeAt = daemon.count(run.policy.Baseline, run.engines, func(engine *engine) bool {
			return available(engine) && engine.role != lwtdeclaredstate.RolePrefill
		})
	}
	return j.decodeAt != nil
}

func (run *run) sent(now int64, daemon *daemon, j *job) {
	j.starts++
	j.sentAt = now
	daemon.outstanding[j.engine]++
	if j.decodeAt != j.engine {
		j.decodeAt.inbound++
		daemon.outstanding[j.decodeAt]++
	}
	run.wake(now, j.engine)
	if run.policy.Baseline == "" {
		engine := j.engine
		run.time.add(now+int64(answerDelay), func(int64) { run.deliver(daemon, engine) })
	}
}

// deliver hands an engine's last snapshot to a daemon.
func (run *run) deliver(daemon *daemon, engine *engine) {
	if !daemon.down && !engine.down {
		daemon.router.View().WithLoadReport(engine.name, engine.report)
	}
}

func (run *run) refresh(now int64, daemon *daemon) {
	for _, engine := range run.engines {
		if engine.down {
			daemon.router.View().WithDown(engine.name, at(now+1))
			continue
		}
		report := engine.snapshot()
		report.TakenAt = at(now)
		daemon.router.View().WithLoadReport(engine.name, report)
	}
}

func (run *run) takeSnapshots(now int64) {
	for _, engine := range run.engines {
		engine.report = engine.snapshot()
		engine.report.TakenAt = at(now)
	}
}

// poll reads load and cache events of all engines.
func (run *run) poll(int64) {
	for i, daemon := range run.daemons {
		if daemon.index != i || daemon.down {
			continue
		}
		for _, engine := range run.engines {
			run.deliver(daemon, engine)
			run.readCache(daemon, engine)
		}
	}
}

func (run *run) readCache(daemon *daemon, engine *engine) {
	cursor := daemon.read[engine]
	if cursor.incarnation != engine.incarnation {
		cursor = cacheCursor{incarnation: engine.incarnation}
	}
	events := engine.cache.after(cursor.sequence)
	if len(events) == 0 || engine.down {
		return
	}
	cursor.sequence = events[len(events)-1].Sequence
	daemon.read[engine] = cursor
	if run.random.Float64() < gapShare {
		events = events[len(events)/2:]
	}
	daemon.router.View().WithCacheEvents(engine.name, events)
}

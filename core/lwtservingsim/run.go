// Package lwtservingsim is a discrete-event simulation that measures goodput while
// the request mix shifts. Simulated engines are driven by the routing, admission
// and planning code of the daemons, with several daemons whose load reports lag.
package lwtservingsim

import (
	"math/rand/v2"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtroleplanner"
	"lacewingtide/core/lwtscorerouter"
)

// Experiment holds the settings of a run. Policies are compared on the same
// experiment and arrivals.
type Experiment struct {
	Deployment Deployment
	Seed       uint64
	// Load is a multiple of the fleet's capacity.
	Load     float64
	Duration time.Duration
	// Failures are injected during the run.
	Failures []Failure
}

// DefaultDuration is the virtual time of one run.
const DefaultDuration = 12 * time.Minute

// tailDuration is the virtual time after the last arrival in which requests finish.
const tailDuration = 2 * time.Minute

const maxAttempts = 3

// run is one simulated run of a policy.
type run struct {
	timeline      timeline
	experiment    Experiment
	policy        Policy
	declaredState lwtdeclaredstate.State
	engines       []*engine
	engineByName  map[string]*engine
	daemons       []*daemon
	arrivals      []Arrival
	jobs          []job
	random        *rand.Rand
	end           int64
	tally         tally
	roleChangedAt map[string]time.Time
	pastDemand    []lwtroleplanner.Demand
}

// Run simulates one policy on the given arrivals and returns the outcomes.
func Run(experiment Experiment, policy Policy, arrivals []Arrival) Result {
	run := newRun(experiment, policy, arrivals)
	run.execute()
	return run.result()
}

func (run *run) execute() {
	for i := range run.jobs {
		job := &run.jobs[i]
		run.timeline.schedule(job.arrival.At, func(now int64) { run.arrive(now, job) })
	}
	run.scheduleEvery(0, int64(reportInterval), run.takeSnapshots)
	if run.policy.Baseline == "" {
		run.scheduleEvery(0, int64(pollInterval), run.pollEngines)
		run.startPlanners()
	}
	for _, failure := range run.experiment.Failures {
		run.scheduleFailure(failure)
	}
	run.timeline.runUntil(run.end + int64(tailDuration))
}

func newRun(experiment Experiment, policy Policy, arrivals []Arrival) *run {
	state := experiment.Deployment.State()
	run := &run{
		experiment: experiment, policy: policy, declaredState: state, arrivals: arrivals, engineByName: map[string]*engine{},
		random: rand.New(rand.NewPCG(experiment.Seed, 2)), end: int64(experiment.Duration), tally: newTally(),
		jobs: make([]job, len(arrivals)), roleChangedAt: map[string]time.Time{},
	}
	for _, name := range state.EnginesServing(modelName) {
		engine := newEngine(state.Engines[name], lwtscorerouter.DefaultCostModel())
		run.engines = append(run.engines, engine)
		run.engineByName[name] = engine
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
			arrival: &arrivals[i], daemonIndex: arrivals[i].Daemon, priority: arrivals[i].Class.Priority(),
		}
	}
	return run
}

func at(now int64) time.Time { return time.Unix(0, now) }

// scheduleEvery runs an action at a start time and then at every interval until the
// run ends.
func (run *run) scheduleEvery(start, interval int64, action func(now int64)) {
	var repeat func(now int64)
	repeat = func(now int64) {
		action(now)
		if now+interval <= run.end+int64(tailDuration) {
			run.timeline.schedule(now+interval, repeat)
		}
	}
	run.timeline.schedule(start, repeat)
}

func (run *run) arrive(now int64, job *job) {
	for run.daemons[job.daemonIndex].down {
		job.daemonIndex = (job.daemonIndex + 1) % daemonCount
	}
	daemon := run.daemons[job.daemonIndex]
	outputTokens := job.arrival.OutputTokens
	if !run.policy.Clairvoyant {
		outputTokens = daemon.lengthEstimator.Expected(job.arrival.Class, maxExpectedOutput)
	}
	job.request = lwtscorerouter.Request{
		Model: modelName, Class: job.arrival.Class, PromptTokens: job.arrival.PromptTokens, OutputTokens: outputTokens,
		PrefixHashes:     job.arrival.PrefixHashes,
		AvailabilityZone: run.experiment.Deployment.AvailabilityZones[job.daemonIndex%len(run.experiment.Deployment.AvailabilityZones)],
	}
	run.place(now, job)
}

// maxExpectedOutput limits the output length that daemons expect, in tokens.
const maxExpectedOutput = 256

// place sends a request to the engines that the policy chooses. It tries again when
// an engine refuses the connection, at most maxAttempts times in all.
func (run *run) place(now int64, job *job) {
	daemon := run.daemons[job.daemonIndex]
	for ; job.attempts < maxAttempts; job.attempts++ {
		if !run.choose(now, daemon, job) {
			break
		}
		if job.prefillEngine.enqueue(job) {
			run.recordSent(now, daemon, job)
			return
		}
		daemon.router.View().WithDown(job.prefillEngine.name, at(now).Add(connectBackoff))
	}
	if job.startCount > 0 {
		job.interrupted = true
		return
	}
	job.rejected = true
}

// choose sets the engines of a request. It returns false when the request is not
// admitted or no engine is available.
func (run *run) choose(now int64, daemon *daemon, job *job) bool {
	if run.policy.Baseline != "" {
		return run.chooseBaseline(daemon, job)
	}
	if run.policy.Clairvoyant {
		run.refreshView(now, daemon)
	}
	if rejection := daemon.place(at(now), job); rejection != nil {
		return false
	}
	job.prefillEngine = run.engineByName[job.choice.Engine]
	job.decodeEngine = job.prefillEngine
	if job.choice.Split() {
		job.decodeEngine = run.engineByName[job.choice.DecodeEngine]
	}
	return true
}

func (run *run) chooseBaseline(daemon *daemon, job *job) bool {
	available := func(engine *engine) bool { return !engine.down && !engine.declared.Draining }
	job.prefillEngine = daemon.placeByCount(run.policy.Baseline, run.engines, func(engine *engine) bool {
		return available(engine) && engine.role != lwtdeclaredstate.RoleDecode
	})
	if job.prefillEngine == nil {
		return false
	}
	job.decodeEngine = job.prefillEngine
	if job.prefillEngine.role == lwtdeclaredstate.RolePrefill {
		job.decodeEngine = daemon.placeByCount(run.policy.Baseline, run.engines, func(engine *engine) bool {
			return available(engine) && engine.role != lwtdeclaredstate.RolePrefill
		})
	}
	return job.decodeEngine != nil
}

func (run *run) recordSent(now int64, daemon *daemon, job *job) {
	job.startCount++
	job.sentAt = now
	daemon.outstanding[job.prefillEngine]++
	if job.decodeEngine != job.prefillEngine {
		job.decodeEngine.inboundTransfers++
		daemon.outstanding[job.decodeEngine]++
	}
	run.startStep(now, job.prefillEngine)
	if run.policy.Baseline == "" {
		engine := job.prefillEngine
		run.timeline.schedule(now+int64(reportDelay), func(int64) { run.deliverReport(daemon, engine) })
	}
}

// deliverReport applies an engine's last load snapshot to a daemon's view.
func (run *run) deliverReport(daemon *daemon, engine *engine) {
	if !daemon.down && !engine.down {
		daemon.router.View().WithLoadReport(engine.name, engine.lastReport)
	}
}

// refreshView gives the clairvoyant daemon the current state of all engines.
func (run *run) refreshView(now int64, daemon *daemon) {
	for _, engine := range run.engines {
		if engine.down {
			daemon.router.View().WithDown(engine.name, at(now+1))
			continue
		}
		report := engine.loadReport()
		report.TakenAt = at(now)
		daemon.router.View().WithLoadReport(engine.name, report)
	}
}

func (run *run) takeSnapshots(now int64) {
	for _, engine := range run.engines {
		engine.lastReport = engine.loadReport()
		engine.lastReport.TakenAt = at(now)
	}
}

// pollEngines lets each daemon read the load and the cache events of all engines.
func (run *run) pollEngines(int64) {
	for i, daemon := range run.daemons {
		if daemon.index != i || daemon.down {
			continue
		}
		for _, engine := range run.engines {
			run.deliverReport(daemon, engine)
			run.readCacheEvents(daemon, engine)
		}
	}
}

func (run *run) readCacheEvents(daemon *daemon, engine *engine) {
	cursor := daemon.cacheCursors[engine]
	if cursor.incarnation != engine.incarnation {
		cursor = cacheCursor{incarnation: engine.incarnation}
	}
	events := engine.cache.eventsAfter(cursor.sequence)
	if len(events) == 0 || engine.down {
		return
	}
	cursor.sequence = events[len(events)-1].Sequence
	daemon.cacheCursors[engine] = cursor
	if run.random.Float64() < eventGapFraction {
		events = events[len(events)/2:]
	}
	daemon.router.View().WithCacheEvents(engine.name, events)
}

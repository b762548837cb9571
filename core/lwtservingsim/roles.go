package lwtservingsim

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtroleplanner"
)

// startPlanner runs the planner of each group, staggered over the interval so
// that the groups see each other's changes.
func (run *run) startPlanner() {
	if run.policy.Clairvoyant {
		run.every(0, int64(foreseeInterval), run.foresee)
		return
	}
	if run.policy.NoPlanner {
		return
	}
	run.every(0, int64(planInterval), run.exchangeDemand)
	const groups = engineCount / groupSize
	for group := range groups {
		run.every(int64(planInterval)*int64(group)/groups, int64(planInterval), func(now int64) { run.plan(now, group) })
	}
}

// exchangeDemand tells each daemon's demand to the others.
func (run *run) exchangeDemand(now int64) {
	for _, daemon := range run.daemons {
		daemon.digest = lwtroleplanner.Demand{}
		if !daemon.down {
			daemon.digest = daemon.meter.Demand(at(now))
		}
	}
	if now%int64(sampleInterval) == 0 {
		run.past = append(run.past, run.demand())
		run.past = run.past[max(0, len(run.past)-pastSamples):]
	}
}

// Samples of the past demand that the planner goes by.
const (
	sampleInterval = 20 * time.Second
	pastSamples    = 18
)

func (run *run) demand() lwtroleplanner.Demand {
	var demand lwtroleplanner.Demand
	for _, daemon := range run.daemons {
		demand = demand.Add(daemon.digest)
	}
	return demand
}

func (run *run) plan(now int64, group int) {
	holder := run.daemons[group%daemonCount]
	if holder.down {
		holder = run.daemons[(group+1)%daemonCount]
	}
	view := lwtroleplanner.PlanInput{
		Demand: run.demand(), PastDemand: run.past, ThroughputFor: speedsFor, LongStreamTime: lwtroleplanner.LongStreamTime(holder.lengths.LongestMean()),
	}
	for i, status := range holder.router.View().EngineStatuses(at(now)) {
		view.Engines = append(view.Engines, lwtroleplanner.Engine{
			Name: status.Name, Role: status.Role, AllowedRoles: lwtroleplanner.AllowedRoles(status.Declared),
			TargetRole: run.byName[status.Name].target,
			InGroup:    i/groupSize == group, InService: status.InService,
			Running: status.Running, ReportedAt: status.ReportedAt, RoleChangedAt: run.changedAt[status.Name],
		})
	}
	for _, change := range lwtroleplanner.Plan(at(now), view, run.policy.Planner) {
		run.want(now, run.byName[change.Engine], change.Role)
	}
}

// Times of the clairvoyant policy.
const (
	foreseeInterval = 2 * time.Second
	foreseeAhead    = 10 * time.Second
	// worthwhile is the share of the best capacity from which roles are kept.
	worthwhile = 0.97
)

// foresee sets the best roles for the arrivals of the near future at once,
// without drain: running streams move to other engines at no cost.
func (run *run) foresee(now int64) {
	demand := run.coming(now)
	if demand.Requests == 0 {
		return
	}
	var current lwtroleplanner.RoleCounts
	total := 0
	for _, engine := range run.engines {
		if !engine.down && !engine.declared.Draining {
			total++
			*current.ForRole(engine.role)++
		}
	}
	wanted, best := bestCounts(demand, total)
	if lwtroleplanner.Capacity(current, demand, speedsFor(demand)) > worthwhile*best {
		return
	}
	for _, from := range []lwtdeclaredstate.Role{lwtdeclaredstate.RolePrefill, lwtdeclaredstate.RoleDecode, lwtdeclaredstate.RoleMixed} {
		for *current.ForRole(from) > *wanted.ForRole(from) {
			to := lwtdeclaredstate.RoleMixed
			for _, role := range []lwtdeclaredstate.Role{lwtdeclaredstate.RolePrefill, lwtdeclaredstate.RoleDecode, lwtdeclaredstate.RoleMixed} {
				if *current.ForRole(role) < *wanted.ForRole(role) {
					to = role
				}
			}
			run.convert(now, from, to)
			*current.ForRole(from)--
			*current.ForRole(to)++
		}
	}
}

// coming returns the demand per second of the arrivals of the near future,
// less what the caches saved of the demand so far.
func (run *run) coming(now int64) lwtroleplanner.Demand {
	var demand lwtroleplanner.Demand
	for i := run.firstAfter(now); i < len(run.arrivals) && run.arrivals[i].At < now+int64(foreseeAhead); i++ {
		arrival := &run.arrivals[i]
		cached := cachedShare * float64(len(arrival.PrefixHashes)*blockTokens)
		demand = demand.Add(lwtroleplanner.RequestDemand(float64(arrival.PromptTokens), cached, float64(arrival.OutputTokens)))
	}
	return demand.Scale(1 / foreseeAhead.Seconds())
}

// cachedShare is the share of cacheable blocks that the clairvoyant policy
// expects to find.
const cachedShare = 0.7

// bestCounts returns the roles of a number of engines that serve the largest
// multiple of a demand, and the multiple.
func bestCounts(demand lwtroleplanner.Demand, total int) (lwtroleplanner.RoleCounts, float64) {
	speeds := speedsFor(demand)
	var best lwtroleplanner.RoleCounts
	most := -1.0
	for prefill := 0; prefill <= total; prefill++ {
		for decode := 0; prefill+decode <= total; decode++ {
			counts := lwtroleplanner.RoleCounts{Prefill: prefill, Decode: decode, Mixed: total - prefill - decode}
			if capacity := lwtroleplanner.Capacity(counts, demand, speeds); capacity > most {
				best, most = counts, capacity
			}
		}
	}
	return best, most
}

// convert changes the role of the engine with the fewest streams.
func (run *run) convert(now int64, from, to lwtdeclaredstate.Role) {
	var chosen *engine
	for _, engine := range run.engines {
		if engine.role == from && !engine.down && !engine.declared.Draining &&
			(chosen == nil || len(engine.running) < len(chosen.running)) {
			chosen = engine
		}
	}
	chosen.role = to
	run.tally.changes++
	if to == lwtdeclaredstate.RolePrefill {
		run.moveStreams(now, chosen)
	}
	if to == lwtdeclaredstate.RoleDecode {
		run.moveQueues(now, chosen)
	}
}

func (run *run) moveStreams(now int64, from *engine) {
	for _, moved := range from.running {
		target := run.fewest(func(engine *engine) bool { return engine.role != lwtdeclaredstate.RolePrefill })
		from.memory -= moved.job.arrival.PromptTokens + moved.job.arrival.OutputTokens
		target.memory += moved.job.arrival.PromptTokens + moved.job.arrival.OutputTokens
		moved.job.decodeAt = target
		target.running.add(stream{moved.job, moved.lastStep - from.steps + target.steps})
		run.wake(now, target)
	}
	from.running = nil
}

func (run *run) moveQueues(now int64, from *engine) {
	for priority := range from.queues {
		for _, j := range from.queues[priority] {
			target := run.fewest(func(engine *engine) bool { return engine.role != lwtdeclaredstate.RoleDecode })
			if j.decodeAt == from {
				j.decodeAt = target
				if target.role == lwtdeclaredstate.RolePrefill {
					j.decodeAt = from
					from.inbound++
				}
			}
			target.queues[priority] = append(target.queues[priority], j)
			target.waiting[priority] += j.promptLeft
			run.wake(now, target)
		}
		from.queues[priority], from.waiting[priority] = nil, 0
	}
}

func (run *run) fewest(able func(*engine) bool) *engine {
	var best *engine
	for _, engine := range run.engines {
		if !engine.down && able(engine) && (best == nil ||
			len(engine.running)+engine.waitingRequests() < len(best.running)+best.waitingRequests()) {
			best = engine
		}
	}
	return best
}

func (run *run) firstAfter(now int64) int {
	low, high := 0, len(run.arrivals)
	for low < high {
		if middle := (low + high) / 2; run.arrivals[middle].At < now {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

package lwtservingsim

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtroleplanner"
)

// startPlanners schedules the planner of each group, staggered over the interval so
// that each group sees the changes of the others.
func (run *run) startPlanners() {
	if run.policy.Clairvoyant {
		run.scheduleEvery(0, int64(clairvoyantInterval), run.assignBestRoles)
		return
	}
	if run.policy.NoPlanner {
		return
	}
	run.scheduleEvery(0, int64(planInterval), run.exchangeDemand)
	const groups = engineCount / groupSize
	for group := range groups {
		run.scheduleEvery(int64(planInterval)*int64(group)/groups, int64(planInterval), func(now int64) {
			run.planGroup(now, group)
		})
	}
}

// exchangeDemand publishes each daemon's demand to the others and samples the past
// demand.
func (run *run) exchangeDemand(now int64) {
	for _, daemon := range run.daemons {
		daemon.publishedDemand = lwtroleplanner.Demand{}
		if !daemon.down {
			daemon.publishedDemand = daemon.demandMeter.Demand(at(now))
		}
	}
	if now%int64(demandSampleInterval) == 0 {
		run.pastDemand = append(run.pastDemand, run.fleetDemand())
		run.pastDemand = run.pastDemand[max(0, len(run.pastDemand)-maxDemandSamples):]
	}
}

// Samples of past demand for the planner.
const (
	demandSampleInterval = 20 * time.Second
	maxDemandSamples     = 18
)

func (run *run) fleetDemand() lwtroleplanner.Demand {
	var demand lwtroleplanner.Demand
	for _, daemon := range run.daemons {
		demand = demand.Add(daemon.publishedDemand)
	}
	return demand
}

func (run *run) planGroup(now int64, group int) {
	holder := run.daemons[group%daemonCount]
	if holder.down {
		holder = run.daemons[(group+1)%daemonCount]
	}
	input := lwtroleplanner.PlanInput{
		Demand: run.fleetDemand(), PastDemand: run.pastDemand, ThroughputFor: throughputFor,
		LongStreamTime: lwtroleplanner.LongStreamTime(holder.lengthEstimator.LongestMean()),
	}
	for i, status := range holder.router.View().EngineStatuses(at(now)) {
		input.Engines = append(input.Engines, lwtroleplanner.Engine{
			Name: status.Name, Role: status.Role, AllowedRoles: lwtroleplanner.AllowedRoles(status.Declared),
			TargetRole: run.engineByName[status.Name].targetRole,
			InGroup:    i/groupSize == group, InService: status.InService,
			Running: status.Running, ReportedAt: status.ReportedAt, RoleChangedAt: run.roleChangedAt[status.Name],
		})
	}
	for _, change := range lwtroleplanner.Plan(at(now), input, run.policy.Planner) {
		run.orderRoleChange(now, run.engineByName[change.Engine], change.Role)
	}
}

// Settings of the clairvoyant policy.
const (
	clairvoyantInterval  = 2 * time.Second
	clairvoyantLookahead = 10 * time.Second
	// minCapacityRatio is the fraction of the best capacity above which the current
	// roles are kept.
	minCapacityRatio = 0.97
)

// assignBestRoles changes roles instantly to the best ones for the arrivals of the
// near future. There is no drain: requests move to other engines at no cost.
func (run *run) assignBestRoles(now int64) {
	demand := run.upcomingDemand(now)
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
	wanted, bestCapacity := bestRoleCounts(demand, total)
	if lwtroleplanner.Capacity(current, demand, throughputFor(demand)) > minCapacityRatio*bestCapacity {
		return
	}
	for _, from := range []lwtdeclaredstate.Role{
		lwtdeclaredstate.RolePrefill, lwtdeclaredstate.RoleDecode, lwtdeclaredstate.RoleMixed,
	} {
		for *current.ForRole(from) > *wanted.ForRole(from) {
			to := lwtdeclaredstate.RoleMixed
			for _, role := range []lwtdeclaredstate.Role{
				lwtdeclaredstate.RolePrefill, lwtdeclaredstate.RoleDecode, lwtdeclaredstate.RoleMixed,
			} {
				if *current.ForRole(role) < *wanted.ForRole(role) {
					to = role
				}
			}
			run.changeRole(now, from, to)
			*current.ForRole(from)--
			*current.ForRole(to)++
		}
	}
}

// upcomingDemand returns the demand per second of the arrivals within
// clairvoyantLookahead, without the prompt tokens expected in prefix caches.
func (run *run) upcomingDemand(now int64) lwtroleplanner.Demand {
	var demand lwtroleplanner.Demand
	for i := run.firstArrivalFrom(now); i < len(run.arrivals) &&
		run.arrivals[i].At < now+int64(clairvoyantLookahead); i++ {
		arrival := &run.arrivals[i]
		cached := expectedCacheHitRate * float64(len(arrival.PrefixHashes)*blockTokens)
		demand = demand.Add(
			lwtroleplanner.RequestDemand(float64(arrival.PromptTokens), cached, float64(arrival.OutputTokens)),
		)
	}
	return demand.Scale(1 / clairvoyantLookahead.Seconds())
}

// expectedCacheHitRate is the fraction of prefix blocks that the clairvoyant policy
// expects to be cached.
const expectedCacheHitRate = 0.7

// bestRoleCounts returns the role counts with the highest capacity for a demand, and
// that capacity as a multiple of the demand.
func bestRoleCounts(demand lwtroleplanner.Demand, total int) (lwtroleplanner.RoleCounts, float64) {
	throughput := throughputFor(demand)
	var best lwtroleplanner.RoleCounts
	bestCapacity := -1.0
	for prefill := 0; prefill <= total; prefill++ {
		for decode := 0; prefill+decode <= total; decode++ {
			counts := lwtroleplanner.RoleCounts{Prefill: prefill, Decode: decode, Mixed: total - prefill - decode}
			if capacity := lwtroleplanner.Capacity(counts, demand, throughput); capacity > bestCapacity {
				best, bestCapacity = counts, capacity
			}
		}
	}
	return best, bestCapacity
}

// changeRole changes the role of the engine with the fewest streams, and moves the
// requests that it can no longer run.
func (run *run) changeRole(now int64, from, to lwtdeclaredstate.Role) {
	var chosen *engine
	for _, engine := range run.engines {
		if engine.role == from && !engine.down && !engine.declared.Draining &&
			(chosen == nil || len(engine.running) < len(chosen.running)) {
			chosen = engine
		}
	}
	chosen.role = to
	run.tally.roleChanges++
	if to == lwtdeclaredstate.RolePrefill {
		run.moveStreams(now, chosen)
	}
	if to == lwtdeclaredstate.RoleDecode {
		run.moveQueues(now, chosen)
	}
}

func (run *run) moveStreams(now int64, from *engine) {
	for _, moved := range from.running {
		target := run.leastLoaded(func(engine *engine) bool { return engine.role != lwtdeclaredstate.RolePrefill })
		from.reservedTokens -= moved.job.arrival.PromptTokens + moved.job.arrival.OutputTokens
		target.reservedTokens += moved.job.arrival.PromptTokens + moved.job.arrival.OutputTokens
		moved.job.decodeEngine = target
		target.running.add(stream{moved.job, moved.endStep - from.stepCount + target.stepCount})
		run.startStep(now, target)
	}
	from.running = nil
}

func (run *run) moveQueues(now int64, from *engine) {
	for priority := range from.queues {
		for _, job := range from.queues[priority] {
			target := run.leastLoaded(func(engine *engine) bool { return engine.role != lwtdeclaredstate.RoleDecode })
			if job.decodeEngine == from {
				job.decodeEngine = target
				if target.role == lwtdeclaredstate.RolePrefill {
					job.decodeEngine = from
					from.inboundTransfers++
				}
			}
			target.queues[priority] = append(target.queues[priority], job)
			target.waitingTokens[priority] += job.remainingPromptTokens
			run.startStep(now, target)
		}
		from.queues[priority], from.waitingTokens[priority] = nil, 0
	}
}

// leastLoaded returns the eligible engine with the fewest requests.
func (run *run) leastLoaded(eligible func(*engine) bool) *engine {
	var best *engine
	for _, engine := range run.engines {
		if !engine.down && eligible(engine) && (best == nil ||
			len(engine.running)+engine.waitingRequests() < len(best.running)+best.waitingRequests()) {
			best = engine
		}
	}
	return best
}

// firstArrivalFrom returns the index of the first arrival at or after a time.
func (run *run) firstArrivalFrom(now int64) int {
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

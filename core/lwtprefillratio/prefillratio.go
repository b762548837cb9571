// Package lwtprefillratio decides which engines prefill prompts and which decode.
//
// It is designed for a mix of long prompts (thousands of tokens) with responses of a few tokens
// and of chats with short prompts and responses of thousands, whose ratio changes every few
// seconds. Prefill is the bottleneck, so most engines prefill. A stage change takes an engine
// out of service for longer than a ratio lasts, so the stages do not follow it: the planner
// sets a fixed ratio at the start and restores it when engines join or leave.
package lwtprefillratio

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"lacewingtide/core/lwtdiscovery"
)

const (
	// stageChangeTimeout is how long a stage change without an effect stays pending. If its
	// response was lost, the engine may still carry it out several seconds later.
	stageChangeTimeout = 15 * time.Second
	// settleTime is how long an engine must be listed before its stage is changed, so that an
	// incomplete first read of the server list causes no changes.
	settleTime = 1500 * time.Millisecond
	// minDwell is the shortest time between two stage changes of one engine.
	minDwell = 5 * time.Second
	// maxChangingShare is the largest fraction of the engines that change at once while the
	// service has requests.
	maxChangingShare = 0.2
	// maxDecodeSurplus is the number of decode engines above the target that is tolerated while
	// the service has requests, because lost prefill engines may come back.
	maxDecodeSurplus = 1
	// minDecodeEngines is the least number of decode engines, so that one may fail.
	minDecodeEngines = 2
	// manyStreams is the number of streams of a software version from which it has a third decode engine
	// beside another version, if it has minEnginesForThird engines.
	manyStreams        = 8
	minEnginesForThird = 4
	// manyStreamsTime is how long a version counts as having many streams after it had.
	manyStreamsTime = 15 * time.Second
	// decodeSlotsPerEngine is the number of decode slots per engine of the fleet. Streams need
	// that many when the mix begins to shift towards them. Engines with more slots serve more
	// streams, so fewer of them have to decode.
	decodeSlotsPerEngine = 14
	// maxDecodeShare is the largest fraction of decode engines. Above it, the longer prefill
	// queues cost more than the streams gain.
	maxDecodeShare = 0.34
)

// StageChange changes the stage of one engine.
type StageChange struct {
	Server lwtdiscovery.Server
	Stage  lwtdiscovery.Stage
}

// Planner plans the stage changes of the engines of one service and tracks those that were
// sent. It is not safe for concurrent use.
type Planner struct {
	// firstSeen holds when an engine was first listed, by server id.
	firstSeen map[string]time.Time
	// pending holds the changes that were sent and have had no effect yet, by server id.
	pending map[string]pendingChange
	// changedAt holds when a change was last sent to an engine, by server id.
	changedAt map[string]time.Time
	// unreachable holds the ids of the engines that can't be reached now.
	unreachable map[string]bool
	// manyStreamsUntil holds, by software version, until when it counts as having many streams.
	manyStreamsUntil map[string]time.Time
}

type pendingChange struct {
	sentAt time.Time
	stage  lwtdiscovery.Stage
}

// New returns a planner that has sent no stage change.
func New() *Planner {
	return &Planner{
		firstSeen: map[string]time.Time{}, pending: map[string]pendingChange{}, changedAt: map[string]time.Time{},
		manyStreamsUntil: map[string]time.Time{},
	}
}

// Plan returns the stage changes to send now. Servers lists all engines of the service; busy
// says that they have requests in flight. There are no changes until all engines have been
// listed for settleTime, or most of them during a release, when new ones come all the time.
func (planner *Planner) Plan(now time.Time, servers []lwtdiscovery.Server, busy bool) []StageChange {
	planner.observe(now, servers)
	engines, settled := planner.plannedEngines(now, servers)
	versions, wantSettled := byVersion(engines), len(engines)
	if len(versions) > 1 {
		wantSettled = (len(engines) + 1) / 2
	}
	if len(engines) < minDecodeEngines+1 || settled < wantSettled {
		return nil
	}
	return planner.planChanges(now, engines, desiredDecodeEngines(engines), busy)
}

// SetUnreachable sets the ids of the engines that can't be reached now, though they are listed.
func (planner *Planner) SetUnreachable(ids map[string]bool) { planner.unreachable = ids }

// SetStreams sets the number of streams that the engines of each software version decode now.
func (planner *Planner) SetStreams(now time.Time, streams map[string]int) {
	for version, count := range streams {
		if count >= manyStreams {
			planner.manyStreamsUntil[version] = now.Add(manyStreamsTime)
		}
	}
	maps.DeleteFunc(planner.manyStreamsUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// RecordSent records that a stage change was sent to its engine.
func (planner *Planner) RecordSent(now time.Time, change StageChange) {
	planner.pending[change.Server.ID] = pendingChange{sentAt: now, stage: change.Stage}
	planner.changedAt[change.Server.ID] = now
}

// EnginesChangingStage returns the ids of the engines whose stage change is pending, sorted.
func (planner *Planner) EnginesChangingStage() []string {
	ids := make([]string, 0, len(planner.pending))
	for id := range planner.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// observe updates the planner from the listed servers: it removes pending changes that took
// effect or timed out, and the state of engines that are no longer listed.
func (planner *Planner) observe(now time.Time, servers []lwtdiscovery.Server) {
	listed := map[string]bool{}
	for _, server := range servers {
		listed[server.ID] = true
		if _, known := planner.firstSeen[server.ID]; !known {
			planner.firstSeen[server.ID] = now
		}
		change, isPending := planner.pending[server.ID]
		if isPending && (server.Stage == change.stage || now.Sub(change.sentAt) > stageChangeTimeout) {
			delete(planner.pending, server.ID)
		}
	}
	for id := range planner.firstSeen {
		if !listed[id] {
			delete(planner.firstSeen, id)
			delete(planner.pending, id)
			delete(planner.changedAt, id)
		}
	}
}

// plannedEngines returns the engines that have a stage and are not draining, and how many of them have
// been listed for settleTime.
func (planner *Planner) plannedEngines(
	now time.Time, servers []lwtdiscovery.Server,
) (engines []lwtdiscovery.Server, settled int) {
	for _, server := range servers {
		if server.Draining || server.Stage == lwtdiscovery.NoStage {
			continue
		}
		engines = append(engines, server)
		if planner.settled(now, server) {
			settled++
		}
	}
	return engines, settled
}

func (planner *Planner) settled(now time.Time, engine lwtdiscovery.Server) bool {
	return now.Sub(planner.firstSeen[engine.ID]) >= settleTime
}

// targetStage returns the stage that an engine is changing to, or else has.
func (planner *Planner) targetStage(engine lwtdiscovery.Server) lwtdiscovery.Stage {
	if change, isPending := planner.pending[engine.ID]; isPending {
		return change.stage
	}
	return engine.Stage
}

// desiredDecodeEngines returns how many of the engines should decode.
func desiredDecodeEngines(engines []lwtdiscovery.Server) int {
	slots, count := 0, float64(len(engines))
	for _, engine := range engines {
		slots += engine.Slots
	}
	share := maxDecodeShare
	if slots > 0 {
		share = min(decodeSlotsPerEngine*count/float64(slots), maxDecodeShare)
	}
	return min(max(int(math.Round(share*count)), minDecodeEngines), len(engines)-1)
}

// keptDecodeEngines returns how many of the engines of a software version decode at least while there are
// several versions: a stream can go on only at its version, also when an engine fails, or two at once if
// the version has many streams. At least one engine is left to prefill.
func (planner *Planner) keptDecodeEngines(version string, engines int) int {
	if _, many := planner.manyStreamsUntil[version]; many && engines >= minEnginesForThird {
		return minDecodeEngines + 1
	}
	return max(min(minDecodeEngines, engines-1), 0)
}

// planChanges returns the changes that lead to the desired number of decode engines, and to both
// stages within each software version.
func (planner *Planner) planChanges(
	now time.Time, engines []lwtdiscovery.Server, desired int, busy bool,
) (changes []StageChange) {
	for changing := len(planner.pending); changing < max(int(maxChangingShare*float64(len(engines))), 1) || !busy; changing++ {
		to := planner.missingStage(engines, changes, busy)
		if to.stage == lwtdiscovery.NoStage {
			to.stage = planner.stageToAdd(engines, changes, desired, busy)
		}
		if to.stage == lwtdiscovery.NoStage {
			return changes
		}
		engine, found := planner.chooseEngine(now, engines, changes, to)
		if !found {
			return changes
		}
		changes = append(changes, StageChange{Server: engine, Stage: to.stage})
	}
	return changes
}

// wantedStage is a stage that an engine is to change to, in any software version or in one.
type wantedStage struct {
	stage     lwtdiscovery.Stage
	version   string
	ofVersion bool
}

// stageToAdd returns the stage that too few engines have, or NoStage.
func (planner *Planner) stageToAdd(
	engines []lwtdiscovery.Server, changes []StageChange, desired int, busy bool,
) lwtdiscovery.Stage {
	difference := desired - planner.countStage(engines, changes, lwtdiscovery.Decode)
	switch {
	case difference > 0:
		return lwtdiscovery.Decode
	case difference == 0, busy && difference >= -maxDecodeSurplus:
		return lwtdiscovery.NoStage
	}
	return lwtdiscovery.Prefill
}

// missingStage returns a stage that too few engines of a software version have, if the version has
// several engines and is not the only one: a request is prefilled and decoded by engines of one version.
// While there are no requests, one decode engine is enough.
func (planner *Planner) missingStage(
	engines []lwtdiscovery.Server, changes []StageChange, busy bool,
) wantedStage {
	versions := byVersion(engines)
	if len(versions) < 2 {
		return wantedStage{}
	}
	for _, version := range slices.Sorted(maps.Keys(versions)) {
		ofVersion, wanted := versions[version], 1
		if busy {
			wanted = planner.keptDecodeEngines(version, len(ofVersion))
		}
		decode := planner.countStage(ofVersion, changes, lwtdiscovery.Decode)
		switch {
		case len(ofVersion) < 2:
		case decode == len(ofVersion):
			return wantedStage{stage: lwtdiscovery.Prefill, version: version, ofVersion: true}
		case decode < wanted,
			planner.countStage(planner.reachable(ofVersion), changes, lwtdiscovery.Decode) == 0:
			return wantedStage{stage: lwtdiscovery.Decode, version: version, ofVersion: true}
		}
	}
	return wantedStage{}
}

// reachable returns the engines that can be reached.
func (planner *Planner) reachable(engines []lwtdiscovery.Server) []lwtdiscovery.Server {
	return slices.DeleteFunc(slices.Clone(engines), func(engine lwtdiscovery.Server) bool {
		return planner.unreachable[engine.ID]
	})
}

func byVersion(engines []lwtdiscovery.Server) map[string][]lwtdiscovery.Server {
	versions := map[string][]lwtdiscovery.Server{}
	for _, engine := range engines {
		versions[engine.Version] = append(versions[engine.Version], engine)
	}
	return versions
}

// countStage returns how many engines have a stage after the changes.
func (planner *Planner) countStage(engines []lwtdiscovery.Server, changes []StageChange, stage lwtdiscovery.Stage) int {
	count := 0
	for _, engine := range engines {
		if planner.plannedStage(engine, changes) == stage {
			count++
		}
	}
	return count
}

func (planner *Planner) plannedStage(engine lwtdiscovery.Server, changes []StageChange) lwtdiscovery.Stage {
	for _, change := range changes {
		if change.Server.ID == engine.ID {
			return change.Stage
		}
	}
	return planner.targetStage(engine)
}

// chooseEngine chooses the engine that changes to a stage: of the software version, and then of the
// availability zone, in which most engines have another one. It reports false if none may change now.
func (planner *Planner) chooseEngine(
	now time.Time, engines []lwtdiscovery.Server, changes []StageChange, to wantedStage,
) (lwtdiscovery.Server, bool) {
	from := lwtdiscovery.Decode
	if to.stage == lwtdiscovery.Decode {
		from = lwtdiscovery.Prefill
	}
	zoneCounts, versionShares := map[string]int{}, map[string]float64{}
	for version, ofVersion := range byVersion(engines) {
		versionShares[version] = float64(planner.countStage(ofVersion, changes, from)) / float64(len(ofVersion))
	}
	spare := planner.spareDecodeEngines(engines, changes)
	var candidates []lwtdiscovery.Server
	for _, engine := range engines {
		if planner.plannedStage(engine, changes) != from || from == lwtdiscovery.Decode && spare[engine.Version] <= 0 ||
			to.ofVersion && (engine.Version != to.version || planner.unreachable[engine.ID]) {
			continue
		}
		zoneCounts[engine.AvailabilityZone]++
		_, isPending := planner.pending[engine.ID]
		if !isPending && engine.Stage == from && planner.settled(now, engine) && now.Sub(planner.changedAt[engine.ID]) >= minDwell {
			candidates = append(candidates, engine)
		}
	}
	if len(candidates) == 0 {
		return lwtdiscovery.Server{}, false
	}
	return slices.MinFunc(candidates, func(a, b lwtdiscovery.Server) int {
		return cmp.Or(cmp.Compare(versionShares[b.Version], versionShares[a.Version]),
			cmp.Compare(zoneCounts[b.AvailabilityZone], zoneCounts[a.AvailabilityZone]), strings.Compare(a.ID, b.ID))
	}), true
}

// spareDecodeEngines returns how many decode engines each software version has beyond those that it
// must keep.
func (planner *Planner) spareDecodeEngines(engines []lwtdiscovery.Server, changes []StageChange) map[string]int {
	spare, versions := map[string]int{}, byVersion(engines)
	for version, ofVersion := range versions {
		spare[version] = planner.countStage(ofVersion, changes, lwtdiscovery.Decode)
		if len(versions) > 1 {
			spare[version] -= planner.keptDecodeEngines(version, len(ofVersion))
		}
	}
	return spare
}

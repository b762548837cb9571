package lwtquarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingtide/core/lwtroutetable"
)

// Crash is the crash of an engine, as one daemon has seen it.
type Crash struct {
	Service  string
	ServerID string
	At       time.Time
	// Suspects holds the segments of the requests that may have caused the crash. Each value is
	// the number of requests with the segment that the daemon has seen answered before.
	Suspects map[string]int
}

const (
	// minCrashes is the number of crashes from which a segment is quarantined, and
	// minCrashesIfAnswered the same for one with which requests were answered before.
	minCrashes           = 2
	minCrashesIfAnswered = 5
	// maxCrashes bounds the crashes that are kept for a segment.
	maxCrashes = 8
	// crashSeparation is the least time between two crashes that count. Engines that fail
	// together, such as those on one power supply, say nothing about the requests.
	crashSeparation = 20 * time.Millisecond
	// crashWindow is the time within which reports of an engine's crash are of the same one.
	// Daemons notice a crash at different moments, and an engine needs longer to come back. Its
	// start time does not tell crashes apart: it is not known yet when an engine that has just
	// come back crashes again.
	crashWindow = time.Second
	// crashTTL is how long a crash counts.
	crashTTL = 10 * time.Minute
	// maxSuspects bounds the segments of a report.
	maxSuspects = 64
)

// RecordCrash records a crash that this daemon has seen, with the requests that may have caused
// it: those to which the engine had not begun, or just begun, to respond. Report is what the other
// daemons are to be informed of. Quarantined holds the segments that are quarantined because of
// it.
func (quarantine *Quarantine) RecordCrash(
	now time.Time, crash Crash, requests []lwtroutetable.Request,
) (report Crash, quarantined []Entry) {
	report = crash
	report.Suspects = quarantine.suspects(crash.Service, requests)
	for _, request := range requests {
		if entry, probed := quarantine.probeOf(request.ID); probed {
			entry.FirstCrashAt = now
			quarantined = append(quarantined, quarantine.quarantineSegment(now, entry))
		}
	}
	if !quarantine.apply(now, report, false) || len(quarantined) > 0 {
		return report, quarantined
	}
	return report, quarantine.convict(now, report)
}

// ObserveCrash applies the report of a crash by another daemon. It reports whether it was new.
func (quarantine *Quarantine) ObserveCrash(now time.Time, report Crash) bool {
	return quarantine.apply(now, report, true)
}

// suspects returns the segments of requests, those with the fewest answers first if there are too
// many.
func (quarantine *Quarantine) suspects(service string, requests []lwtroutetable.Request) map[string]int {
	suspects := map[string]int{}
	for _, request := range requests {
		for _, segment := range request.SharedSegments() {
			key := keyOf(service, segment)
			suspects[key.Segment] = quarantine.segments.record(key).answered
		}
	}
	if len(suspects) <= maxSuspects {
		return suspects
	}
	segments := slices.SortedFunc(maps.Keys(suspects), func(a, b string) int {
		return cmp.Or(cmp.Compare(suspects[a], suspects[b]), cmp.Compare(a, b))
	})
	for _, segment := range segments[maxSuspects:] {
		delete(suspects, segment)
	}
	return suspects
}

// probeOf returns the entry that a request probes.
func (quarantine *Quarantine) probeOf(requestID string) (Entry, bool) {
	for _, held := range quarantine.entries {
		if requestID != "" && held.probeRequest == requestID {
			return held.Entry, true
		}
	}
	return Entry{}, false
}

// apply counts a crash for its suspects. It reports whether any of them is new for this crash.
func (quarantine *Quarantine) apply(now time.Time, report Crash, reported bool) (isNew bool) {
	id := quarantine.crashes.find(now, report)
	for segment, answered := range report.Suspects {
		key := Key{Service: report.Service, Segment: segment}
		if !quarantine.crashes.add(id, key) {
			continue
		}
		isNew = true
		record := quarantine.segments.record(key)
		record.crash(now, id, report.At)
		if reported {
			record.answeredElsewhere += answered
		}
	}
	return isNew
}

// crashCount returns the number of crashes that count against a segment: those in which it is
// involved and that no quarantined segment explains.
func (quarantine *Quarantine) crashCount(now time.Time, key Key) int {
	count := 0
	for _, counted := range quarantine.segments.record(key).crashes {
		if now.Sub(counted.at) < crashTTL && !quarantine.explained(now, counted.id, key) {
			count++
		}
	}
	return count
}

// explained reports whether a segment other than key, which is quarantined, explains a crash.
func (quarantine *Quarantine) explained(now time.Time, id int, key Key) bool {
	for _, suspect := range quarantine.crashes.suspects(id) {
		if suspect != key && quarantine.active(now, suspect) != nil {
			return true
		}
	}
	return false
}

// convict quarantines the most suspicious segment of a crash, if one is involved in enough
// crashes: the one with the fewest answers. The others are innocent unless engines go on crashing,
// because sound requests share them.
func (quarantine *Quarantine) convict(now time.Time, report Crash) (quarantined []Entry) {
	var worst []Key
	fewest := 0
	for segment := range report.Suspects {
		key := Key{Service: report.Service, Segment: segment}
		answered := quarantine.segments.record(key).allAnswered()
		needed := minCrashes
		if answered > 0 {
			needed = minCrashesIfAnswered
		}
		switch {
		case quarantine.active(now, key) != nil, quarantine.crashCount(now, key) < needed:
		case len(worst) == 0 || answered < fewest:
			worst, fewest = []Key{key}, answered
		case answered == fewest:
			worst = append(worst, key)
		}
	}
	var tieID uint64
	if len(worst) > 1 {
		tieID = xxhash.Sum64String(quarantine.self + "/" + strconv.FormatInt(now.UnixNano(), 10))
	}
	for _, key := range worst {
		quarantined = append(quarantined, quarantine.quarantineSegment(now, Entry{
			Key: key, Answered: fewest > 0, TieID: tieID, FirstCrashAt: quarantine.segments.record(key).crashes[0].at,
		}))
	}
	slices.SortFunc(quarantined, func(a, b Entry) int { return cmp.Compare(a.Segment, b.Segment) })
	return quarantined
}

// quarantineSegment quarantines the segment of an entry, or does so again after a probe has crashed
// an engine.
func (quarantine *Quarantine) quarantineSegment(now time.Time, entry Entry) Entry {
	entry.Revision, entry.Lifted, entry.ExpiresAt = 1, false, now.Add(entryTTL)
	if previous := quarantine.entries[entry.Key]; previous != nil {
		entry.Revision = previous.Revision + 1
	}
	entry = entry.withProbeTime(now)
	quarantine.hold(entry)
	return entry
}

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

// Crash is the crash of a server, as one daemon has seen it.
type Crash struct {
	Service  string
	ServerID string
	At       time.Time
	// Segments holds the ids of the segments that may have caused the crash. Each value is the
	// number of requests with the segment that the daemon has seen answered before.
	Segments map[string]int
	// Requests holds the requests that may have caused the crash.
	Requests []SuspectRequest
}

// SuspectRequest is a request that may have crashed a server.
type SuspectRequest struct {
	Fingerprint string
	// Segments holds the ids of its shared segments.
	Segments []string
}

const (
	// minCrashes is the number of crashes from which a key is quarantined, and
	// minCrashesIfAnswered the same for a segment with which requests were answered before.
	minCrashes           = 2
	minCrashesIfAnswered = 5
	// maxCrashes bounds the crashes that are kept for a key.
	maxCrashes = 8
	// crashSeparation is the least time between two crashes that count. Servers that fail
	// together, such as those on one power supply, say nothing about the requests.
	crashSeparation = 20 * time.Millisecond
	// crashWindow is the time within which reports of a server's crash are of the same one.
	// Daemons notice a crash at different moments, and a server needs longer to come back. Its
	// start time does not tell crashes apart: it is not known yet when a server that has just
	// come back crashes again.
	crashWindow = time.Second
	// segmentCrashTTL and requestCrashTTL are how long a crash counts for a segment and for a
	// request, which is hardly ever the same by chance.
	segmentCrashTTL = 10 * time.Minute
	requestCrashTTL = time.Hour
	// maxSuspects bounds the segments, and also the requests, of a report.
	maxSuspects = 64
)

func (key Key) crashTTL() time.Duration {
	if key.Kind == Request {
		return requestCrashTTL
	}
	return segmentCrashTTL
}

// RecordCrash records a crash that this daemon has seen, with the requests that may have caused
// it: those to which the server had not begun, or just begun, to respond. Report is what the other
// daemons are to be informed of. Quarantined holds what is quarantined because of it.
func (quarantine *Quarantine) RecordCrash(
	now time.Time, crash Crash, requests []lwtroutetable.Request,
) (report Crash, quarantined []Entry) {
	report = quarantine.withSuspects(crash, requests)
	id, isNew := quarantine.apply(now, report, false)
	probed := false
	for _, request := range requests {
		held := quarantine.probeOf(request.ID)
		if held == nil {
			continue
		}
		probed = true
		if len(quarantine.blamed(now, id, held.Key)) > 0 {
			// Something else in quarantine may have crashed the server.
			held.postponeProbe(now)
			continue
		}
		entry := held.Entry
		entry.FirstCrashAt = now
		if entry.Kind == Request {
			// The probe has told the request from those that it was tied with.
			entry.TieID = 0
		}
		quarantined = append(quarantined, quarantine.quarantineKey(now, entry, 0))
	}
	if !isNew || probed {
		return report, quarantined
	}
	return report, quarantine.convict(now, report)
}

// ObserveCrash applies the report of a crash by another daemon. It reports whether it was new.
func (quarantine *Quarantine) ObserveCrash(now time.Time, report Crash) (isNew bool) {
	_, isNew = quarantine.apply(now, report, true)
	return isNew
}

// Suspected reports whether a request may have crashed a server before.
func (quarantine *Quarantine) Suspected(service string, request lwtroutetable.Request) bool {
	found := quarantine.requests.find(Key{Service: service, Kind: Request, ID: request.Fingerprint})
	return found != nil && len(found.crashes) > 0
}

// withSuspects returns a crash with the requests that may have caused it and their segments. If
// there are too many, those segments with the fewest answers and those requests with the most
// crashes go first, and others by chance.
func (quarantine *Quarantine) withSuspects(crash Crash, requests []lwtroutetable.Request) Crash {
	crash.Segments = map[string]int{}
	seen := map[string]bool{}
	for _, request := range requests {
		var segments []string
		for _, segment := range request.SharedSegments() {
			key := segmentKey(crash.Service, segment)
			segments = append(segments, key.ID)
			crash.Segments[key.ID] = quarantine.record(key).answered
		}
		if request.Fingerprint != "" && !seen[request.Fingerprint] {
			seen[request.Fingerprint] = true
			crash.Requests = append(crash.Requests, SuspectRequest{Fingerprint: request.Fingerprint, Segments: segments})
		}
	}
	if len(crash.Segments) > maxSuspects {
		segments := slices.SortedFunc(maps.Keys(crash.Segments), func(a, b string) int {
			return cmp.Or(cmp.Compare(crash.Segments[a], crash.Segments[b]), cmp.Compare(a, b))
		})
		for _, segment := range segments[maxSuspects:] {
			delete(crash.Segments, segment)
		}
	}
	if len(crash.Requests) > maxSuspects {
		slices.SortFunc(crash.Requests, func(a, b SuspectRequest) int {
			return cmp.Or(quarantine.compareCrashes(crash.Service, b, a),
				cmp.Compare(crash.rank(a.Fingerprint), crash.rank(b.Fingerprint)))
		})
		crash.Requests = crash.Requests[:maxSuspects]
	}
	return crash
}

// compareCrashes compares the numbers of crashes of two requests.
func (quarantine *Quarantine) compareCrashes(service string, a, b SuspectRequest) int {
	crashes := func(request SuspectRequest) int {
		found := quarantine.requests.find(Key{Service: service, Kind: Request, ID: request.Fingerprint})
		if found == nil {
			return 0
		}
		return len(found.crashes)
	}
	return cmp.Compare(crashes(a), crashes(b))
}

// rank orders requests in another way for each crash.
func (crash Crash) rank(fingerprint string) uint64 {
	return xxhash.Sum64String(fingerprint + "/" + crash.ServerID + "/" + strconv.FormatInt(crash.At.UnixNano(), 10))
}

// probeOf returns the entry that a request probes, or nil.
func (quarantine *Quarantine) probeOf(requestID string) *heldEntry {
	for _, held := range quarantine.entries {
		if requestID != "" && held.probeRequest == requestID {
			return held
		}
	}
	return nil
}

// apply counts a crash for its suspects. It returns its number in the crashLog, and whether any of
// the suspects is new for this crash.
func (quarantine *Quarantine) apply(now time.Time, report Crash, reported bool) (id int, isNew bool) {
	id = quarantine.crashes.find(now, report)
	count := func(key Key, answered int) {
		if !quarantine.crashes.add(id, key) {
			return
		}
		isNew = true
		record := quarantine.record(key)
		record.crash(now, id, report.At, key.crashTTL())
		if reported {
			record.answeredElsewhere += answered
		}
	}
	for segment, answered := range report.Segments {
		count(Key{Service: report.Service, ID: segment}, answered)
	}
	for _, request := range report.Requests {
		key := Key{Service: report.Service, Kind: Request, ID: request.Fingerprint}
		count(key, 0)
		quarantine.crashes.addRequest(id, key, request.Segments)
		quarantine.tieRequests(key)
	}
	return id, isNew
}

// crashCount returns the number of crashes that count against a key: those in which it is involved
// and that nothing in quarantine explains. Of the crashes in which the same request has a segment,
// at most maxPerRequest count for it: they say as much about the request.
func (quarantine *Quarantine) crashCount(now time.Time, key Key, maxPerRequest int) int {
	count := 0
	counted := map[Key]int{}
	for _, crash := range quarantine.record(key).crashes {
		if now.Sub(crash.at) >= key.crashTTL() {
			continue
		}
		blamed := quarantine.blamed(now, crash.id, key)
		witnesses := quarantine.crashes.requestsWith(crash.id, key)
		if len(blamed) > 0 {
			witnesses = slices.DeleteFunc(slices.Clone(witnesses), func(request Key) bool { return !slices.Contains(blamed, request) })
		}
		switch {
		case len(witnesses) > 0:
			witness := slices.MinFunc(witnesses, func(a, b Key) int { return cmp.Compare(counted[a], counted[b]) })
			if counted[witness] < maxPerRequest {
				counted[witness]++
				count++
			}
		case len(blamed) == 0:
			count++
		}
	}
	return count
}

// blamed returns the suspects of a crash, other than key, that are in quarantine.
func (quarantine *Quarantine) blamed(now time.Time, id int, key Key) (blamed []Key) {
	for _, suspect := range quarantine.crashes.suspects(id) {
		if suspect != key && quarantine.active(now, suspect) != nil {
			blamed = append(blamed, suspect)
		}
	}
	return blamed
}

// convict quarantines what explains a crash best. A request that was involved in enough crashes
// explains them better than its segments, which sound requests may share.
func (quarantine *Quarantine) convict(now time.Time, report Crash) []Entry {
	requests := make([]Key, 0, len(report.Requests))
	for _, request := range report.Requests {
		requests = append(requests, Key{Service: report.Service, Kind: Request, ID: request.Fingerprint})
	}
	if quarantined := quarantine.convictOne(now, requests); len(quarantined) > 0 {
		return quarantined
	}
	segments := make([]Key, 0, len(report.Segments))
	for segment := range report.Segments {
		segments = append(segments, Key{Service: report.Service, ID: segment})
	}
	return quarantine.convictOne(now, segments)
}

// convictOne quarantines the most suspicious of the keys that are involved in enough crashes: the
// one with the fewest answers, or all of these that have equally few. The others are innocent
// unless servers go on crashing.
func (quarantine *Quarantine) convictOne(now time.Time, keys []Key) (quarantined []Entry) {
	var worst []Key
	fewest := 0
	for _, key := range keys {
		answered := quarantine.record(key).allAnswered()
		needed := minCrashes
		if answered > 0 && key.Kind == Segment {
			needed = minCrashesIfAnswered
		}
		switch {
		case quarantine.active(now, key) != nil, quarantine.crashCount(now, key, needed/2) < needed:
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
	slices.SortFunc(worst, func(a, b Key) int { return cmp.Compare(a.ID, b.ID) })
	for i, key := range worst {
		quarantined = append(quarantined, quarantine.quarantineKey(now, Entry{
			Key: key, Answered: fewest > 0, TieID: tieID, FirstCrashAt: quarantine.record(key).crashes[0].at,
		}, time.Duration(i)*probeSeparation))
	}
	return quarantined
}

// quarantineKey puts the key of an entry in quarantine, or does so again after a probe has crashed a
// server. The first probe is postponed by probeOffset.
func (quarantine *Quarantine) quarantineKey(now time.Time, entry Entry, probeOffset time.Duration) Entry {
	entry.Revision, entry.Lifted, entry.ExpiresAt = 1, false, now.Add(entryTTL)
	if previous := quarantine.entries[entry.Key]; previous != nil {
		entry.Revision = previous.Revision + 1
	}
	entry = entry.withProbeTime(now)
	entry.ProbeAt = entry.ProbeAt.Add(probeOffset)
	quarantine.hold(entry)
	quarantine.tieRequests(entry.Key)
	return quarantine.entries[entry.Key].Entry
}

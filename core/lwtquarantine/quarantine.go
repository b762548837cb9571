// Package lwtquarantine finds requests and prompt segments that crash servers, and decides which
// requests are kept away from all servers of a service because of them.
//
// It is designed for one to hundreds of daemons, each of which sees only a part of the requests
// and of the crashes. A request that comes again may crash each server that runs it, and a prompt
// segment each engine that starts to answer a prompt with it. Daemons report crashes to each other,
// with the requests that may have caused them and their segments. What is involved in several
// crashes, and in no answered request since, is quarantined at all daemons. The quarantine ends when
// a request with it is answered: one that was on its way, or a probe, which one daemon sends from
// time to time.
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

// Entry is a decision about a key that all daemons share.
type Entry struct {
	Key
	// Revision counts the quarantines of the key.
	Revision int
	// Lifted says that the quarantine has ended.
	Lifted bool
	// Answered says that requests with the key were answered before the crashes.
	Answered bool
	// TieID is the same, and not 0, for keys that explain the same crashes equally well.
	TieID uint64
	// FirstCrashAt is the first of the crashes that led to the quarantine. An answered request
	// that was sent later refutes it.
	FirstCrashAt time.Time
	// ProbeAt is when one request with the key may be sent to a server again.
	ProbeAt time.Time
	// ExpiresAt is when the entry is dropped.
	ExpiresAt time.Time
}

// Supersedes reports whether an entry replaces another one of the same key.
func (entry Entry) Supersedes(other Entry) bool {
	if entry.Revision != other.Revision {
		return entry.Revision > other.Revision
	}
	return entry.Lifted && !other.Lifted
}

// uncertain reports whether the key may well be sound. It is probed early then.
func (entry Entry) uncertain() bool { return entry.Answered || entry.TieID != 0 }

// withProbeTime returns the entry with ProbeAt for a quarantine that begins at now.
func (entry Entry) withProbeTime(now time.Time) Entry {
	if entry.Kind == Request && entry.Revision > maxRequestProbes {
		entry.ProbeAt = entry.ExpiresAt
		return entry
	}
	delay := probeDelay
	if entry.uncertain() {
		delay = uncertainProbeDelay
	}
	for revision := 1; revision < entry.Revision && delay < maxProbeDelay; revision++ {
		delay *= probeBackoff
	}
	entry.ProbeAt = now.Add(min(delay, maxProbeDelay))
	return entry
}

// Quarantine is one daemon's knowledge of crashes and of what is quarantined. It is not safe for
// concurrent use.
type Quarantine struct {
	self string
	// daemons holds the names of the live daemons, self included.
	daemons []string
	entries map[Key]*heldEntry
	// segments holds the records of all segments, requests only those of suspects.
	segments, requests recordCache
	crashes            crashLog
}

// heldEntry is an entry with the state of this daemon's probe.
type heldEntry struct {
	Entry
	// probeRequest is the id of the last request that has probed the key, or empty.
	probeRequest string
	// probeEndsAt is when the probe is given up.
	probeEndsAt time.Time
}

// New returns a quarantine without entries for the daemon with the name self, which is the only
// one until SetDaemons is called.
func New(self string) *Quarantine {
	return &Quarantine{
		self: self, daemons: []string{self}, entries: map[Key]*heldEntry{}, segments: newRecordCache(),
		requests: newRecordCache(), crashes: newCrashLog(),
	}
}

// record returns the record of a key, which is created if there is none.
func (quarantine *Quarantine) record(key Key) *record {
	if key.Kind == Request {
		return quarantine.requests.record(key)
	}
	return quarantine.segments.record(key)
}

// SetDaemons sets the names of the live daemons, self included.
func (quarantine *Quarantine) SetDaemons(names []string) { quarantine.daemons = slices.Clone(names) }

const (
	// entryTTL is how long an entry is kept.
	entryTTL = time.Hour
	// maxEntries bounds the number of entries. Beyond it, the oldest one is dropped.
	maxEntries = 256
	// probeDelay is the time from a quarantine to the first probe, and uncertainProbeDelay the
	// same for an uncertain one. Each further quarantine of the key multiplies it by probeBackoff.
	// After maxRequestProbes, a request is not probed again before its entry expires: it is known
	// exactly, so that more probes would show nothing.
	probeDelay          = 30 * time.Second
	uncertainProbeDelay = 2 * time.Second
	probeBackoff        = 4
	maxProbeDelay       = 15 * time.Minute
	maxRequestProbes    = 2
	// probeTimeout is how long a probe may take.
	probeTimeout = 5 * time.Second
	// probeRetryDelay is the time to the next probe after one without a result.
	probeRetryDelay = 500 * time.Millisecond
	// probeSeparation is the time between the first probes of keys that explain the same crashes.
	// If two were at the same server, a crash would not say which has caused it.
	probeSeparation = 300 * time.Millisecond
	// maxProbePostponement is how much longer than probeRetryDelay the time to the next probe may
	// be.
	maxProbePostponement = 2 * time.Second
)

// Admit reports whether a request may be sent to the servers of a service now. If it may not,
// entry is the quarantine that keeps it away; if it may as a probe, the one that it probes. A probe
// is admitted until its result is recorded or EndProbe is called.
func (quarantine *Quarantine) Admit(
	now time.Time, service string, request lwtroutetable.Request,
) (entry Entry, admitted bool) {
	if len(quarantine.entries) == 0 {
		return Entry{}, true
	}
	var held *heldEntry
	for _, key := range keysOf(service, request) {
		found := quarantine.active(now, key)
		if found == nil || found == held {
			continue
		}
		if held != nil {
			// The result of a probe with two quarantined keys would not say which is sound.
			return held.Entry, false
		}
		held = found
	}
	switch {
	case held == nil:
		return Entry{}, true
	case held.probeRequest != "" && held.probeRequest == request.ID && now.Before(held.probeEndsAt):
		return held.Entry, true
	case now.Before(held.ProbeAt), held.probeRequest != "" && now.Before(held.probeEndsAt), !quarantine.owns(held.Key):
		return held.Entry, false
	}
	held.probeRequest, held.probeEndsAt = request.ID, now.Add(probeTimeout)
	return held.Entry, true
}

// EndProbe says that a request has ended. If it is a probe whose result has not been recorded,
// another request may be one after probeRetryDelay. Until then, a crash may still be recorded.
func (quarantine *Quarantine) EndProbe(now time.Time, requestID string) {
	for _, held := range quarantine.entries {
		if requestID != "" && held.probeRequest == requestID {
			held.probeEndsAt, held.ProbeAt = now, now.Add(probeRetryDelay)
		}
	}
}

// postponeProbe ends a probe that says nothing about its key. The time to the next one differs
// between keys, whose probes may have been at the same server.
func (held *heldEntry) postponeProbe(now time.Time) {
	held.probeRequest, held.probeEndsAt = "", now
	held.ProbeAt = now.Add(probeRetryDelay + time.Duration(weight("", held.Key)%uint64(maxProbePostponement)))
}

// active returns the entry of a quarantined key, or nil.
func (quarantine *Quarantine) active(now time.Time, key Key) *heldEntry {
	held := quarantine.entries[key]
	if held == nil || held.Lifted || !now.Before(held.ExpiresAt) {
		return nil
	}
	return held
}

// owns reports whether this daemon probes a key. Daemons that know the same live daemons
// agree on the one that does.
func (quarantine *Quarantine) owns(key Key) bool {
	own := weight(quarantine.self, key)
	for _, daemon := range quarantine.daemons {
		if daemon != quarantine.self && weight(daemon, key) > own {
			return false
		}
	}
	return true
}

func weight(daemon string, key Key) uint64 {
	return xxhash.Sum64String(daemon + "/" + key.Service + "/" + key.ID)
}

// RecordAnswer records that a request which was sent to a server at sentAt was answered
// completely. It returns the quarantines that this refutes, which the other daemons are to be
// informed of.
func (quarantine *Quarantine) RecordAnswer(
	now, sentAt time.Time, service string, request lwtroutetable.Request,
) (lifted []Entry) {
	for _, key := range keysOf(service, request) {
		if key.Kind == Request && quarantine.entries[key] == nil && quarantine.requests.find(key) == nil {
			continue
		}
		record := quarantine.record(key)
		record.answer(sentAt)
		if held := quarantine.active(now, key); held != nil && sentAt.After(held.FirstCrashAt) {
			record.crashes = nil
			lifted = append(lifted, quarantine.lift(held))
		}
	}
	return lifted
}

func (quarantine *Quarantine) lift(held *heldEntry) Entry {
	held.Lifted, held.probeRequest = true, ""
	quarantine.breakTie(held.TieID)
	return held.Entry
}

// ObserveEntry applies an entry of another daemon or of the store. Changed reports whether it is
// new to this daemon. Refuted, if not nil, is the entry after this daemon has ended the quarantine
// because it knows of a request that refutes it.
func (quarantine *Quarantine) ObserveEntry(now time.Time, entry Entry) (changed bool, refuted *Entry) {
	previous := quarantine.entries[entry.Key]
	if !now.Before(entry.ExpiresAt) || previous != nil && !entry.Supersedes(previous.Entry) {
		return false, nil
	}
	tieID := entry.TieID
	if tieID == 0 && previous != nil {
		tieID = previous.TieID
		entry.TieID = tieID
	}
	quarantine.hold(entry)
	quarantine.breakTie(tieID)
	quarantine.tieRequests(entry.Key)
	record := quarantine.record(entry.Key)
	switch {
	case entry.Lifted:
		// What is known of the key elsewhere counts here too: it takes more crashes now.
		record.answeredElsewhere++
		return true, nil
	case record.answeredSince(entry.FirstCrashAt):
		record.crashes = nil
	case entry.Answered || record.answered == 0:
		return true, nil
	}
	lifted := quarantine.lift(quarantine.entries[entry.Key])
	return true, &lifted
}

// hold stores an entry and drops the oldest one if there are too many.
func (quarantine *Quarantine) hold(entry Entry) {
	quarantine.entries[entry.Key] = &heldEntry{Entry: entry}
	if len(quarantine.entries) <= maxEntries {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(quarantine.entries)), func(a, b *heldEntry) int {
		return a.ExpiresAt.Compare(b.ExpiresAt)
	})
	delete(quarantine.entries, oldest.Key)
}

// Entries returns all entries, those that are lifted included, sorted by key. It drops the
// expired ones.
func (quarantine *Quarantine) Entries(now time.Time) []Entry {
	entries := make([]Entry, 0, len(quarantine.entries))
	for key, held := range quarantine.entries {
		if !now.Before(held.ExpiresAt) {
			delete(quarantine.entries, key)
			continue
		}
		entries = append(entries, held.Entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
	})
	return entries
}

// Digest returns a hash of the quarantined keys, 0 if there are none. It is equal on daemons
// that hold the same ones.
func (quarantine *Quarantine) Digest(now time.Time) uint64 {
	var digest uint64
	for key, held := range quarantine.entries {
		if quarantine.active(now, key) != nil {
			digest ^= xxhash.Sum64String(key.Service + "/" + key.ID + "/" + strconv.Itoa(held.Revision))
		}
	}
	return digest
}

package lwtgateway

import (
	"fmt"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtquarantine"
	"lacewingtide/core/lwtroutetable"
	"lacewingtide/io/lwtlog"
)

// Bounds of the Retry-After of requests that are quarantined or have a quarantined segment.
const (
	minQuarantineRetryAfter = time.Second
	maxQuarantineRetryAfter = time.Minute
)

// errQuarantined reports that a request was not sent because it, or a segment of its prompt, was
// quarantined after it was placed.
var errQuarantined = fmt.Errorf("request not sent: it or a segment of its prompt is quarantined")

// admitRequest reports whether a request may be sent to the servers of a service. Entry is the
// quarantine that keeps it away or that it probes, if any.
func (view *view) admitRequest(
	now time.Time, service string, request lwtroutetable.Request,
) (entry lwtquarantine.Entry, admitted bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.quarantine.Admit(now, service, request)
}

// admit returns an error if the request may not be sent to a server now. It is called right before
// it is sent: since it was placed, it may have been quarantined.
func (call *call) admit(now time.Time, server lwtdiscovery.Server) error {
	if _, admitted := call.gateway.view.admitRequest(now, call.service, call.request); !admitted {
		return errQuarantined
	}
	return call.gateway.view.admit(now, server)
}

func (view *view) endProbe(now time.Time, requestID string) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.quarantine.EndProbe(now, requestID)
}

// suspected reports whether a request may have crashed a server before.
func (view *view) suspected(service string, request lwtroutetable.Request) bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.quarantine.Suspected(service, request)
}

func (view *view) recordAnswer(
	now, sentAt time.Time, service string, request lwtroutetable.Request,
) (lifted []lwtquarantine.Entry) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.quarantine.RecordAnswer(now, sentAt, service, request)
}

func (view *view) recordCrash(
	now time.Time, crash lwtquarantine.Crash, requests []lwtroutetable.Request,
) (report lwtquarantine.Crash, quarantined []lwtquarantine.Entry) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.quarantine.RecordCrash(now, crash, requests)
}

func (view *view) observeCrash(now time.Time, report lwtquarantine.Crash) bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.quarantine.ObserveCrash(now, report)
}

func (view *view) observeQuarantine(
	now time.Time, entry lwtquarantine.Entry,
) (changed bool, refuted *lwtquarantine.Entry) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.quarantine.ObserveEntry(now, entry)
}

func (view *view) quarantineEntries(now time.Time) []lwtquarantine.Entry {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.quarantine.Entries(now)
}

func (view *view) quarantineDigest(now time.Time) uint64 {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.quarantine.Digest(now)
}

// recordAnswer records that the request was answered completely.
func (call *call) recordAnswer() {
	lifted := call.gateway.view.recordAnswer(time.Now(), call.sentAt, call.service, call.request)
	call.gateway.publishQuarantine(lifted, "request "+call.request.ID)
}

// quarantineRetryAfter returns the time after which a request that an entry keeps away should be
// retried.
func quarantineRetryAfter(now time.Time, entry lwtquarantine.Entry) time.Duration {
	return min(max(entry.ProbeAt.Sub(now), minQuarantineRetryAfter), maxQuarantineRetryAfter)
}

// logQuarantine logs that a segment or a request was quarantined or released. Source is what this
// daemon knows it from: a server or a request, "store", or the daemon that reported it.
func (gateway *Gateway) logQuarantine(entry lwtquarantine.Entry, source string) {
	event := entry.Kind.String() + "-quarantined"
	if entry.Lifted {
		event = entry.Kind.String() + "-released"
	}
	idName := "segment"
	if entry.Kind == lwtquarantine.Request {
		idName = "fingerprint"
	}
	now := time.Now()
	gateway.metrics.Count(event)
	lwtlog.Info(gateway.logger, event, "service", entry.Service, idName, entry.ID, "revision", entry.Revision,
		"answered", entry.Answered, "tied", entry.TieID != 0, "first-crash", now.Sub(entry.FirstCrashAt).Round(time.Millisecond),
		"probe-in", entry.ProbeAt.Sub(now).Round(time.Millisecond), "source", source)
}

// publishQuarantine informs the other daemons of entries that this daemon has changed, and writes
// them to the store.
func (gateway *Gateway) publishQuarantine(entries []lwtquarantine.Entry, source string) {
	if len(entries) == 0 {
		return
	}
	now := time.Now()
	var message serverMessage
	for _, entry := range entries {
		gateway.logQuarantine(entry, source)
		message.Quarantine = append(message.Quarantine, encodeQuarantine(now, entry))
	}
	gateway.sendServerMessage("", message)
	go gateway.storeQuarantine(entries)
}

// applyQuarantine applies entries that another daemon or the store has reported, and returns those
// that are new. Source is the daemon's name or "store".
func (gateway *Gateway) applyQuarantine(source string, entries []lwtquarantine.Entry) (changed []lwtquarantine.Entry) {
	for _, entry := range entries {
		isNew, refuted := gateway.view.observeQuarantine(time.Now(), entry)
		if !isNew {
			continue
		}
		gateway.logQuarantine(entry, source)
		changed = append(changed, entry)
		if refuted != nil {
			gateway.publishQuarantine([]lwtquarantine.Entry{*refuted}, "answered before")
		}
	}
	return changed
}

// quarantineEntry is an entry of the quarantine, as reported to other daemons. Its times are
// relative to when it is sent.
type quarantineEntry struct {
	Service  string `cbor:"1,keyasint"`
	ID       string `cbor:"2,keyasint"`
	Revision int    `cbor:"3,keyasint"`
	Lifted   bool   `cbor:"4,keyasint,omitempty"`
	Answered bool   `cbor:"5,keyasint,omitempty"`
	// FirstCrashMilliseconds is how long ago the first crash was that led to the quarantine.
	FirstCrashMilliseconds int64 `cbor:"6,keyasint,omitempty"`
	// ProbeMilliseconds and ExpiryMilliseconds are the times until the next probe and until the
	// entry expires.
	ProbeMilliseconds  int64 `cbor:"7,keyasint,omitempty"`
	ExpiryMilliseconds int64 `cbor:"8,keyasint,omitempty"`
	// TieID is the same for what explains the same crashes.
	TieID uint64 `cbor:"9,keyasint,omitempty"`
	// Kind is that of the entry's key.
	Kind int `cbor:"10,keyasint,omitempty"`
}

func encodeQuarantine(now time.Time, entry lwtquarantine.Entry) quarantineEntry {
	return quarantineEntry{
		Service: entry.Service, Kind: int(entry.Kind), ID: entry.ID, Revision: entry.Revision, Lifted: entry.Lifted,
		Answered: entry.Answered, TieID: entry.TieID, FirstCrashMilliseconds: now.Sub(entry.FirstCrashAt).Milliseconds(),
		ProbeMilliseconds: entry.ProbeAt.Sub(now).Milliseconds(), ExpiryMilliseconds: entry.ExpiresAt.Sub(now).Milliseconds(),
	}
}

func (entry quarantineEntry) decode(now time.Time) lwtquarantine.Entry {
	return lwtquarantine.Entry{
		Key:      lwtquarantine.Key{Service: entry.Service, Kind: lwtquarantine.Kind(entry.Kind), ID: entry.ID},
		Revision: entry.Revision, Lifted: entry.Lifted, Answered: entry.Answered, TieID: entry.TieID,
		FirstCrashAt: now.Add(-time.Duration(entry.FirstCrashMilliseconds) * time.Millisecond),
		ProbeAt:      now.Add(time.Duration(entry.ProbeMilliseconds) * time.Millisecond),
		ExpiresAt:    now.Add(time.Duration(entry.ExpiryMilliseconds) * time.Millisecond),
	}
}

func decodeQuarantine(now time.Time, encoded []quarantineEntry) []lwtquarantine.Entry {
	entries := make([]lwtquarantine.Entry, 0, len(encoded))
	for _, entry := range encoded {
		entries = append(entries, entry.decode(now))
	}
	return entries
}

// syncQuarantine sends the whole quarantine to a daemon whose own differs. Digest is that of the
// other daemon. Each of two such daemons does so, so that both hold what either knows.
func (gateway *Gateway) syncQuarantine(now time.Time, daemon string, digest uint64) {
	if digest == gateway.view.quarantineDigest(now) || !gateway.loadExchange.syncDue(now, daemon, syncedQuarantine) {
		return
	}
	network, entries := gateway.loadExchange.peerNetwork(), gateway.view.quarantineEntries(now)
	if network == nil || len(entries) == 0 {
		return
	}
	var message serverMessage
	for _, entry := range entries {
		message.Quarantine = append(message.Quarantine, encodeQuarantine(now, entry))
	}
	gateway.metrics.Count("quarantine-synced")
	if err := network.Send(daemon, serversKind, message); err != nil {
		lwtlog.Info(gateway.logger, "quarantine-not-sent", "daemon", daemon, "err", err)
	}
}

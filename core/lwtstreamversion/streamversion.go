// Package lwtstreamversion knows which software version of a service has begun which stream.
//
// Servers of several versions may serve side by side during a release. A stream that is broken off
// may go on only at the version that began it, also when its caller takes it up at another daemon.
// Each daemon knows the streams that it has begun, and those that others have reported to it. Every
// daemon that knows a stream reports it to the holders of the stream until they confirm it, and to those
// that become holders later.
package lwtstreamversion

import (
	"cmp"
	"crypto/sha256"
	"maps"
	"slices"
	"time"
)

// Key identifies a stream. It is a hash of the ID of the request that began it.
type Key [16]byte

// KeyOf returns the key of the stream that a request began.
func KeyOf(requestID string) Key {
	hash := sha256.Sum256([]byte(requestID))
	return Key(hash[:len(Key{})])
}

// Stream says which software version has begun a stream.
type Stream struct {
	Key     Key
	Service string
	Version string
	// ExpiresAt is when the caller gives up at the latest.
	ExpiresAt time.Time
}

const (
	// maxStreams bounds the streams in a table. Beyond it, those that expire first are dropped.
	maxStreams = 1 << 15
	// minRetention and maxRetention bound the time for which a version counts as serving after
	// its last server has left.
	minRetention = 15 * time.Second
	maxRetention = 10 * time.Minute
	// reportInterval is the time between two reports of a stream to a holder that has not confirmed it.
	reportInterval = time.Second
	// reportDelay is the age at which a stream is first reported while one version serves. Most
	// streams have ended by then.
	reportDelay = 100 * time.Millisecond
	// sweepInterval is the time between two removals of the expired streams.
	sweepInterval = time.Second
)

// Holder is a process of a daemon that holds streams which others have begun.
type Holder struct {
	Name string
	// Boot identifies the process.
	Boot uint64
}

// Table holds streams and the versions of services. It is not safe for concurrent use.
type Table struct {
	streams map[Key]*tableEntry
	// unconfirmed holds the streams that not all of their holders may know.
	unconfirmed map[Key]bool
	sweptAt     time.Time
	// services holds which versions serve, by service.
	services map[string]*serviceVersions
	// retention is how long a stream may last.
	retention time.Duration
}

type tableEntry struct {
	Stream
	addedAt time.Time
	// own says that this daemon has begun the stream, or the process of it before.
	own bool
	// stored says that the stream was read from the store, where every daemon finds it.
	stored  bool
	reports []report
}

// report is what this daemon knows of a holder of a stream.
type report struct {
	holder Holder
	// sentAt is when the stream was last reported to the holder, or zero.
	sentAt    time.Time
	confirmed bool
}

// reportTo returns the report to a holder, or nil.
func (entry *tableEntry) reportTo(holder Holder) *report {
	for i := range entry.reports {
		if entry.reports[i].holder == holder {
			return &entry.reports[i]
		}
	}
	return nil
}

type serviceVersions struct {
	serving map[string]bool
	// left holds when the last server of a version left.
	left map[string]time.Time
	// reportedMixed is until when other daemons say that several versions serve.
	reportedMixed time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{
		streams: map[Key]*tableEntry{}, unconfirmed: map[Key]bool{}, services: map[string]*serviceVersions{},
		retention: minRetention,
	}
}

func (table *Table) service(name string) *serviceVersions {
	versions, found := table.services[name]
	if !found {
		versions = &serviceVersions{serving: map[string]bool{}, left: map[string]time.Time{}}
		table.services[name] = versions
	}
	return versions
}

// SetVersions sets the versions of a service that serve now.
func (table *Table) SetVersions(now time.Time, service string, serving map[string]bool) {
	versions := table.service(service)
	for version := range versions.serving {
		if !serving[version] {
			versions.left[version] = now
		}
	}
	maps.DeleteFunc(versions.left, func(version string, at time.Time) bool {
		return serving[version] || now.Sub(at) >= table.retention
	})
	versions.serving = maps.Clone(serving)
}

// ObserveMixed notes that another daemon says that several versions of a service serve. This holds
// until a moment.
func (table *Table) ObserveMixed(service string, until time.Time) {
	versions := table.service(service)
	if until.After(versions.reportedMixed) {
		versions.reportedMixed = until
	}
}

// ObserveVersion notes that a version of a service serves or has begun a stream, though SetVersions may
// not name it yet.
func (table *Table) ObserveVersion(now time.Time, service, version string) {
	if versions := table.service(service); !versions.serving[version] {
		versions.left[version] = now
	}
}

// OnlyVersion returns the version of a service that has served, if it is the only one known.
func (table *Table) OnlyVersion(now time.Time, service string) (version string, only bool) {
	versions, found := table.services[service]
	if !found || now.Before(versions.reportedMixed) {
		return "", false
	}
	recent := versions.recent(now, table.retention)
	if len(recent) != 1 {
		return "", false
	}
	return recent[0], true
}

// Mixed reports whether servers of several versions of a service serve, or did within the time that
// a stream may last.
func (table *Table) Mixed(now time.Time, service string) bool {
	versions, found := table.services[service]
	return found && (versions.ownMixed(now, table.retention) || now.Before(versions.reportedMixed))
}

func (versions *serviceVersions) ownMixed(now time.Time, retention time.Duration) bool {
	return len(versions.recent(now, retention)) > 1
}

// recent returns the versions that serve, or did within the time that a stream may last.
func (versions *serviceVersions) recent(now time.Time, retention time.Duration) []string {
	recent := slices.Collect(maps.Keys(versions.serving))
	for version, at := range versions.left {
		if !versions.serving[version] && now.Sub(at) < retention {
			recent = append(recent, version)
		}
	}
	return recent
}

// MixedServices returns the services of which this daemon itself knows several versions, sorted.
func (table *Table) MixedServices(now time.Time) (names []string) {
	for name, versions := range table.services {
		if versions.ownMixed(now, table.retention) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// MixedUntil returns until when several versions of a service count as serving, for each of which
// this daemon or another one knows several. For those of which it knows several now, that is a
// stream's longest time from now on.
func (table *Table) MixedUntil(now time.Time) map[string]time.Time {
	mixed := map[string]time.Time{}
	for name, versions := range table.services {
		switch {
		case versions.ownMixed(now, table.retention):
			mixed[name] = now.Add(table.retention)
		case now.Before(versions.reportedMixed):
			mixed[name] = versions.reportedMixed
		}
	}
	return mixed
}

// Begin records a stream that this daemon has begun.
func (table *Table) Begin(now time.Time, stream Stream) {
	if _, found := table.streams[stream.Key]; found {
		return
	}
	table.retention = min(max(table.retention, stream.ExpiresAt.Sub(now)), maxRetention)
	table.add(now, &tableEntry{Stream: stream, addedAt: now, own: true})
}

// End drops a stream that its caller has received completely.
func (table *Table) End(key Key) {
	delete(table.streams, key)
	delete(table.unconfirmed, key)
}

// Observe records a stream of which another daemon knows. That daemon reports it to the holders, which
// therefore count as informed.
func (table *Table) Observe(now time.Time, stream Stream, holders []Holder) {
	entry := &tableEntry{Stream: stream, addedAt: now}
	for _, holder := range holders {
		entry.reports = append(entry.reports, report{holder: holder, confirmed: true})
	}
	table.addUnknown(now, entry)
}

// Adopt records a stream that the process of this daemon before has begun.
func (table *Table) Adopt(now time.Time, stream Stream) {
	table.addUnknown(now, &tableEntry{Stream: stream, addedAt: now, own: true})
}

// ObserveStored records a stream that was read from the store. It is not reported to others.
func (table *Table) ObserveStored(now time.Time, stream Stream) {
	table.addUnknown(now, &tableEntry{Stream: stream, addedAt: now, stored: true})
}

// addUnknown stores an entry whose stream is neither known nor expired.
func (table *Table) addUnknown(now time.Time, entry *tableEntry) {
	if _, found := table.streams[entry.Key]; found || !now.Before(entry.ExpiresAt) {
		return
	}
	table.ObserveVersion(now, entry.Service, entry.Version)
	table.add(now, entry)
}

// OwnStreams returns the streams of this daemon that are old enough to be reported, sorted by key. If
// there are more than limit, it returns those that expire last.
func (table *Table) OwnStreams(now time.Time, limit int) (streams []Stream) {
	for _, entry := range table.streams {
		if entry.own && now.Before(entry.ExpiresAt) && now.Sub(entry.addedAt) >= reportDelay {
			streams = append(streams, entry.Stream)
		}
	}
	if len(streams) > limit {
		slices.SortFunc(streams, func(a, b Stream) int { return b.ExpiresAt.Compare(a.ExpiresAt) })
		streams = streams[:limit]
	}
	slices.SortFunc(streams, func(a, b Stream) int { return slices.Compare(a.Key[:], b.Key[:]) })
	return streams
}

// Find returns the stream with a key.
func (table *Table) Find(now time.Time, key Key) (Stream, bool) {
	entry, found := table.streams[key]
	if !found || !now.Before(entry.ExpiresAt) {
		return Stream{}, false
	}
	return entry.Stream, true
}

// ReviewHolders checks all streams again. It is called when the set of holders has changed.
func (table *Table) ReviewHolders() {
	for key, entry := range table.streams {
		if !entry.stored {
			table.unconfirmed[key] = true
		}
	}
}

// DueReports returns the streams that are to be reported now, by holder. HoldersOf returns the
// holders of a stream.
func (table *Table) DueReports(now time.Time, holdersOf func(Key) []Holder) map[Holder][]Stream {
	table.sweep(now)
	due := map[Holder][]Stream{}
	for key := range table.unconfirmed {
		entry := table.streams[key]
		if entry.own && now.Sub(entry.addedAt) < reportDelay && !table.Mixed(now, entry.Service) {
			continue
		}
		holders := holdersOf(key)
		entry.reports = slices.DeleteFunc(entry.reports, func(report report) bool {
			return !slices.Contains(holders, report.holder)
		})
		outstanding := false
		for _, holder := range holders {
			report := entry.reportTo(holder)
			if report != nil && report.confirmed {
				continue
			}
			outstanding = true
			if report == nil || now.Sub(report.sentAt) >= reportInterval {
				due[holder] = append(due[holder], entry.Stream)
			}
		}
		if !outstanding && len(holders) > 0 {
			delete(table.unconfirmed, key)
		}
	}
	return due
}

// RecordReport records that a stream was sent to a holder.
func (table *Table) RecordReport(now time.Time, key Key, holder Holder) {
	entry, found := table.streams[key]
	if !found {
		return
	}
	if sent := entry.reportTo(holder); sent != nil {
		sent.sentAt = now
		return
	}
	entry.reports = append(entry.reports, report{holder: holder, sentAt: now})
}

// Confirm records that a holder knows a stream that was sent to it.
func (table *Table) Confirm(key Key, holder Holder) {
	if entry, found := table.streams[key]; found {
		if report := entry.reportTo(holder); report != nil {
			report.confirmed = true
		}
	}
}

// sweep drops the expired streams, at most once per sweepInterval.
func (table *Table) sweep(now time.Time) {
	if now.Sub(table.sweptAt) < sweepInterval {
		return
	}
	table.sweptAt = now
	table.dropExpired(now)
}

func (table *Table) dropExpired(now time.Time) {
	for key, entry := range table.streams {
		if !now.Before(entry.ExpiresAt) {
			table.End(key)
		}
	}
}

// add stores an entry. If there are too many, it drops the eighth of them that expires first.
func (table *Table) add(now time.Time, entry *tableEntry) {
	table.streams[entry.Key] = entry
	if !entry.stored {
		table.unconfirmed[entry.Key] = true
	}
	if len(table.streams) <= maxStreams {
		return
	}
	table.dropExpired(now)
	if len(table.streams) <= maxStreams {
		return
	}
	entries := slices.SortedFunc(maps.Values(table.streams), func(a, b *tableEntry) int {
		return cmp.Or(a.ExpiresAt.Compare(b.ExpiresAt), slices.Compare(a.Key[:], b.Key[:]))
	})
	for _, dropped := range entries[:len(entries)/8] {
		table.End(dropped.Key)
	}
}

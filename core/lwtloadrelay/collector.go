package lwtloadrelay

import (
	"maps"
	"slices"
	"time"

	"lacewingtide/core/lwtqueueplacement"
)

const (
	// sourceTTL is the age at which the reports of a source expire.
	sourceTTL = time.Second
	// fullReportInterval is the time between two full reports of each source. A full report
	// compensates the loss of messages.
	fullReportInterval = 400 * time.Millisecond
)

// SourceReport is the load report of one daemon, or the sum of those of a relay's group.
type SourceReport struct {
	// Source is the name of the daemon or relay.
	Source string
	lwtqueueplacement.LoadReport
}

// Collector collects the load reports of several sources and batches them for forwarding. It is
// not safe for concurrent use.
type Collector struct {
	sources map[string]*source
	// lastFull is when full reports were last returned.
	lastFull time.Time
}

type source struct {
	loads      map[string]lwtqueueplacement.Load
	changed    map[string]lwtqueueplacement.Load
	receivedAt time.Time
}

// NewCollector returns a collector without sources.
func NewCollector() *Collector { return &Collector{sources: map[string]*source{}} }

// Apply applies the report of the source with the given name.
func (collector *Collector) Apply(now time.Time, name string, report lwtqueueplacement.LoadReport) {
	reporter, found := collector.sources[name]
	if !found {
		reporter = &source{loads: map[string]lwtqueueplacement.Load{}, changed: map[string]lwtqueueplacement.Load{}}
		collector.sources[name] = reporter
	}
	reporter.receivedAt = now
	if report.Full {
		for id := range reporter.loads {
			if _, named := report.Loads[id]; !named {
				reporter.set(id, lwtqueueplacement.Load{})
			}
		}
	}
	for id, load := range report.Loads {
		reporter.set(id, load)
	}
}

func (source *source) set(id string, load lwtqueueplacement.Load) {
	if source.loads[id] == load {
		return
	}
	source.changed[id] = load
	if load == (lwtqueueplacement.Load{}) {
		delete(source.loads, id)
		return
	}
	source.loads[id] = load
}

// AddTo adds the loads of all sources to loads, by server id.
func (collector *Collector) AddTo(loads map[string]lwtqueueplacement.Load) {
	for _, source := range collector.sources {
		for id, load := range source.loads {
			total := loads[id]
			total.PrefillTime += load.PrefillTime
			total.Running += load.Running
			loads[id] = total
		}
	}
}

// Flush returns the changes of each source since the last call, or full reports every
// fullReportInterval. A source that has not reported for sourceTTL is removed and gets an empty
// full report.
func (collector *Collector) Flush(now time.Time) []SourceReport {
	full := now.Sub(collector.lastFull) >= fullReportInterval
	if full {
		collector.lastFull = now
	}
	var reports []SourceReport
	for _, name := range slices.Sorted(maps.Keys(collector.sources)) {
		source := collector.sources[name]
		switch {
		case now.Sub(source.receivedAt) >= sourceTTL:
			delete(collector.sources, name)
			reports = append(reports, SourceReport{Source: name, LoadReport: lwtqueueplacement.LoadReport{Full: true}})
			continue
		case full:
			reports = append(reports, SourceReport{
				Source: name, LoadReport: lwtqueueplacement.LoadReport{Full: true, Loads: maps.Clone(source.loads)},
			})
		case len(source.changed) > 0:
			reports = append(reports, SourceReport{
				Source: name, LoadReport: lwtqueueplacement.LoadReport{Loads: maps.Clone(source.changed)},
			})
		}
		clear(source.changed)
	}
	return reports
}

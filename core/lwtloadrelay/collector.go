package lwtloadrelay

import (
	"maps"
	"slices"
	"time"

	"lacewingtide/core/lwtqueueplacement"
)

// Times of the exchange.
const (
	// sourceAge is the age from which the reports of a daemon no longer count.
	sourceAge = time.Second
	// wholeInterval is the time after which all that a source has in work is passed
	// on, not only what has changed. It makes good the loss of a message.
	wholeInterval = 400 * time.Millisecond
)

// SourceReport is the report of one daemon, or the sum of one group.
type SourceReport struct {
	Source string
	lwtqueueplacement.LoadReport
}

// Collector gathers the reports of several sources and passes them on. It is changed
// in place by its owner and is not safe for concurrent use.
type Collector struct {
	sources map[string]*source
	// whole is when all that the sources have in work was passed on last.
	whole time.Time
}

type source struct {
	loads   map[string]lwtqueueplacement.Load
	changed map[string]lwtqueueplacement.Load
	seen    time.Time
}

// NewCollector returns a collector without sources.
func NewCollector() *Collector { return &Collector{sources: map[string]*source{}} }

// Apply takes in a report.
func (collector *Collector) Apply(now time.Time, name string, report lwtqueueplacement.LoadReport) {
	known, found := collector.sources[name]
	if !found {
		known = &source{loads: map[string]lwtqueueplacement.Load{}, changed: map[string]lwtqueueplacement.Load{}}
		collector.sources[name] = known
	}
	known.seen = now
	if report.Full {
		for id := range known.loads {
			if _, named := report.Loads[id]; !named {
				known.set(id, lwtqueueplacement.Load{})
			}
		}
	}
	for id, load := range report.Loads {
		known.set(id, load)
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

// AddTo adds what the sources have in work to loads.
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

// Flush returns what has changed since the last call, by source, and from time to
// time the whole. Sources that are silent have nothing in work any more.
func (collector *Collector) Flush(now time.Time) []SourceReport {
	whole := now.Sub(collector.whole) >= wholeInterval
	if whole {
		collector.whole = now
	}
	var reports []SourceReport
	for _, name := range slices.Sorted(maps.Keys(collector.sources)) {
		source := collector.sources[name]
		switch {
		case now.Sub(source.seen) >= sourceAge:
			delete(collector.sources, name)
			reports = append(reports, SourceReport{Source: name, LoadReport: lwtqueueplacement.LoadReport{Full: true}})
			continue
		case whole:
			reports = append(reports, SourceReport{Source: name, LoadReport: lwtqueueplacement.LoadReport{Full: true, Loads: maps.Clone(source.loads)}})
		case len(source.changed) > 0:
			reports = append(reports, SourceReport{Source: name, LoadReport: lwtqueueplacement.LoadReport{Loads: maps.Clone(source.changed)}})
		}
		clear(source.changed)
	}
	return reports
}

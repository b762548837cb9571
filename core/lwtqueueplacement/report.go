package lwtqueueplacement

import "time"

// LoadReport is the load of one daemon, as reported to the others.
type LoadReport struct {
	// Full reports whether Loads is complete: the daemon has no load on servers that are not
	// in it. Otherwise their load has not changed since the last report.
	Full bool
	// Loads holds the load by server id.
	Loads map[string]Load
}

// fullReportInterval is the time between two full reports. A full report compensates the loss
// of earlier ones. It must be shorter than peerLoadTTL, or unchanged loads would expire.
const fullReportInterval = 400 * time.Millisecond

// LoadReporter builds the reports of one daemon: the changes since the last one, and a full
// report every fullReportInterval. The zero value has reported nothing.
type LoadReporter struct {
	reported map[string]Load
	lastFull time.Time
}

// Report returns the next report and the reporter for the one after it. Loads is the current
// load of the daemon by server id, without idle servers. Due is false if there is nothing to
// send.
func (reporter LoadReporter) Report(
	now time.Time, loads map[string]Load,
) (next LoadReporter, report LoadReport, due bool) {
	if now.Sub(reporter.lastFull) >= fullReportInterval {
		return LoadReporter{reported: loads, lastFull: now}, LoadReport{Full: true, Loads: loads},
			len(loads) > 0 || len(reporter.reported) > 0
	}
	changes := map[string]Load{}
	for id, load := range loads {
		if reporter.reported[id] != load {
			changes[id] = load
		}
	}
	for id := range reporter.reported {
		if _, found := loads[id]; !found {
			changes[id] = Load{}
		}
	}
	return LoadReporter{reported: loads, lastFull: reporter.lastFull}, LoadReport{Loads: changes}, len(changes) > 0
}

// Intervals between reports grow with the number of daemons that receive them.
//
// They are designed for prompts that arrive at all daemons at once and occupy an engine for
// tens of milliseconds each. Until a daemon has received the report of a prompt, it sends its
// own prompts to the same engine, whose queue then exceeds the objective.
const (
	// maxReportsPerSecond bounds the reports that a daemon sends. Each takes about 17 us, so
	// this is a twentieth of a core.
	maxReportsPerSecond = 3000
	// minReportInterval is about the latency of a report.
	minReportInterval = 2 * time.Millisecond
	// nonPromptIntervalFactor is how many times longer the interval is for changes that add no
	// prompt. Without them the other daemons only overestimate the load of an engine, which
	// does less harm.
	nonPromptIntervalFactor = 4
	// minRelayedReportInterval is the shortest interval for such changes if relays forward
	// them. Each wake-up costs every daemon of a large fleet.
	minRelayedReportInterval = 25 * time.Millisecond
)

// PromptReportInterval returns the shortest interval before a report that adds a prompt.
// FanOut is the number of daemons that receive the report.
func PromptReportInterval(fanOut int) time.Duration {
	return max(time.Duration(fanOut)*time.Second/maxReportsPerSecond, minReportInterval)
}

// ReportInterval returns the interval before a report of changes that add no prompt. FanOut
// is the number of daemons that receive it; relayed says that relays forward it.
func ReportInterval(fanOut int, relayed bool) time.Duration {
	interval := nonPromptIntervalFactor * PromptReportInterval(fanOut)
	if relayed {
		return max(interval, minRelayedReportInterval)
	}
	return interval
}

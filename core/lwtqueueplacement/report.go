package lwtqueueplacement

import "time"

// LoadReport holds what one daemon has in work, for the others.
type LoadReport struct {
	// Full says that servers which are not named have no work of the daemon.
	// Otherwise the load of those is as it was in the reports before.
	Full bool
	// Loads holds the load by server id.
	Loads map[string]Load
}

// wholeInterval is the time between two whole reports. It makes good the loss
// of a report, and is shorter than peerLoadAge.
const wholeInterval = 400 * time.Millisecond

// LoadReporter makes the reports of one daemon: the changes since the last one, and
// from time to time the whole. The zero value has reported nothing.
type LoadReporter struct {
	reported map[string]Load
	whole    time.Time
}

// Report returns the next report and how the reporter goes on. Loads is what the
// daemon has in work, by server id, without idle servers. Due is false when the
// other daemons know it already.
func (reporter LoadReporter) Report(now time.Time, loads map[string]Load) (next LoadReporter, report LoadReport, due bool) {
	if now.Sub(reporter.whole) >= wholeInterval {
		return LoadReporter{reported: loads, whole: now}, LoadReport{Full: true, Loads: loads}, len(loads) > 0 || len(reporter.reported) > 0
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
	return LoadReporter{reported: loads, whole: reporter.whole}, LoadReport{Loads: changes}, len(changes) > 0
}

// Times between two reports. They grow with the number of daemons that one reports
// to.
//
// The load they answer: prompts that come to all daemons at once and each take an
// engine for tens of milliseconds. Until a daemon knows of a prompt, it sends
// its own to the same engine, whose queue then passes the objective.
const (
	// reportsPerSecond bounds the reports that a daemon sends: at about 17 us for
	// each one, a twentieth of a core.
	reportsPerSecond = 3000
	// minReportInterval is about the time that a report takes to arrive.
	minReportInterval = 2 * time.Millisecond
	// endReports is how many times longer a change waits that adds no prompt. The
	// other daemons then take an engine for fuller than it is, which is not as bad.
	endReports = 4
	// relayedEndInterval is the least time for that where relays pass changes on.
	// Each wake-up costs every daemon of a large fleet.
	relayedEndInterval = 25 * time.Millisecond
)

// PromptReportInterval is the shortest time between two reports of which the
// second adds a prompt. FanOut is the number of daemons that one reports to.
func PromptReportInterval(fanOut int) time.Duration {
	return max(time.Duration(fanOut)*time.Second/reportsPerSecond, minReportInterval)
}

// ReportInterval is the time until a change that adds no prompt is reported. Relayed
// says that relays pass it on.
func ReportInterval(fanOut int, relayed bool) time.Duration {
	interval := endReports * PromptReportInterval(fanOut)
	if relayed {
		return max(interval, relayedEndInterval)
	}
	return interval
}

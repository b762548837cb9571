package lwtburn

import (
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Snapshot contains the counts of one or more daemons.
type Snapshot struct {
	Daemons []string `json:"daemons"`
	Rows    []Row    `json:"rows"`
	Causes  []Cause  `json:"causes"`
}

// Row contains the counts of one key, with one entry for each of Windows.
type Row struct {
	Key    BudgetKey `json:"key"`
	Counts []Counts  `json:"counts"`
}

// Cause counts the bad requests of the last 24 hours by engine and by revision of
// the declared state, as seen by one daemon.
type Cause struct {
	Daemon   string `json:"daemon"`
	Engine   string `json:"engine"`
	Revision int64  `json:"number"`
	Counts   Counts `json:"counts"`
}

// With returns the sum of two snapshots.
func (snapshot Snapshot) With(other Snapshot) Snapshot {
	sum := Snapshot{
		Daemons: slices.Concat(snapshot.Daemons, other.Daemons),
		Causes:  slices.Concat(snapshot.Causes, other.Causes),
	}
	rows := map[BudgetKey]Row{}
	for _, row := range slices.Concat(snapshot.Rows, other.Rows) {
		rows[row.Key] = rows[row.Key].add(row)
	}
	for _, row := range rows {
		sum.Rows = append(sum.Rows, row)
	}
	return sum.sorted()
}

func (row Row) add(other Row) Row {
	if row.Counts == nil {
		return other
	}
	counts := slices.Clone(row.Counts)
	for i := range min(len(counts), len(other.Counts)) {
		counts[i] = counts[i].WithAll(other.Counts[i])
	}
	return Row{Key: row.Key, Counts: counts}
}

// Severity is the urgency of an alert.
type Severity string

// The severities of alerts.
const (
	SeverityPage   Severity = "page"
	SeverityTicket Severity = "ticket"
)

// alertRule raises an alert if the burn rate over both windows is at least
// minBurnRate. The short window ends the alert soon after the cause is fixed.
type alertRule struct {
	severity                Severity
	longWindow, shortWindow time.Duration
	minBurnRate             float64
}

// alertRules returns the alert rules. A burn rate of 14.4 over an hour spends 2% of
// a 30-day budget, 6 over six hours 5%, and 3 over a day or 1 over three days 10%.
func alertRules() []alertRule {
	return []alertRule{
		{SeverityPage, time.Hour, 5 * time.Minute, 14.4},
		{SeverityPage, 6 * time.Hour, 30 * time.Minute, 6},
		{SeverityTicket, 24 * time.Hour, 2 * time.Hour, 3},
		{SeverityTicket, 72 * time.Hour, 6 * time.Hour, 1},
	}
}

// Alert is an alert rule whose condition is met for a key.
type Alert struct {
	Severity Severity `json:"severity"`
	// LongWindow and ShortWindow are the rule's windows, encoded as text such as
	// "1h0m0s".
	LongWindow  lwtdeclaredstate.Duration `json:"long"`
	ShortWindow lwtdeclaredstate.Duration `json:"short"`
	// BurnRate is the rule's threshold, which the burn rates of both windows reach.
	BurnRate float64 `json:"rate"`
}

// Window contains the counts and the burn rate of one key over the last Span.
type Window struct {
	Span   lwtdeclaredstate.Duration `json:"span"`
	Counts Counts                    `json:"counts"`
	// BurnRate is the fraction of bad requests divided by the fraction that the
	// objective allows. At 1 the budget is spent exactly at the end of its period.
	BurnRate float64 `json:"burn"`
}

// Line contains the burn rates of one key over all Windows, and its alerts.
type Line struct {
	Key     BudgetKey `json:"key"`
	Target  float64   `json:"target"`
	Windows []Window  `json:"windows"`
	Alerts  []Alert   `json:"alerts,omitempty"`
}

// Report contains the burn rates of all keys with an objective.
type Report struct {
	Daemons []string `json:"daemons"`
	Lines   []Line   `json:"lines"`
	// WithoutObjective are the keys whose class has no objective.
	WithoutObjective []BudgetKey `json:"unbounded,omitempty"`
	Causes           []Cause     `json:"causes"`
}

// NewReport computes the burn rates of a snapshot under the given objectives.
func NewReport(snapshot Snapshot, objectives map[lwtdeclaredstate.Class]lwtdeclaredstate.Objective) Report {
	report := Report{Daemons: snapshot.Daemons, Causes: snapshot.Causes}
	for _, row := range snapshot.Rows {
		objective, found := objectives[row.Key.Class]
		if !found || objective.Target <= 0 || objective.Target >= 1 {
			report.WithoutObjective = append(report.WithoutObjective, row.Key)
			continue
		}
		report.Lines = append(report.Lines, newLine(row, objective.Target))
	}
	return report
}

func newLine(row Row, target float64) Line {
	line := Line{Key: row.Key, Target: target}
	burnRates := map[time.Duration]float64{}
	for i, window := range Windows() {
		if i >= len(row.Counts) {
			break
		}
		burnRates[window] = burnRate(row.Counts[i], target)
		line.Windows = append(line.Windows,
			Window{Span: lwtdeclaredstate.Duration(window), Counts: row.Counts[i], BurnRate: burnRates[window]})
	}
	for _, rule := range alertRules() {
		if burnRates[rule.longWindow] >= rule.minBurnRate && burnRates[rule.shortWindow] >= rule.minBurnRate {
			line.Alerts = append(line.Alerts, Alert{
				Severity: rule.severity, BurnRate: rule.minBurnRate,
				LongWindow: lwtdeclaredstate.Duration(rule.longWindow), ShortWindow: lwtdeclaredstate.Duration(rule.shortWindow),
			})
		}
	}
	return line
}

func burnRate(counts Counts, target float64) float64 {
	if counts.Total() == 0 {
		return 0
	}
	return float64(counts.Bad()) / float64(counts.Total()) / (1 - target)
}

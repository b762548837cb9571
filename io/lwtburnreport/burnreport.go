// Package lwtburnreport renders burn rate reports as text and HTML.
package lwtburnreport

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"lacewingtide/core/lwtburn"
)

const maxCauses = 20

// WriteText writes a report as text tables.
func WriteText(w io.Writer, report lwtburn.Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lines := []string{"daemons\t" + strings.Join(report.Daemons, ", "), "", tableHeader(report)}
	for _, line := range report.Lines {
		lines = append(lines, tableRow(line))
	}
	if len(report.Causes) > 0 {
		lines = append(lines, "", "last 24 hours: engine\tstate\tdaemon\tlate\tcut\trejected\tunknown")
	}
	for _, cause := range report.Causes[:min(maxCauses, len(report.Causes))] {
		lines = append(lines, fmt.Sprintf("%s\t%d\t%s\t%d\t%d\t%d\t%d", engineName(cause), cause.Revision, cause.Daemon,
			cause.Counts.Late, cause.Counts.Cut, cause.Counts.Rejected, cause.Counts.Unknown))
	}
	if _, err := fmt.Fprintln(table, strings.Join(lines, "\n")); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return table.Flush()
}

func tableHeader(report lwtburn.Report) string {
	columns := []string{"class", "caller", "target"}
	if len(report.Lines) > 0 {
		for _, window := range report.Lines[0].Windows {
			columns = append(columns, "burn "+windowName(window))
		}
	}
	return strings.Join(append(columns, "alerts"), "\t")
}

func tableRow(line lwtburn.Line) string {
	columns := []string{string(line.Key.Class), line.Key.Caller, fmt.Sprintf("%.4g", line.Target)}
	for _, window := range line.Windows {
		columns = append(columns, fmt.Sprintf("%.2f", window.BurnRate))
	}
	return strings.Join(append(columns, formatAlerts(line)), "\t")
}

func formatAlerts(line lwtburn.Line) string {
	if len(line.Alerts) == 0 {
		return "none"
	}
	names := make([]string, 0, len(line.Alerts))
	for _, alert := range line.Alerts {
		names = append(names,
			fmt.Sprintf("%s(burn>=%g over %s)", alert.Severity, alert.BurnRate, shortDuration(alert.LongWindow.Std().String())))
	}
	return strings.Join(names, " ")
}

func windowName(window lwtburn.Window) string { return shortDuration(window.Span.Std().String()) }

// shortDuration removes trailing zero units from a formatted duration: "1h0m0s"
// becomes "1h".
func shortDuration(text string) string {
	text = strings.TrimSuffix(text, "0s")
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func engineName(cause lwtburn.Cause) string {
	if cause.Engine == "" {
		return "(none)"
	}
	return cause.Engine
}

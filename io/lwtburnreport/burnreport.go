// Package lwtburnreport renders service-level burn reports as text and HTML.
package lwtburnreport

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"lacewingtide/core/lwtburn"
)

const maxCauses = 20

// WriteText writes a report as tables.
func WriteText(w io.Writer, report lwtburn.Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lines := []string{"daemons\t" + strings.Join(report.Daemons, ", "), "", header(report)}
	for _, line := range report.Lines {
		lines = append(lines, row(line))
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

func header(report lwtburn.Report) string {
	columns := []string{"class", "caller", "target"}
	if len(report.Lines) > 0 {
		for _, window := range report.Lines[0].Windows {
			columns = append(columns, "burn "+spanName(window))
		}
	}
	return strings.Join(append(columns, "alerts"), "\t")
}

func row(line lwtburn.Line) string {
	columns := []string{string(line.Key.Class), line.Key.Caller, fmt.Sprintf("%.4g", line.Target)}
	for _, window := range line.Windows {
		columns = append(columns, fmt.Sprintf("%.2f", window.BurnRate))
	}
	return strings.Join(append(columns, alertNames(line)), "\t")
}

func alertNames(line lwtburn.Line) string {
	if len(line.Alerts) == 0 {
		return "none"
	}
	names := make([]string, 0, len(line.Alerts))
	for _, alert := range line.Alerts {
		names = append(names, fmt.Sprintf("%s(burn>=%g over %s)", alert.Severity, alert.BurnRate, short(alert.LongWindow.Std().String())))
	}
	return strings.Join(names, " ")
}

func spanName(window lwtburn.Window) string { return short(window.Span.Std().String()) }

// short drops the zero parts of a span's text: "1h0m0s" becomes "1h".
func short(span string) string {
	span = strings.TrimSuffix(span, "0s")
	if strings.HasSuffix(span, "h0m") {
		span = strings.TrimSuffix(span, "0m")
	}
	return span
}

func engineName(cause lwtburn.Cause) string {
	if cause.Engine == "" {
		return "(none)"
	}
	return cause.Engine
}

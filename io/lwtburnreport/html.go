package lwtburnreport

import (
	"bytes"
	"fmt"
	"html/template"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lacewingtide/core/lwtburn"
)

const (
	plotWidth    = 16 * vg.Centimeter
	plotHeight   = 8 * vg.Centimeter
	maxPlotLines = 7
)

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"alerts": formatAlerts,
	"span":   windowName,
	"engine": engineName,
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 70em }
table { border-collapse: collapse; margin: 1em 0 }
td, th { border: 1px solid #999; padding: .2em .6em; text-align: right }
td:first-child, th:first-child { text-align: left }
.alert { background: #fdd }
</style></head><body>
<h1>Service-level burn</h1>
<p>Daemons: {{range .Report.Daemons}}{{.}} {{end}}</p>
{{.Plot}}
<table><tr><th>class</th><th>caller</th><th>target</th>
{{if .Report.Lines}}{{range (index .Report.Lines 0).Windows}}<th>burn {{span .}}</th>{{end}}{{end}}<th>alerts</th></tr>
{{range .Report.Lines}}<tr{{if .Alerts}} class="alert"{{end}}><td>{{.Key.Class}}</td><td>{{.Key.Caller}}</td><td>{{.Target}}</td>
{{range .Windows}}<td>{{printf "%.2f" .BurnRate}}</td>{{end}}<td>{{alerts .}}</td></tr>
{{end}}</table>
<h2>What spent the budget in the last 24 hours</h2>
<table><tr><th>engine</th><th>state</th><th>daemon</th><th>late</th><th>cut</th><th>rejected</th><th>unknown</th></tr>
{{range .Report.Causes}}<tr><td>{{engine .}}</td><td>{{.Revision}}</td><td>{{.Daemon}}</td><td>{{.Counts.Late}}</td><td>{{.Counts.Cut}}</td><td>{{.Counts.Rejected}}</td><td>{{.Counts.Unknown}}</td></tr>
{{end}}</table>
</body></html>
`))

// WriteHTML writes a report as an HTML page with an inline SVG plot.
func WriteHTML(w io.Writer, report lwtburn.Report) error {
	var plotSVG template.HTML
	var err error
	if plotSVG, err = plotBurn(report); err != nil {
		return err
	}
	data := struct {
		Report lwtburn.Report
		Plot   template.HTML
	}{report, plotSVG}
	if err := pageTemplate.Execute(w, data); err != nil {
		return fmt.Errorf("write report page: %w", err)
	}
	return nil
}

// plotBurn plots the burn rate over the window length for the keys with the
// highest burn rates. It returns "" if the report has no lines.
func plotBurn(report lwtburn.Report) (template.HTML, error) {
	burnPlot := plot.New()
	burnPlot.Title.Text = "Burn rate by window"
	burnPlot.X.Label.Text = "window in hours"
	burnPlot.X.Scale = plot.LogScale{}
	burnPlot.X.Tick.Marker = plot.LogTicks{Prec: -1}
	burnPlot.Y.Label.Text = "burn rate"
	burnPlot.Y.Min = 0
	burnPlot.Legend.Top = true
	var lines []any
	for _, line := range linesWithHighestBurn(report.Lines) {
		lines = append(lines, string(line.Key.Class)+" "+line.Key.Caller, plotPoints(line))
	}
	if len(lines) == 0 {
		return "", nil
	}
	if err := plotutil.AddLinePoints(burnPlot, lines...); err != nil {
		return "", fmt.Errorf("plot burn: %w", err)
	}
	return renderSVG(burnPlot)
}

func plotPoints(line lwtburn.Line) plotter.XYs {
	xys := make(plotter.XYs, 0, len(line.Windows))
	for _, window := range line.Windows {
		xys = append(xys, plotter.XY{X: window.Span.Std().Hours(), Y: window.BurnRate})
	}
	return xys
}

func renderSVG(burnPlot *plot.Plot) (template.HTML, error) {
	var writer io.WriterTo
	var err error
	if writer, err = burnPlot.WriterTo(plotWidth, plotHeight, "svg"); err != nil {
		return "", fmt.Errorf("draw burn: %w", err)
	}
	var picture bytes.Buffer
	if _, err := writer.WriteTo(&picture); err != nil {
		return "", fmt.Errorf("draw burn: %w", err)
	}
	// The plot library escapes the text that it draws, so the SVG is safe HTML.
	start := max(0, bytes.Index(picture.Bytes(), []byte("<svg")))
	return template.HTML(picture.Bytes()[start:]), nil
}

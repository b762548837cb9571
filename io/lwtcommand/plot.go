package lwtcommand

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lacewingtide/core/lwtservingsim"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// plotMixShift draws the goodput of each policy over time.
func plotMixShift(path string, experiment lwtservingsim.Experiment, results []lwtservingsim.Result) error {
	picture := plot.New()
	picture.Title.Text = fmt.Sprintf("%s, load %.2f, seed %d",
		experiment.Deployment.Name, experiment.Load, experiment.Seed)
	picture.X.Label.Text = "minutes"
	picture.Y.Label.Text = "requests per second"
	picture.Y.Min = 0
	lines := []any{"offered", ratesBySlice(results[0].OfferedBySlice, results[0])}
	for _, result := range results {
		lines = append(lines, result.Name, ratesBySlice(result.OnTimeBySlice, result))
	}
	if err := plotutil.AddLines(picture, lines...); err != nil {
		return fmt.Errorf("draw %s: %w", path, err)
	}
	if err := picture.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

// ratesBySlice converts counts per time slice to requests per second over minutes.
func ratesBySlice(counts []int, result lwtservingsim.Result) plotter.XYs {
	// The last slice holds only requests that arrive exactly at the end.
	counts = counts[:len(counts)-1]
	xys := make(plotter.XYs, len(counts))
	for i, count := range counts {
		xys[i].X = float64(i) * result.SliceDuration.Minutes()
		xys[i].Y = float64(count) / result.SliceDuration.Seconds()
	}
	return xys
}

package lwtburnreport

import (
	"cmp"
	"slices"

	"lacewingtide/core/lwtburn"
)

// linesWithHighestBurn returns at most maxPlotLines lines, those with the highest
// burn rate over any window first.
func linesWithHighestBurn(lines []lwtburn.Line) []lwtburn.Line {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b lwtburn.Line) int { return cmp.Compare(maxBurnRate(b), maxBurnRate(a)) })
	return sorted[:min(maxPlotLines, len(sorted))]
}

func maxBurnRate(line lwtburn.Line) float64 {
	highest := 0.0
	for _, window := range line.Windows {
		highest = max(highest, window.BurnRate)
	}
	return highest
}

package lwtburnreport

import (
	"cmp"
	"slices"

	"lacewingtide/core/lwtburn"
)

// worst returns the lines with the highest burn over any window, at most
// plotLines of them.
func worst(lines []lwtburn.Line) []lwtburn.Line {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b lwtburn.Line) int { return cmp.Compare(highest(b), highest(a)) })
	return sorted[:min(plotLines, len(sorted))]
}

func highest(line lwtburn.Line) float64 {
	most := 0.0
	for _, window := range line.Windows {
		most = max(most, window.BurnRate)
	}
	return most
}

package load

import (
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 0.7 * vg.Centimeter
)

// plotReport draws the TTFT median and p99 of each policy and of the omniscient bound as bars.
func plotReport(r *Report, file string) error {
	p := plot.New()
	p.Title.Text = "Time to first token, profile " + r.Profile
	p.Y.Label.Text = "ms of engine time"
	p.Legend.Top = true
	names := slices.Sorted(maps.Keys(r.Policies))
	var medians, p99s plotter.Values
	for _, name := range names {
		medians = append(medians, r.Policies[name].TTFTP50Ms)
		p99s = append(p99s, r.Policies[name].TTFTP99Ms)
	}
	medians, p99s = append(medians, r.OmniscientBound.TTFTP50Ms), append(p99s, r.OmniscientBound.TTFTP99Ms)
	for i, bars := range []struct {
		label  string
		values plotter.Values
	}{{"median", medians}, {"99 in 100", p99s}} {
		chart, err := plotter.NewBarChart(bars.values, barWidth)
		if err != nil {
			return err
		}
		chart.Color = plotutil.Color(i)
		chart.Offset = barWidth * vg.Length(2*i-1) / 2
		p.Add(chart)
		p.Legend.Add(bars.label, chart)
	}
	p.NominalX(append(names, "best")...)
	return p.Save(plotWidth, plotHeight, file)
}

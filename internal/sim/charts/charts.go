// Package charts makes the charts of HTML reports on simulated and rehearsed runs.
//
// It owns their form only, and must not compute figures. The pages load the chart library from the
// network when they are viewed.
package charts

import (
	"fmt"
	"maps"
	"slices"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/opts"

	"caperlatch/internal/sim/checker"
)

// Series is a named row of values, one for each name on the horizontal axis.
type Series struct {
	Name   string
	Values []float64
}

// Timeline returns a chart of counts of tasks over time, with a line for each name in the counts of
// a sample.
func Timeline(title string, samples []checker.Sample, counts func(checker.Sample) map[string]int) *charts.Line {
	line := charts.NewLine()
	line.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: title}),
		charts.WithXAxisOpts(opts.XAxis{Name: "seconds"}),
		charts.WithYAxisOpts(opts.YAxis{Name: "tasks"}),
		charts.WithLegendOpts(opts.Legend{Top: "bottom"}),
	)
	names := map[string]bool{}
	var at []string
	for _, s := range samples {
		at = append(at, fmt.Sprintf("%.0f", s.At.Seconds()))
		for name := range counts(s) {
			names[name] = true
		}
	}
	line.SetXAxis(at)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		var values []opts.LineData
		for _, s := range samples {
			values = append(values, opts.LineData{Value: counts(s)[name]})
		}
		line.AddSeries(name, values)
	}
	return line
}

// DurationBars returns a chart of times in seconds, with a bar of each series for each name.
func DurationBars(title, subtitle string, names []string, series ...Series) *charts.Bar {
	bar := charts.NewBar()
	bar.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: title, Subtitle: subtitle}),
		charts.WithYAxisOpts(opts.YAxis{Name: "seconds"}),
		charts.WithLegendOpts(opts.Legend{Top: "bottom"}),
	)
	bar.SetXAxis(names)
	for _, s := range series {
		values := []opts.BarData{}
		for _, v := range s.Values {
			values = append(values, opts.BarData{Value: v})
		}
		bar.AddSeries(s.Name, values)
	}
	return bar
}

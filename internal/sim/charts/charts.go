// Package charts creates the charts in HTML reports of simulated and rehearsed runs.
//
// It owns only the appearance of the charts, and must not compute any results. When a report is viewed, the browser
// loads the chart library from the network.
package charts

import (
	"fmt"
	"maps"
	"slices"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/opts"

	"caperlatch/internal/sim/checker"
)

// Series is a named data series, with one value for each name on the horizontal axis.
type Series struct {
	Name   string
	Values []float64
}

// Timeline returns a line chart of numbers of tasks over time. The function counts returns the numbers of one sample by
// name; the chart has a line for each name that occurs in any sample.
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

// DurationBars returns a bar chart of durations in seconds. It has a group of bars for each name, with a bar for each
// series.
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

package zonereport

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"

	"caperlatch/internal/standin"
)

// WriteHTML writes a report of runs: for each its timelines by class and by zone, and for each
// kind of runs the quantiles of the waits.
func WriteHTML(w io.Writer, runs []*Run) error {
	groups, err := Summarize(runs)
	if err != nil {
		return err
	}
	page := components.NewPage()
	page.PageTitle = "Lost zones (stand-ins, simulated time)"
	for _, g := range groups {
		page.AddCharts(waitsChart(&g))
	}
	for _, r := range runs {
		page.AddCharts(
			timeline("tasks waiting by class: "+r.title(), r, func(s standin.Sample) map[string]int { return s.Waiting }),
			timeline("tasks on machines by zone: "+r.title(), r, func(s standin.Sample) map[string]int { return s.Busy }),
		)
	}
	if err := page.Render(w); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// policyName names whether the policy was on.
func policyName(on bool) string {
	if on {
		return "policy on"
	}
	return "policy off"
}

// title names a run.
func (r *Run) title() string {
	return fmt.Sprintf("%s, %s, %d machines, seed %d (cut at %.0f s, restored at %.0f s)",
		r.Pattern, policyName(r.Policy), r.Machines, r.Seed, r.Cut.Seconds(), r.Restored.Seconds())
}

// waitsChart shows the waits of the classes in runs of one kind.
func waitsChart(g *Group) *charts.Bar {
	bar := charts.NewBar()
	bar.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{
			Title: fmt.Sprintf("%s, %s, %d machines, %d runs", g.Pattern, policyName(g.Policy), g.Machines, g.Runs),
			Subtitle: fmt.Sprintf("repeated %.0f task seconds, cost %.2f, %.0f machines rented, %.0f of them without a start",
				g.RepeatedS, g.Money, g.Rented, g.Unused),
		}),
		charts.WithYAxisOpts(opts.YAxis{Name: "seconds"}),
		charts.WithLegendOpts(opts.Legend{Top: "bottom"}),
	)
	var names []string
	median, p99, recovery := []opts.BarData{}, []opts.BarData{}, []opts.BarData{}
	for _, c := range g.Classes {
		names = append(names, c.Class)
		median = append(median, opts.BarData{Value: c.MedianS})
		p99 = append(p99, opts.BarData{Value: c.P99S})
		recovery = append(recovery, opts.BarData{Value: c.RecoveryS})
	}
	bar.SetXAxis(names).
		AddSeries("median wait", median).
		AddSeries("99% of the waits", p99).
		AddSeries("mean recovery", recovery)
	return bar
}

// timeline shows counts over a run.
func timeline(title string, r *Run, counts func(standin.Sample) map[string]int) *charts.Line {
	line := charts.NewLine()
	line.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: title}),
		charts.WithXAxisOpts(opts.XAxis{Name: "seconds"}),
		charts.WithYAxisOpts(opts.YAxis{Name: "tasks"}),
		charts.WithLegendOpts(opts.Legend{Top: "bottom"}),
	)
	names := map[string]bool{}
	var at []string
	for _, s := range r.Samples {
		at = append(at, fmt.Sprintf("%.0f", s.At.Seconds()))
		for name := range counts(s) {
			names[name] = true
		}
	}
	line.SetXAxis(at)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		var values []opts.LineData
		for _, s := range r.Samples {
			values = append(values, opts.LineData{Value: counts(s)[name]})
		}
		line.AddSeries(name, values)
	}
	return line
}

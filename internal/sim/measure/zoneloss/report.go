package zoneloss

import (
	"fmt"
	"io"

	echarts "github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"

	"caperlatch/internal/sim/charts"
	"caperlatch/internal/sim/checker"
)

// WriteHTML writes a report of runs as an HTML page. The page shows, for each scenario, the quantiles of the waiting
// times, and for each run, timelines of waiting tasks by class and of running tasks by zone.
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
			charts.Timeline("tasks waiting by class: "+r.title(), r.Samples, func(s checker.Sample) map[string]int { return s.Waiting }),
			charts.Timeline("tasks on machines by zone: "+r.title(), r.Samples, func(s checker.Sample) map[string]int { return s.Running }),
		)
	}
	if err := page.Render(w); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// title returns the name of a run in the titles of its charts.
func (r *Run) title() string {
	return fmt.Sprintf("%s, seed %d (cut at %.0f s, restored at %.0f s)", r.Scenario, r.Seed, r.FirstCutAt.Seconds(), r.LastRestoredAt.Seconds())
}

// waitsChart returns a chart of the waiting times and the recovery times of the classes in one scenario.
func waitsChart(g *Group) *echarts.Bar {
	var names []string
	median, p99, recovery := charts.Series{Name: "median wait"}, charts.Series{Name: "99% of the waits"}, charts.Series{Name: "mean recovery"}
	for _, c := range g.Classes {
		names = append(names, c.Class)
		median.Values = append(median.Values, c.MedianS)
		p99.Values = append(p99.Values, c.P99S)
		recovery.Values = append(recovery.Values, c.MeanRecoveryS)
	}
	title := fmt.Sprintf("%s, %d runs", g.Scenario, g.Runs)
	subtitle := fmt.Sprintf("repeated %.0f task seconds, cost %.2f, %.0f machines rented, %.0f of them without a start",
		g.RepeatedWorkS, g.Cost, g.LaunchedMachines, g.UnusedMachines)
	return charts.DurationBars(title, subtitle, names, median, p99, recovery)
}

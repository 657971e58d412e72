package lab

import (
	"fmt"
	"io"

	"github.com/go-echarts/go-echarts/v2/components"

	"caperlatch/internal/sim/charts"
	"caperlatch/internal/sim/checker"
)

// WriteHTML writes a report of the run as an HTML page.
func (s *Summary) WriteHTML(w io.Writer) error {
	page := components.NewPage()
	page.PageTitle = "A cluster on one machine (stand-ins)"
	var names []string
	median, p95, runtimes := charts.Series{Name: "median wait"}, charts.Series{Name: "95% of the waits"}, charts.Series{Name: "median run"}
	for _, c := range s.Classes {
		names = append(names, c.Class)
		median.Values = append(median.Values, c.Waits.Median.Seconds())
		p95.Values = append(p95.Values, c.Waits.P95.Seconds())
		runtimes.Values = append(runtimes.Values, c.Runtimes.Median.Seconds())
	}
	subtitle := fmt.Sprintf("seed %d: %d terms of leaders on %d nodes, %d machines rented for %.4f, %d rules broken",
		s.Seed, s.LeaderTerms, s.Nodes, s.LaunchedMachines, s.Cost, len(s.Violations))
	page.AddCharts(
		charts.DurationBars("Tasks by class", subtitle, names, median, p95, runtimes),
		charts.Timeline("tasks waiting by class", s.Samples, func(s checker.Sample) map[string]int { return s.Waiting }),
		charts.Timeline("tasks on machines by zone", s.Samples, func(s checker.Sample) map[string]int { return s.Running }),
	)
	if err := page.Render(w); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

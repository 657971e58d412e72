// Package detection computes how soon failures of nodes were detected by the other nodes, from
// measured times: as quantiles and as a plot.
//
// It owns the statistics and the form of the plot. It measures nothing itself, and must not depend
// on how nodes detect failures.
package detection

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/beorn7/perks/quantile"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"caperlatch/internal/micros"
	"caperlatch/internal/sim/measure/failover"
)

// Verdict is how soon one node detected the failure of another; times count from the failure.
type Verdict struct {
	Nodes     int // in the cluster
	Cause     failover.Cause
	Leader    bool // whether the node that failed led
	Suspected micros.Micros
	Confirmed micros.Micros
}

// group is what verdicts are grouped by.
type group struct {
	nodes  int
	cause  failover.Cause
	leader bool
}

// String names the group.
func (g group) String() string {
	role := "a follower"
	if g.leader {
		role = "the leader"
	}
	return fmt.Sprintf("%d nodes, %s %s", g.nodes, role, g.cause)
}

// quantileErrors are the quantiles that are computed, with the error in rank of each.
var quantileErrors = map[float64]float64{0.5: 0.01, 0.95: 0.005, 1: 0.0001}

// Summary is the distribution of the verdicts of a group.
type Summary struct {
	Name                 string
	Count                int
	Suspected, Confirmed Quantiles
}

// Quantiles are quantiles of times, in seconds.
type Quantiles struct{ Median, P95, Max float64 }

// String formats the quantiles.
func (q Quantiles) String() string { return fmt.Sprintf("%.2f %.2f %.2f", q.Median, q.P95, q.Max) }

// String returns one line of a report.
func (s Summary) String() string {
	return fmt.Sprintf("%s: %d verdicts; median, 95%%, longest in s: suspected %v, confirmed %v", s.Name, s.Count, s.Suspected, s.Confirmed)
}

// Summarize summarizes verdicts by group, in the order of their names.
func Summarize(verdicts []Verdict) (summaries []Summary) {
	for g, members := range groupVerdicts(verdicts) {
		summaries = append(summaries, Summary{
			Name:      g.String(),
			Count:     len(members),
			Suspected: quantiles(members, func(v Verdict) micros.Micros { return v.Suspected }),
			Confirmed: quantiles(members, func(v Verdict) micros.Micros { return v.Confirmed }),
		})
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return cmp.Compare(a.Name, b.Name) })
	return summaries
}

// groupVerdicts groups verdicts by the cluster, and by what failed how.
func groupVerdicts(verdicts []Verdict) map[group][]Verdict {
	groups := map[group][]Verdict{}
	for _, v := range verdicts {
		g := group{v.Nodes, v.Cause, v.Leader}
		groups[g] = append(groups[g], v)
	}
	return groups
}

// quantiles returns the quantiles of one of the times of each verdict.
func quantiles(verdicts []Verdict, timeOf func(Verdict) micros.Micros) Quantiles {
	stream := quantile.NewTargeted(quantileErrors)
	for _, v := range verdicts {
		stream.Insert(timeOf(v).Seconds())
	}
	return Quantiles{stream.Query(0.5), stream.Query(0.95), stream.Query(1)}
}

// Size of the plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WriteSVG writes a plot of the share of the verdicts of each group that had come after what time.
func WriteSVG(w io.Writer, verdicts []Verdict) error {
	p := plot.New()
	p.Title.Text = "Failures of nodes that are confirmed"
	p.X.Label.Text = "seconds after the failure"
	p.Y.Label.Text = "share of the verdicts"
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, 1
	groups := groupVerdicts(verdicts)
	byName := func(a, b group) int { return strings.Compare(a.String(), b.String()) }
	for i, g := range slices.SortedFunc(maps.Keys(groups), byName) {
		line, err := plotter.NewLine(distribution(groups[g]))
		if err != nil {
			return fmt.Errorf("plot of %v: %w", g, err)
		}
		line.StepStyle = plotter.PostStep
		line.Color = lineColors[i%len(lineColors)]
		p.Add(line)
		p.Legend.Add(g.String(), line)
	}
	p.Legend.Left, p.Legend.Top = true, true
	canvas, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	_, err = canvas.WriteTo(w)
	return err
}

// distribution returns the empirical distribution of the times until verdicts were confirmed.
func distribution(verdicts []Verdict) plotter.XYs {
	var seconds []float64
	for _, v := range verdicts {
		seconds = append(seconds, v.Confirmed.Seconds())
	}
	slices.Sort(seconds)
	points := plotter.XYs{{X: 0, Y: 0}}
	for i, s := range seconds {
		points = append(points, plotter.XY{X: s, Y: float64(i+1) / float64(len(seconds))})
	}
	return points
}

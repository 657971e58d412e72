// Package detection computes statistics of measured failure detection times, that is, of how soon nodes detected the
// failure of another node. It returns quantiles and writes a plot.
//
// It owns the statistics and the appearance of the plot. It measures nothing itself, and must not depend on how nodes
// detect failures.
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

// Verdict records how soon one node detected the failure of another. Its times are measured from the failure.
type Verdict struct {
	Nodes     int // number of nodes in the cluster
	Cause     failover.Cause
	Leader    bool          // whether the failed node was the leader
	Suspected micros.Micros // until the node suspected the failure
	Confirmed micros.Micros // until the node confirmed the failure
}

// group is the key by which verdicts are grouped: the size of the cluster, and which node failed in what way.
type group struct {
	nodes  int
	cause  failover.Cause
	leader bool
}

// String returns the name of the group in reports and plots.
func (g group) String() string {
	role := "a follower"
	if g.leader {
		role = "the leader"
	}
	return fmt.Sprintf("%d nodes, %s %s", g.nodes, role, g.cause)
}

// quantileRankErrors maps each quantile that is computed to its maximum rank error.
var quantileRankErrors = map[float64]float64{0.5: 0.01, 0.95: 0.005, 1: 0.0001}

// Summary contains the number of verdicts in a group and the quantiles of their times.
type Summary struct {
	Name                 string
	Count                int
	Suspected, Confirmed Quantiles
}

// Quantiles contains quantiles of durations, in seconds.
type Quantiles struct{ Median, P95, Max float64 }

// String returns the quantiles as text, separated by spaces.
func (q Quantiles) String() string { return fmt.Sprintf("%.2f %.2f %.2f", q.Median, q.P95, q.Max) }

// String returns the summary as one line of text.
func (s Summary) String() string {
	return fmt.Sprintf("%s: %d verdicts; median, 95%%, longest in s: suspected %v, confirmed %v", s.Name, s.Count, s.Suspected, s.Confirmed)
}

// Summarize returns a summary for each group of verdicts, sorted by the names of the groups.
func Summarize(verdicts []Verdict) (summaries []Summary) {
	for g, groupMembers := range groupVerdicts(verdicts) {
		summaries = append(summaries, Summary{
			Name:      g.String(),
			Count:     len(groupMembers),
			Suspected: quantiles(groupMembers, func(v Verdict) micros.Micros { return v.Suspected }),
			Confirmed: quantiles(groupMembers, func(v Verdict) micros.Micros { return v.Confirmed }),
		})
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return cmp.Compare(a.Name, b.Name) })
	return summaries
}

// groupVerdicts groups verdicts by the size of the cluster, the cause of the failure and the role of the failed node.
func groupVerdicts(verdicts []Verdict) map[group][]Verdict {
	groups := map[group][]Verdict{}
	for _, v := range verdicts {
		g := group{v.Nodes, v.Cause, v.Leader}
		groups[g] = append(groups[g], v)
	}
	return groups
}

// quantiles returns the quantiles of the times that timeOf returns for the verdicts.
func quantiles(verdicts []Verdict, timeOf func(Verdict) micros.Micros) Quantiles {
	stream := quantile.NewTargeted(quantileRankErrors)
	for _, v := range verdicts {
		stream.Insert(timeOf(v).Seconds())
	}
	return Quantiles{stream.Query(0.5), stream.Query(0.95), stream.Query(1)}
}

// Dimensions of the plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WriteSVG writes an SVG plot with a line for each group of verdicts. It shows the fraction of verdicts in which the
// failure was confirmed within a given time.
func WriteSVG(w io.Writer, verdicts []Verdict) error {
	p := plot.New()
	p.Title.Text = "Failures of nodes that are confirmed"
	p.X.Label.Text = "seconds after the failure"
	p.Y.Label.Text = "share of the verdicts"
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, 1
	groups := groupVerdicts(verdicts)
	byName := func(a, b group) int { return strings.Compare(a.String(), b.String()) }
	for i, g := range slices.SortedFunc(maps.Keys(groups), byName) {
		line, err := plotter.NewLine(confirmationDistribution(groups[g]))
		if err != nil {
			return fmt.Errorf("plotting the line for %v: %w", g, err)
		}
		line.StepStyle = plotter.PostStep
		line.Color = lineColors[i%len(lineColors)]
		p.Add(line)
		p.Legend.Add(g.String(), line)
	}
	p.Legend.Left, p.Legend.Top = true, true
	canvas, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return fmt.Errorf("rendering the plot as SVG: %w", err)
	}
	_, err = canvas.WriteTo(w)
	return err
}

// confirmationDistribution returns the empirical distribution function of the times until verdicts were confirmed.
func confirmationDistribution(verdicts []Verdict) plotter.XYs {
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

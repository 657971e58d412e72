// Package detection keeps how soon failures of nodes were suspected and confirmed by the others,
// as measured, and tells it by quantiles and as a plot.
//
// It owns the statistics and the plot's form. It measures nothing itself.
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

// Verdict is what one node thought of a failure of another; times count from the failure.
type Verdict struct {
	Nodes     int
	Cause     failover.Cause
	Leader    bool // the node that failed led
	Suspected micros.Micros
	Confirmed micros.Micros
}

// kind is what verdicts are grouped by.
type kind struct {
	nodes  int
	cause  failover.Cause
	leader bool
}

// String names a group.
func (k kind) String() string {
	role := "a follower"
	if k.leader {
		role = "the leader"
	}
	return fmt.Sprintf("%d nodes, %s %s", k.nodes, role, k.cause)
}

// quantileTargets are the quantiles that are told, and how exactly each is kept.
var quantileTargets = map[float64]float64{0.5: 0.01, 0.95: 0.005, 1: 0.0001}

// Summary tells how soon the verdicts of a group came.
type Summary struct {
	Name                 string
	Count                int
	Suspected, Confirmed Quantiles
}

// Quantiles are quantiles, in seconds.
type Quantiles struct{ Median, P95, Max float64 }

// String tells times.
func (t Quantiles) String() string { return fmt.Sprintf("%.2f %.2f %.2f", t.Median, t.P95, t.Max) }

// String is one line of a report.
func (s Summary) String() string {
	return fmt.Sprintf("%s: %d verdicts; median, 95%%, longest in s: suspected %v, confirmed %v", s.Name, s.Count, s.Suspected, s.Confirmed)
}

// Summarize summarizes verdicts by group, in the order of their names.
func Summarize(verdicts []Verdict) (all []Summary) {
	for k, group := range grouped(verdicts) {
		all = append(all, Summary{
			Name:      k.String(),
			Count:     len(group),
			Suspected: times(group, func(v Verdict) micros.Micros { return v.Suspected }),
			Confirmed: times(group, func(v Verdict) micros.Micros { return v.Confirmed }),
		})
	}
	slices.SortFunc(all, func(a, b Summary) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// grouped parts verdicts by what failed how.
func grouped(verdicts []Verdict) map[kind][]Verdict {
	groups := map[kind][]Verdict{}
	for _, v := range verdicts {
		k := kind{v.Nodes, v.Cause, v.Leader}
		groups[k] = append(groups[k], v)
	}
	return groups
}

// times are the quantiles of one time of each verdict.
func times(group []Verdict, of func(Verdict) micros.Micros) Quantiles {
	stream := quantile.NewTargeted(quantileTargets)
	for _, v := range group {
		stream.Insert(of(v).Seconds())
	}
	return Quantiles{stream.Query(0.5), stream.Query(0.95), stream.Query(1)}
}

// Size of the plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WriteSVG plots, for each group, which share of the verdicts had come after what time.
func WriteSVG(w io.Writer, verdicts []Verdict) error {
	p := plot.New()
	p.Title.Text = "Failures of nodes that are confirmed"
	p.X.Label.Text = "seconds after the failure"
	p.Y.Label.Text = "share of the verdicts"
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, 1
	groups := grouped(verdicts)
	byName := func(a, b kind) int { return strings.Compare(a.String(), b.String()) }
	for i, k := range slices.SortedFunc(maps.Keys(groups), byName) {
		line, err := plotter.NewLine(shares(groups[k]))
		if err != nil {
			return fmt.Errorf("plot of %v: %w", k, err)
		}
		line.StepStyle = plotter.PostStep
		line.Color = lineColors[i%len(lineColors)]
		p.Add(line)
		p.Legend.Add(k.String(), line)
	}
	p.Legend.Left, p.Legend.Top = true, true
	canvas, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	_, err = canvas.WriteTo(w)
	return err
}

// shares is the empirical distribution of the times until verdicts.
func shares(group []Verdict) plotter.XYs {
	var seconds []float64
	for _, v := range group {
		seconds = append(seconds, v.Confirmed.Seconds())
	}
	slices.Sort(seconds)
	points := plotter.XYs{{X: 0, Y: 0}}
	for i, s := range seconds {
		points = append(points, plotter.XY{X: s, Y: float64(i+1) / float64(len(seconds))})
	}
	return points
}

// Package zoneloss summarizes measured losses of zones: how long classes of work took to
// recover, how long tasks waited, what was done twice and what it cost, with an HTML report.
//
// It owns the form of a measurement and its statistics. It measures nothing itself and knows
// nothing of how a zone is lost.
package zoneloss

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"

	"caperlatch/internal/sim/checker"
)

// accuracy is the relative error of the quantiles of waits.
const accuracy = 0.01

// Run is one measured run.
type Run struct {
	Pattern  string // of the cuts
	Policy   bool   // the policy on zones was on
	Machines int    // that there could be in all zones
	Seed     uint64

	Cut, Restored time.Duration // the first, and the end of the last
	Samples       []checker.Sample
	Waits         map[string]*ddsketch.DDSketch // seconds until tasks began, by class
	// RepeatedS is the time on machines of starts that did not end done, in task seconds.
	RepeatedS float64
	Cost      float64 // of machines from the first cut on, at the catalog's prices
	Launched  int     // from the first cut on
	Unused    int     // of these, without a start
}

// NewRun is a run without measurements.
func NewRun(pattern string, policy bool, machines int, seed uint64) *Run {
	return &Run{Pattern: pattern, Policy: policy, Machines: machines, Seed: seed, Waits: map[string]*ddsketch.DDSketch{}}
}

// RecordHistory takes what a history holds from the first cut on, with a sample a second.
func (r *Run) RecordHistory(h *checker.History) (err error) {
	r.Samples, r.RepeatedS = h.Samples(), h.RepeatedWork().Seconds()
	for _, s := range r.Samples {
		if s.At > r.Cut {
			r.Cost += s.PricePerHour / time.Hour.Seconds()
		}
	}
	h.EachWait(r.Cut, func(class string, wait time.Duration) {
		err = errors.Join(err, r.AddWait(class, wait.Seconds()))
	})
	return err
}

// AddWait notes how long a task of a class waited for its first start.
func (r *Run) AddWait(class string, seconds float64) error {
	s := r.Waits[class]
	if s == nil {
		var err error
		if s, err = ddsketch.NewDefaultDDSketch(accuracy); err != nil {
			return fmt.Errorf("sketch: %w", err)
		}
		r.Waits[class] = s
	}
	if err := s.Add(max(0, seconds)); err != nil {
		return fmt.Errorf("wait of %v s: %w", seconds, err)
	}
	return nil
}

// Bounds of what counts as recovered.
const (
	calmFor  = 30 * time.Second // before the first cut that tell what is usual
	tolerant = 1.2              // times what is usual
	few      = 10               // tasks that say nothing
	smoothed = 10               // samples of a mean
)

// ErrNoBaseline says that a run has no samples from before its first cut.
var ErrNoBaseline = errors.New("no samples before the first cut")

// Recovery is how long after the first cut a class's waiting tasks were last more than they
// usually were before it, in seconds and on the mean of some samples; 0 if they never were.
func (r *Run) Recovery(class string) (float64, error) {
	usual, seen := 0.0, false
	last := r.Cut
	for i, s := range r.Samples {
		waiting := r.meanWaiting(class, i)
		switch {
		case s.At <= r.Cut-calmFor:
		case s.At <= r.Cut:
			usual, seen = max(usual, waiting), true
		case waiting > tolerant*usual+few:
			last = s.At
		}
	}
	if !seen {
		return 0, ErrNoBaseline
	}
	return (last - r.Cut).Seconds(), nil
}

// meanWaiting is the mean of a class's waiting tasks over the samples up to one. Arrays come as
// bursts, which say nothing.
func (r *Run) meanWaiting(class string, at int) float64 {
	first, sum := max(0, at-smoothed+1), 0
	for _, s := range r.Samples[first : at+1] {
		sum += s.Waiting[class]
	}
	return float64(sum) / float64(at+1-first)
}

// Group is what the runs of one kind have in common, over their seeds.
type Group struct {
	Pattern  string
	Policy   bool
	Machines int
	Runs     int
	Classes  []ClassSummary
	// Means over the runs.
	RepeatedS, Cost, Launched, Unused float64
}

// ClassSummary is what became of a class.
type ClassSummary struct {
	Class         string
	RecoveryS     float64 // mean
	RecoveryMaxS  float64
	MedianS, P99S float64 // of all waits
	WaitsMeasured float64
	LongestWaitS  float64
}

// String tells of the group in a line, and of each class in another.
func (g Group) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %d machines, policy %v, %d runs: repeated %.0f task s, cost %.2f, rented %.0f, unused %.0f",
		g.Pattern, g.Machines, g.Policy, g.Runs, g.RepeatedS, g.Cost, g.Launched, g.Unused)
	for _, c := range g.Classes {
		fmt.Fprintf(&b, "\n  %s: recovered after %.0f s (at most %.0f), waits %.1f s median, %.1f s 99%%, %.1f s longest of %.0f",
			c.Class, c.RecoveryS, c.RecoveryMaxS, c.MedianS, c.P99S, c.LongestWaitS, c.WaitsMeasured)
	}
	return b.String()
}

// Summarize groups runs by all but their seeds, and merges their waits.
func Summarize(runs []*Run) ([]Group, error) {
	type kind struct {
		pattern  string
		policy   bool
		machines int
	}
	var order []kind
	by := map[kind][]*Run{}
	for _, r := range runs {
		k := kind{r.Pattern, r.Policy, r.Machines}
		if by[k] == nil {
			order = append(order, k)
		}
		by[k] = append(by[k], r)
	}
	var groups []Group
	for _, k := range order {
		g, err := summarizeGroup(by[k])
		if err != nil {
			return nil, fmt.Errorf("%s, %d machines: %w", k.pattern, k.machines, err)
		}
		groups = append(groups, g)
	}
	return groups, nil
}

// summarizeGroup summarizes runs of one kind.
func summarizeGroup(runs []*Run) (Group, error) {
	first := runs[0]
	g := Group{Pattern: first.Pattern, Policy: first.Policy, Machines: first.Machines, Runs: len(runs)}
	merged := map[string]*ddsketch.DDSketch{}
	for _, r := range runs {
		part := 1 / float64(len(runs))
		g.RepeatedS += r.RepeatedS * part
		g.Cost += r.Cost * part
		g.Launched += float64(r.Launched) * part
		g.Unused += float64(r.Unused) * part
		for class, waits := range r.Waits {
			if merged[class] == nil {
				merged[class] = waits.Copy()
			} else if err := merged[class].MergeWith(waits); err != nil {
				return g, fmt.Errorf("merge: %w", err)
			}
		}
	}
	for _, class := range slices.Sorted(maps.Keys(merged)) {
		c, err := summarizeClass(class, runs, merged[class])
		if err != nil {
			return g, fmt.Errorf("class %s: %w", class, err)
		}
		g.Classes = append(g.Classes, c)
	}
	return g, nil
}

// summarizeClass summarizes a class over runs of one kind.
func summarizeClass(class string, runs []*Run, waits *ddsketch.DDSketch) (ClassSummary, error) {
	c := ClassSummary{Class: class, WaitsMeasured: waits.GetCount()}
	for _, r := range runs {
		s, err := r.Recovery(class)
		if err != nil {
			return c, err
		}
		c.RecoveryS += s / float64(len(runs))
		c.RecoveryMaxS = max(c.RecoveryMaxS, s)
	}
	quantiles, err := waits.GetValuesAtQuantiles([]float64{0.5, 0.99, 1})
	if err != nil {
		return c, err
	}
	c.MedianS, c.P99S, c.LongestWaitS = quantiles[0], quantiles[1], quantiles[2]
	return c, nil
}

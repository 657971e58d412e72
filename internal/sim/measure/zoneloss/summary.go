package zoneloss

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/DataDog/sketches-go/ddsketch"
)

// Group is the summary of the runs of one scenario, which have different seeds.
type Group struct {
	Scenario
	Runs                                                  int
	Classes                                               []ClassSummary
	RepeatedWorkS, Cost, LaunchedMachines, UnusedMachines float64 // means over the runs
}

// ClassSummary is the summary of a class over the runs of one scenario.
type ClassSummary struct {
	Class         string
	MeanRecoveryS float64
	MaxRecoveryS  float64
	MedianS, P99S float64 // quantiles of the waiting times in all runs
	WaitsMeasured float64 // number of waiting times
	LongestWaitS  float64
}

// String returns the summary as text, with one line for the group and another one for each class.
func (g Group) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %d machines, policy %v, %d runs: repeated %.0f task s, cost %.2f, rented %.0f, unused %.0f",
		g.Pattern, g.MaxMachines, g.ZonePolicy, g.Runs, g.RepeatedWorkS, g.Cost, g.LaunchedMachines, g.UnusedMachines)
	for _, c := range g.Classes {
		fmt.Fprintf(&b, "\n  %s: recovered after %.0f s (at most %.0f), waits %.1f s median, %.1f s 99%%, %.1f s longest of %.0f",
			c.Class, c.MeanRecoveryS, c.MaxRecoveryS, c.MedianS, c.P99S, c.LongestWaitS, c.WaitsMeasured)
	}
	return b.String()
}

// Summarize returns a summary of the runs of each scenario, in the order in which the scenarios first occur. The error
// wraps ErrNoBaseline if a run has no samples in the baseline period.
func Summarize(runs []*Run) ([]Group, error) {
	var scenarios []Scenario
	byScenario := map[Scenario][]*Run{}
	for _, r := range runs {
		if byScenario[r.Scenario] == nil {
			scenarios = append(scenarios, r.Scenario)
		}
		byScenario[r.Scenario] = append(byScenario[r.Scenario], r)
	}
	var groups []Group
	for _, s := range scenarios {
		g, err := summarizeGroup(byScenario[s])
		if err != nil {
			return nil, fmt.Errorf("%s, %d machines: %w", s.Pattern, s.MaxMachines, err)
		}
		groups = append(groups, g)
	}
	return groups, nil
}

// summarizeGroup returns the summary of the runs of one scenario.
func summarizeGroup(runs []*Run) (Group, error) {
	g := Group{Scenario: runs[0].Scenario, Runs: len(runs)}
	weight := 1 / float64(len(runs))
	merged := map[string]*ddsketch.DDSketch{}
	for _, r := range runs {
		g.RepeatedWorkS += r.RepeatedWorkS * weight
		g.Cost += r.Cost * weight
		g.LaunchedMachines += float64(r.LaunchedMachines) * weight
		g.UnusedMachines += float64(r.UnusedMachines) * weight
		for class, waits := range r.Waits {
			if merged[class] == nil {
				merged[class] = waits.Copy()
			} else if err := merged[class].MergeWith(waits); err != nil {
				return g, fmt.Errorf("merging quantile sketches of waits: %w", err)
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

// summarizeClass returns the summary of a class over the runs of one scenario. The sketch waits contains the waiting
// times of the class in all of these runs.
func summarizeClass(class string, runs []*Run, waits *ddsketch.DDSketch) (ClassSummary, error) {
	c := ClassSummary{Class: class, WaitsMeasured: waits.GetCount()}
	for _, r := range runs {
		recovery, err := r.Recovery(class)
		if err != nil {
			return c, err
		}
		c.MeanRecoveryS += recovery / float64(len(runs))
		c.MaxRecoveryS = max(c.MaxRecoveryS, recovery)
	}
	quantiles, err := waits.GetValuesAtQuantiles([]float64{0.5, 0.99, 1})
	if err != nil {
		return c, err
	}
	c.MedianS, c.P99S, c.LongestWaitS = quantiles[0], quantiles[1], quantiles[2]
	return c, nil
}

// Package zoneloss computes what measured losses of zones cost: how long classes of work took to
// recover, how long tasks waited, how much work was repeated and what machines cost. It writes an
// HTML report.
//
// It owns the form of a measured run and the statistics. It measures nothing itself, and must not
// depend on how a zone is lost.
package zoneloss

import (
	"errors"
	"fmt"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"

	"caperlatch/internal/sim/checker"
)

// accuracy is the relative error of the quantiles of waits.
const accuracy = 0.01

// Scenario is what runs are grouped by.
type Scenario struct {
	Pattern     string // of the cuts
	ZonePolicy  bool   // whether the policy on zones is on
	MaxMachines int    // that there may be in all zones
}

// String names the scenario.
func (s Scenario) String() string {
	policy := "policy off"
	if s.ZonePolicy {
		policy = "policy on"
	}
	return fmt.Sprintf("%s, %s, %d machines", s.Pattern, policy, s.MaxMachines)
}

// Run is one measured run.
type Run struct {
	Scenario
	Seed uint64

	FirstCutAt, LastRestoredAt time.Duration // the begin of the first cut and the end of the last
	Samples                    []checker.Sample
	Waits                      map[string]*ddsketch.DDSketch // seconds until tasks started, by class
	RepeatedWorkS              float64                       // task seconds of starts that did not complete
	Cost                       float64                       // of machines from the first cut on, at the prices of the instance types
	LaunchedMachines           int                           // machines from the first cut on
	UnusedMachines             int                           // of these, without a start
}

// NewRun returns a run without measurements.
func NewRun(s Scenario, seed uint64) *Run {
	return &Run{Scenario: s, Seed: seed, Waits: map[string]*ddsketch.DDSketch{}}
}

// RecordHistory records what a history has from the first cut on. The history has a sample a second.
func (r *Run) RecordHistory(h *checker.History) (err error) {
	r.Samples, r.RepeatedWorkS = h.Samples(), h.RepeatedWork().Seconds()
	for _, s := range r.Samples {
		if s.At > r.FirstCutAt {
			r.Cost += s.PricePerHour / time.Hour.Seconds()
		}
	}
	h.EachWait(r.FirstCutAt, func(class string, wait time.Duration) {
		err = errors.Join(err, r.AddWait(class, wait.Seconds()))
	})
	return err
}

// AddWait records how long a task of a class waited for its first start.
func (r *Run) AddWait(class string, seconds float64) error {
	sketch := r.Waits[class]
	if sketch == nil {
		var err error
		if sketch, err = ddsketch.NewDefaultDDSketch(accuracy); err != nil {
			return fmt.Errorf("sketch: %w", err)
		}
		r.Waits[class] = sketch
	}
	if err := sketch.Add(max(0, seconds)); err != nil {
		return fmt.Errorf("wait of %v s: %w", seconds, err)
	}
	return nil
}

// What counts as recovered.
const (
	baselinePeriod    = 30 * time.Second // before the first cut
	recoveredRatio    = 1.2              // of the waiting tasks to the most in the baseline period
	negligibleWaiting = 10               // tasks
	smoothedSamples   = 10               // of a mean
)

// ErrNoBaseline says that a run has no samples from before its first cut.
var ErrNoBaseline = errors.New("no samples before the first cut")

// Recovery returns how long after the first cut a class last had more waiting tasks than before it,
// in seconds and on the mean of some samples; 0 if it never had.
func (r *Run) Recovery(class string) (float64, error) {
	baseline, hasBaseline := 0.0, false
	last := r.FirstCutAt
	for i, s := range r.Samples {
		waiting := r.meanWaiting(class, i)
		switch {
		case s.At <= r.FirstCutAt-baselinePeriod:
		case s.At <= r.FirstCutAt:
			baseline, hasBaseline = max(baseline, waiting), true
		case waiting > recoveredRatio*baseline+negligibleWaiting:
			last = s.At
		}
	}
	if !hasBaseline {
		return 0, ErrNoBaseline
	}
	return (last - r.FirstCutAt).Seconds(), nil
}

// meanWaiting returns the mean of a class's waiting tasks over the samples up to one. Arrays come in
// bursts, which say nothing by themselves.
func (r *Run) meanWaiting(class string, sample int) float64 {
	first, sum := max(0, sample-smoothedSamples+1), 0
	for _, s := range r.Samples[first : sample+1] {
		sum += s.Waiting[class]
	}
	return float64(sum) / float64(sample+1-first)
}

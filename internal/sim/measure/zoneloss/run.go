// Package zoneloss computes the effects of the loss of a zone from measured runs: how long classes of jobs took to
// recover, how long tasks waited, how much work was repeated and how much the machines cost. It writes an HTML report.
//
// It owns the data of a measured run and the statistics. It measures nothing itself, and must not depend on how a zone
// is lost.
package zoneloss

import (
	"errors"
	"fmt"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"

	"caperlatch/internal/sim/checker"
)

// waitQuantileAccuracy is the maximum relative error of quantiles of waiting times.
const waitQuantileAccuracy = 0.01

// Scenario contains the conditions of a run, and is the key by which runs are grouped.
type Scenario struct {
	Pattern     string // description of the cuts, which isolate a zone from the network
	ZonePolicy  bool   // whether the policy on zones is enabled
	MaxMachines int    // maximum number of machines in all zones together
}

// String returns the name of the scenario in reports.
func (s Scenario) String() string {
	policy := "policy off"
	if s.ZonePolicy {
		policy = "policy on"
	}
	return fmt.Sprintf("%s, %s, %d machines", s.Pattern, policy, s.MaxMachines)
}

// Run contains the measurements of one run.
type Run struct {
	Scenario
	Seed uint64

	FirstCutAt, LastRestoredAt time.Duration // start of the first cut and end of the last one
	Samples                    []checker.Sample
	Waits                      map[string]*ddsketch.DDSketch // seconds until the first start of each task, by class
	RepeatedWorkS              float64                       // time that tasks spent on machines without completing there, in the whole run
	Cost                       float64                       // of all machines from the first cut on, at the prices of their types
	LaunchedMachines           int                           // from the first cut on
	UnusedMachines             int                           // launched machines on which no task started
}

// NewRun returns a run without measurements.
func NewRun(s Scenario, seed uint64) *Run {
	return &Run{Scenario: s, Seed: seed, Waits: map[string]*ddsketch.DDSketch{}}
}

// RecordHistory records the samples and the repeated work of a history, and the cost and the waiting times from the
// first cut on. The cost is correct only if the history has one sample per second.
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

// AddWait records the time that a task of a class waited for its first start.
func (r *Run) AddWait(class string, seconds float64) error {
	sketch := r.Waits[class]
	if sketch == nil {
		var err error
		if sketch, err = ddsketch.NewDefaultDDSketch(waitQuantileAccuracy); err != nil {
			return fmt.Errorf("creating a quantile sketch: %w", err)
		}
		r.Waits[class] = sketch
	}
	if err := sketch.Add(max(0, seconds)); err != nil {
		return fmt.Errorf("adding a wait of %v s to the quantile sketch: %w", seconds, err)
	}
	return nil
}

// Criteria of recovery: a class is above its baseline while its waiting tasks exceed recoveredRatio times the maximum in
// the baseline period by more than negligibleWaiting.
const (
	baselinePeriod    = 30 * time.Second // period before the first cut
	recoveredRatio    = 1.2              // ratio of waiting tasks to their maximum in the baseline period
	negligibleWaiting = 10               // number of waiting tasks that is disregarded
	smoothingWindow   = 10               // number of samples over which waiting tasks are averaged
)

// ErrNoBaseline is returned for a run without samples in the baseline period before the first cut.
var ErrNoBaseline = errors.New("no samples in the baseline period before the first cut")

// Recovery returns the time in seconds from the first cut to the last sample in which a class was above its baseline, or
// 0 if there is no such sample. The number of waiting tasks is averaged over smoothingWindow samples.
func (r *Run) Recovery(class string) (float64, error) {
	baseline, hasBaseline := 0.0, false
	lastAbove := r.FirstCutAt
	for i, s := range r.Samples {
		waiting := r.meanWaiting(class, i)
		switch {
		case s.At <= r.FirstCutAt-baselinePeriod:
		case s.At <= r.FirstCutAt:
			baseline, hasBaseline = max(baseline, waiting), true
		case waiting > recoveredRatio*baseline+negligibleWaiting:
			lastAbove = s.At
		}
	}
	if !hasBaseline {
		return 0, ErrNoBaseline
	}
	return (lastAbove - r.FirstCutAt).Seconds(), nil
}

// meanWaiting returns the mean number of waiting tasks of a class over smoothingWindow samples up to the one with index
// lastIndex. A single sample is not meaningful, because array jobs arrive in bursts.
func (r *Run) meanWaiting(class string, lastIndex int) float64 {
	firstIndex, sum := max(0, lastIndex-smoothingWindow+1), 0
	for _, s := range r.Samples[firstIndex : lastIndex+1] {
		sum += s.Waiting[class]
	}
	return float64(sum) / float64(lastIndex+1-firstIndex)
}

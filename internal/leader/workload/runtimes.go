// Package workload provides what is expected of jobs: how long their tasks run, by when they should start, and
// what their teams are guaranteed and may use.
//
// The package owns the learned run times of the job classes, the service-level objectives and the teams'
// quotas. It makes no decisions and does no I/O. The leader calls it with its lock held.
package workload

import (
	"math"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
	"caperlatch/placement"
	"caperlatch/staffing"
)

// Workload holds the objectives and learned run times of job classes, and the quotas of teams.
type Workload struct {
	objectives []settings.Objective
	teams      map[string]Team
	estimators map[string]*staffing.RuntimeEstimator // by class
}

// Team holds a team's quotas. A CPU or GPU value of 0 means that there is no guarantee or no limit.
type Team struct {
	Guaranteed placement.Resources // Memory and the number of tasks are not bounded
	Limit      placement.Resources // Memory and the number of tasks are not bounded
}

// New returns the workload of a deployment, with no run times learned yet.
func New(p settings.Params) *Workload {
	w := &Workload{
		objectives: p.Objectives,
		teams:      make(map[string]Team, len(p.Teams)),
		estimators: map[string]*staffing.RuntimeEstimator{},
	}
	for _, t := range p.Teams {
		w.SetTeam(t)
	}
	return w
}

// ExpectedRuntime returns how long a job's tasks are expected to run, in seconds, from the owner's estimate and
// the previous run times of the job's class.
func (w *Workload) ExpectedRuntime(s *wire.Job) float64 {
	if e := w.estimators[s.Class]; e != nil {
		return e.Predict(s.EstimatedRuntimeS)
	}
	return s.EstimatedRuntimeS
}

// ObserveRuntime updates the run time estimate of a class from a task that ran without interruption.
func (w *Workload) ObserveRuntime(s *wire.Job, ran micros.Micros) {
	e := w.estimators[s.Class]
	if e == nil {
		e = &staffing.RuntimeEstimator{}
		w.estimators[s.Class] = e
	}
	e.Observe(s.EstimatedRuntimeS, ran.Seconds(), s.Tasks)
}

// Moments returns the learned run time statistics by class, for RestoreMoments.
func (w *Workload) Moments() map[string][]float64 {
	moments := make(map[string][]float64, len(w.estimators))
	for class, e := range w.estimators {
		moments[class] = e.Moments()
	}
	return moments
}

// RestoreMoments restores what an earlier leader learned about a class's run times. Malformed moments are
// ignored.
func (w *Workload) RestoreMoments(class string, moments []float64) {
	e := &staffing.RuntimeEstimator{}
	if e.Restore(moments) {
		w.estimators[class] = e
	}
}

// serviceRemainingS is how long a service is assumed to run on, in seconds: it ends only when it is cancelled.
const serviceRemainingS = 3600

// RemainingRuntime returns the expected remaining run time of a task in seconds. It is at least a quarter of the
// expected run time, and at least half of the time by which the task has outlasted the expected run time.
func (w *Workload) RemainingRuntime(a *state.Attempt, now micros.Micros) float64 {
	if a.Job.Spec.Kind == wire.KindService {
		return serviceRemainingS
	}
	expected, ran := w.ExpectedRuntime(a.Job.Spec), (now - a.StartedAt).Seconds()
	return math.Max(expected-ran, math.Max(expected/4, (ran-expected)/2))
}

// LostWork returns the run time that preempting a task would waste. For a task that saves checkpoints, that is at most
// the time that saving one takes.
func LostWork(a *state.Attempt, now micros.Micros) micros.Micros {
	if a.RunningSince == 0 {
		return 0
	}
	ran := now - a.RunningSince
	if a.Job.Spec.CheckpointIntervalS > 0 {
		return min(ran, micros.FromSeconds(a.Job.Spec.CheckpointDurationS))
	}
	return ran
}

// Costs to a job of preempting one of its best-effort tasks in addition to the lost work, in seconds.
const (
	nearCompletionS = 30 // cost for a task that is due to end now; it falls to 0 for a task that is due in nearCompletionS
	startedPenaltyS = 10 // cost for a job whose tasks have all started; it is lower in proportion if only some have
)

// PreemptionPenalty returns the cost to a job of preempting one of its best-effort tasks, in addition to the lost work.
// The cost is least for the job with the largest share of its tasks left to start, so that the other jobs end and free
// their resources. When tasks were preempted from all jobs equally, none of six jobs had ended by the end of the day.
// The cost is higher for a task that is nearly done, because it will free its resources by itself.
func (w *Workload) PreemptionPenalty(a *state.Attempt, now micros.Micros) micros.Micros {
	startedFraction := 1 - float64(a.Job.WaitingTasks())/float64(a.Job.Spec.Tasks)
	remaining := w.ExpectedRuntime(a.Job.Spec) - (now - a.StartedAt).Seconds()
	return micros.FromSeconds(startedPenaltyS*startedFraction + max(0, nearCompletionS-max(0, remaining)))
}

// Package workload says what is to be expected of jobs: how long their tasks run, by when they should
// start, and what their teams are guaranteed and may use.
//
// It owns what has been learned of the classes' run times, the service-level objectives and the teams'
// quotas. It decides nothing and does no I/O; the leader calls it with its lock held.
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

// Workload is what is known of the jobs' classes and teams.
type Workload struct {
	objectives []settings.Objective
	teams      map[string]Team
	estimators map[string]*staffing.RuntimeEstimator // by class
}

// Team is a team's quotas; 0 in either means none.
type Team struct {
	Guaranteed placement.Resources // Memory is not bounded
	Limit      placement.Resources // Memory is not bounded
}

// New makes the workload of a deployment, of which nothing has been learned yet.
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

// ExpectedRuntime is how long a job's tasks should run, in seconds, by the owner's estimate and
// what the class has taken so far.
func (w *Workload) ExpectedRuntime(s *wire.Job) float64 {
	if e := w.estimators[s.Class]; e != nil {
		return e.Predict(s.EstimatedRuntimeS)
	}
	return s.EstimatedRuntimeS
}

// ObserveRuntime learns from a task that ran in one go.
func (w *Workload) ObserveRuntime(s *wire.Job, ran micros.Micros) {
	e := w.estimators[s.Class]
	if e == nil {
		e = &staffing.RuntimeEstimator{}
		w.estimators[s.Class] = e
	}
	e.Observe(s.EstimatedRuntimeS, ran.Seconds(), s.Tasks)
}

// Moments is what has been learned of the classes' run times, by class, for RestoreMoments.
func (w *Workload) Moments() map[string][]float64 {
	moments := make(map[string][]float64, len(w.estimators))
	for class, e := range w.estimators {
		moments[class] = e.Moments()
	}
	return moments
}

// RestoreMoments goes on from what an earlier leader learned of a class; what is malformed is passed over.
func (w *Workload) RestoreMoments(class string, moments []float64) {
	e := &staffing.RuntimeEstimator{}
	if e.Restore(moments) {
		w.estimators[class] = e
	}
}

// serviceRemainingS is how long a service is taken to run on: it ends only when it is cancelled.
const serviceRemainingS = 3600

// RemainingRuntime is how many seconds a task should still take. The longer it has outlasted its
// estimate, the longer it may go on.
func (w *Workload) RemainingRuntime(a *state.Attempt, now micros.Micros) float64 {
	if a.Job.Spec.Kind == wire.KindService {
		return serviceRemainingS
	}
	expected, ran := w.ExpectedRuntime(a.Job.Spec), (now - a.StartedAt).Seconds()
	return math.Max(expected-ran, math.Max(expected/4, (ran-expected)/2))
}

// LostWork is the run time that preempting a task would waste.
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

// What preempting a best-effort task costs its job beside the lost work, in seconds.
const (
	nearlyDoneS    = 30 // how long before its end a task is left alone
	startedWeightS = 10 // of a job all of whose tasks have started
)

// PreemptionPenalty is what preempting a best-effort task costs its job beside the lost work. It is
// least for the job that has most yet to start, so that the others end and are out of the way: taken from
// all alike, none of six had ended when the day was over. And what is nearly done frees its room by itself.
func (w *Workload) PreemptionPenalty(a *state.Attempt, now micros.Micros) micros.Micros {
	started := 1 - float64(a.Job.WaitingTasks())/float64(a.Job.Spec.Tasks)
	remaining := w.ExpectedRuntime(a.Job.Spec) - (now - a.StartedAt).Seconds()
	return micros.FromSeconds(startedWeightS*started + max(0, nearlyDoneS-max(0, remaining)))
}

package autoscaler

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// AddDemand adds the work of a newly seen job to the demand of its preferred type and, for a gang, of its pool.
func (s *Scaler) AddDemand(j *state.Job) {
	now := micros.Now()
	t := s.preferredType(j, now)
	if t == nil {
		return
	}
	s.addPoolDemand(j, now)
	fraction := t.Fraction(j.Need)
	work := float64(j.WaitingTasks()) * fraction
	j.Demand.InstanceType, j.Demand.Machines = t.Name, work
	timeToStart := s.Workload.StartDeadlines(j, false, j.SubmittedAt).Next - j.SubmittedAt
	t.batches.Add(float64(j.Spec.Tasks)*fraction, j.Spec.Tasks, timeToStart.Seconds() > t.BootTimeS)
	if j.MayHaveEarlierTasks {
		j.Demand.Machines = 0 // the rate restored from the earlier leader's record includes it
	} else {
		t.Demand.Add(now, work)
		if s.Workload.IsDelayTolerant(j) {
			t.delayTolerantDemand.Add(now, work)
		}
	}
	t.serviceTime.ObserveEstimate(work, s.Workload.ExpectedRuntime(j.Spec)+t.PullTimeS(j.Spec.ImageSizeGB))
}

// RemoveDemand removes the work of a quarantined job from the demand, as more machines would not help it.
func (s *Scaler) RemoveDemand(j *state.Job, now micros.Micros) {
	if j.Demand.Machines > 0 {
		s.types[j.Demand.InstanceType].Demand.Add(now, -j.Demand.Machines)
	}
}

// RestoreDemand adds the work that RemoveDemand removed.
func (s *Scaler) RestoreDemand(j *state.Job, now micros.Micros) {
	if j.Demand.Machines > 0 {
		s.types[j.Demand.InstanceType].Demand.Add(now, j.Demand.Machines)
	}
}

// ObserveCompletion updates the measured service and run times with an attempt that has completed its task. It leaves
// out attempts that an earlier term started, and the run time of a task that may have resumed from a checkpoint.
func (s *Scaler) ObserveCompletion(a *state.Attempt, now micros.Micros) {
	j := a.Job
	if a.RunningSince != 0 {
		j.LongestRun = max(j.LongestRun, now-a.RunningSince)
	}
	t := s.types[a.Machine.Offering.Type]
	if t == nil || a.StartSequence == 0 {
		return // started by an earlier term: its start time is not known
	}
	t.finishedTasks++
	t.serviceTime.ObserveFinished(t.Fraction(j.Need), (now - a.StartedAt).Seconds(), j.Spec.Tasks)
	if a.RunningSince != 0 && (j.Spec.CheckpointIntervalS == 0 || !j.RanBefore[a.Index]) {
		s.Workload.ObserveRuntime(j.Spec, now-a.RunningSince)
	}
}

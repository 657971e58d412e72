package autoscaler

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// AddDemand counts a job that came in.
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
	startWithin := s.Workload.StartDeadlines(j, false, j.SubmittedAt).Next - j.SubmittedAt
	t.batches.Add(float64(j.Spec.Tasks)*fraction, j.Spec.Tasks, startWithin.Seconds() > t.BootTimeS)
	if j.MayHaveEarlierTasks {
		j.Demand.Machines = 0 // the stored rate has it
	} else {
		t.Demand.Add(now, work)
		if s.Workload.IsDelayTolerant(j) {
			t.bestEffortDemand.Add(now, work)
		}
	}
	t.service.ObserveEstimate(work, s.Workload.ExpectedRuntime(j.Spec)+t.PullTimeS(j.Spec.ImageSizeGB))
}

// RemoveDemand takes a quarantined job's work out of the demand: machines are no help to it.
func (s *Scaler) RemoveDemand(j *state.Job, now micros.Micros) {
	if j.Demand.Machines > 0 {
		s.types[j.Demand.InstanceType].Demand.Add(now, -j.Demand.Machines)
	}
}

// RestoreDemand puts back what RemoveDemand took out.
func (s *Scaler) RestoreDemand(j *state.Job, now micros.Micros) {
	if j.Demand.Machines > 0 {
		s.types[j.Demand.InstanceType].Demand.Add(now, j.Demand.Machines)
	}
}

// ObserveCompletion learns from a task that was done on a machine.
func (s *Scaler) ObserveCompletion(a *state.Attempt, now micros.Micros) {
	j := a.Job
	if a.RunningSince != 0 {
		j.LongestRun = max(j.LongestRun, now-a.RunningSince)
	}
	t := s.types[a.Machine.Offering.Type]
	if t == nil || a.StartSequence == 0 {
		return // adopted: nobody here saw it start
	}
	t.finishedTasks++
	t.service.ObserveFinished(t.Fraction(j.Need), (now - a.StartedAt).Seconds(), j.Spec.Tasks)
	if a.RunningSince != 0 && (j.Spec.CheckpointIntervalS == 0 || !j.RanBefore[a.Index]) {
		s.Workload.ObserveRuntime(j.Spec, now-a.RunningSince)
	}
}

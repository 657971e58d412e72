package autoscaler

import (
	"cmp"
	"log/slog"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/workload"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// The targets of the types follow the mean and the work of the waiting tasks, in fractions of machines, and regardless
// of which jobs may use which machines. So they may be 0, or be met, while a job has no machine to start on. The
// functions below look at the jobs one by one.

// launchForWaitingJobs launches machines for the jobs that the targets of the types do not cover: constrained jobs,
// and jobs that no machine of the fleet will have room for soon. It leaves out gangs, see launchForGangs.
func (s *Scaler) launchForWaitingJobs(forecast *roomForecast, now micros.Micros) {
	wall := micros.WallTime()
	teams, awaitsReconciliation := s.TeamUsage(), s.AwaitsReconciliation()
	counts := s.countByOffering()
	var unschedulable []*state.Job
	for _, j := range s.Jobs {
		if awaitsReconciliation(j) || teams[j.Spec.Team].CountAllowed(j.Need, 1) == 0 || j.StartableTasks(now) == 0 {
			continue // the job waits for reconciliation, its team's quota or a backoff, so more machines would not help it
		}
		if hasWaited(j, now) {
			s.launchForConstrainedJob(j, counts, now)
		}
		if !j.IsGang() && !s.hasMachine(j, forecast, wall) {
			unschedulable = append(unschedulable, j)
		}
	}
	slices.SortFunc(unschedulable, func(a, b *state.Job) int {
		return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	for _, j := range unschedulable {
		s.launchForUnschedulableJob(j, now, wall)
	}
}

// hasMachine reports whether a machine of the fleet will have room for the next task of a job soon. If that machine is
// booting, it is not terminated meanwhile.
func (s *Scaler) hasMachine(j *state.Job, forecast *roomForecast, wall micros.Micros) bool {
	m := forecast.findMachine(j, s.rejectsOnDemand(j, wall))
	if m != nil && !m.Instance.Running {
		s.awaited[m] = true
	}
	return m != nil
}

// rejectsOnDemand reports whether a job is not worth on-demand machines. A delay-tolerant job is, once it has aged.
func (s *Scaler) rejectsOnDemand(j *state.Job, wall micros.Micros) bool {
	return s.Workload.IsDelayTolerant(j) && !workload.HasAged(j, s.TermStartedAt, wall)
}

// launchForUnschedulableJob launches one machine of the cheapest suitable offering for a job, on-demand only if no spot
// machine is available. It launches none while a launch that may serve the job is unanswered.
func (s *Scaler) launchForUnschedulableJob(j *state.Job, now, wall micros.Micros) {
	if !s.Term.IsExclusive() || s.hasRequested(j) {
		return
	}
	candidate := placementJob(j)
	for _, spot := range []bool{true, false} {
		if !spot && s.rejectsOnDemand(j, wall) {
			return
		}
		for _, o := range s.OfferingsFor(j) {
			if o.Spot == spot && candidate.CanStartOn(o.Type, o.Zone, o.Spot) && s.Fleet.HasCapacity(o, now) && s.LaunchAllowance(o.Zone) > 0 {
				slog.Debug("no machine will have room for a job", "job", j.Spec.ID, "instance_type", o.Type, "zone", o.Zone, "spot", o.Spot)
				s.Fleet.Launch(o, 1)
				return
			}
		}
	}
}

// hasRequested reports whether a launch of an offering that a job's next task may use is unanswered.
func (s *Scaler) hasRequested(j *state.Job) bool {
	candidate := placementJob(j)
	return slices.ContainsFunc(s.OfferingsFor(j), func(o state.Offering) bool {
		return candidate.CanStartOn(o.Type, o.Zone, o.Spot) && s.Fleet.HasOpenIntent(o)
	})
}

const (
	// constrainedLaunchDelay is the time without a start of any task of a job after which machines are launched for
	// that job alone.
	constrainedLaunchDelay = 10 * micros.Second
	// maxConstrainedLaunch is how many machines are launched for one job at a time.
	maxConstrainedLaunch = 4
)

// hasWaited reports whether no task of a job has started for constrainedLaunchDelay.
func hasWaited(j *state.Job, now micros.Micros) bool {
	return now-j.SeenAt >= constrainedLaunchDelay && micros.WallTime()-j.LastStart >= constrainedLaunchDelay
}

// offeringCount counts the machines of an offering.
type offeringCount struct{ all, booting int }

// countByOffering counts the machines of the fleet by offering.
func (s *Scaler) countByOffering() map[state.Offering]offeringCount {
	counts := map[state.Offering]offeringCount{}
	for _, m := range s.Fleet.Sorted {
		n := counts[m.Offering]
		n.all++
		if !m.Instance.Running && !m.Instance.Terminating {
			n.booting++
		}
		counts[m.Offering] = n
	}
	return counts
}

// launchForConstrainedJob launches machines of the cheapest suitable offering for a job whose tasks have not started for
// a while, if the job's constraints exclude some machines of the fleet.
func (s *Scaler) launchForConstrainedJob(j *state.Job, counts map[state.Offering]offeringCount, now micros.Micros) {
	candidate := placementJob(j)
	unusable, booting := 0, 0
	for o, n := range counts {
		if candidate.CanStartOn(o.Type, o.Zone, o.Spot) {
			booting += n.booting
		} else {
			unusable += n.all
		}
	}
	if unusable == 0 {
		return // the targets of the types cover the job
	}
	for _, o := range s.OfferingsFor(j) {
		if !candidate.CanStartOn(o.Type, o.Zone, o.Spot) {
			continue // the job's other tasks restrict it to another zone
		}
		if s.Fleet.HasOpenIntent(o) {
			return // wait for the response first
		}
		count := max(1, int(ceilMachines(float64(j.StartableTasks(now))*s.types[o.Type].Fraction(j.Need)))) - booting
		if count > 0 && s.Fleet.HasCapacity(o, now) && s.Term.IsExclusive() {
			s.Fleet.Launch(o, min(count, maxConstrainedLaunch))
			return
		}
	}
}

// placementJob returns the part of a job that placement needs to decide where its next task can start.
func placementJob(j *state.Job) placement.Job {
	return placement.Job{
		Constraints:  j.Constraints(),
		Request:      placement.Request{TotalTasks: j.Spec.Tasks},
		TasksPerZone: j.AttemptsPerZone,
	}
}

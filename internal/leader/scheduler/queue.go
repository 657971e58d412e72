package scheduler

import (
	"maps"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/workload"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// queue holds the jobs that have startable tasks, in scheduling order. Tasks that are planned on machines are not
// included.
type queue struct {
	waiting      []*placement.Job
	jobs         []*state.Job // the leader's records, with the same indexes as waiting
	teams        map[string]*placement.Team
	minNeed      placement.Resources // for each resource, the least that any waiting task needs
	hasSpareRoom bool                // see machineView.hasSpareRoom
}

// removeFullyPlanned removes the jobs whose waiting tasks are all planned.
func (q *queue) removeFullyPlanned() {
	n := 0
	for i, w := range q.waiting {
		if w.WaitingTasks > 0 {
			q.waiting[n], q.jobs[n] = w, q.jobs[i]
			n++
		}
	}
	q.waiting, q.jobs = q.waiting[:n], q.jobs[:n]
	q.minNeed = placement.MinNeed(q.waiting)
}

// agingDivisor determines how many waiting tasks of an aged job go before all other jobs: about one in that many. Only a
// part of the tasks does, so that aging remains an exception.
//
// Without aging, a lasting overload could keep the largest jobs, which are deferred or delayed by other jobs, from ever
// starting, and jobs that are already late from ever ending.
const agingDivisor = 16

// immediateStartLimit is the longest expected delay until a gang starts for which the gang is assigned to machines at
// once. If the delay is longer, the gang is assigned to these machines only after it has waited for as long as the
// delay, because with many machines another one is likely to send a heartbeat soon. A gang therefore starts at most
// twice as late as it could, and mostly sooner. Without this limit, gangs that were assigned to machines that had just
// sent a heartbeat lost an entire heartbeat interval.
const immediateStartLimit = micros.Second

// atRiskHeartbeats is the number of heartbeat intervals before a job's start deadline from which the job counts as at
// risk of missing the deadline.
const atRiskHeartbeats = 4

// queueEntry is a queued job, both in placement's form and as the leader's record.
type queueEntry struct {
	waiting *placement.Job
	job     *state.Job
}

// newQueue builds the queue of the jobs that may start tasks now, and sets the latest time of the next plan. It splits
// aged jobs, defers jobs if not all can start on time, and points reservations to the new queue entries. A job for which
// AwaitsReconciliation reports true is left out.
func (s *Scheduler) newQueue(now micros.Micros) queue {
	teams := s.TeamUsage()
	awaitsReconciliation := s.AwaitsReconciliation()
	withinGuarantee := s.Workload.JobsWithinGuarantee(s.Jobs)
	wall := micros.WallTime()
	entries := make([]queueEntry, 0, len(s.Jobs))
	s.nextPlanAt = 0
	for _, j := range s.Jobs {
		s.ReviewQuarantine(j, now)
		s.planBy(j, now)
		count := j.StartableTasks(now)
		if count <= 0 || awaitsReconciliation(j) {
			continue
		}
		w := s.placementJob(j, count, withinGuarantee[j], wall)
		if workload.HasAged(j, s.TermStartedAt, wall) {
			if rest := s.splitAgedJob(w, j); rest != nil {
				entries = append(entries, queueEntry{rest, j})
			}
		}
		if r := s.reservations[j.Spec.ID]; r != nil {
			r.QueuedJob = w
		}
		entries = append(entries, queueEntry{w, j})
	}
	waiting := make([]*placement.Job, len(entries))
	for i, e := range entries {
		waiting[i] = e.waiting
	}
	s.logDeferrals(placement.DeferLateJobs(waiting, s.schedulableCPUs(now), wall), wall)
	slices.SortFunc(entries, func(a, b queueEntry) int { return placement.CompareJobs(a.waiting, b.waiting) })
	q := queue{teams: teams, waiting: waiting, jobs: make([]*state.Job, len(entries))}
	for i, e := range entries {
		q.waiting[i], q.jobs[i] = e.waiting, e.job
	}
	q.minNeed = placement.MinNeed(q.waiting)
	return q
}

// placementJob converts a job with count startable tasks to placement's form.
func (s *Scheduler) placementJob(j *state.Job, count int, withinGuarantee bool, wall micros.Micros) *placement.Job {
	spec := j.Spec
	waiting := &placement.Job{
		ID:       spec.ID,
		Team:     spec.Team,
		OnlyZone: s.OnlyZone(j),
		QueueKey: placement.QueueKey{
			EvacuationRank:  s.EvacuationRank(j),
			WithinGuarantee: withinGuarantee,
			Priority:        j.Priority,
		},
		Request: placement.Request{
			Need:         j.Need,
			WaitingTasks: count,
			TotalTasks:   spec.Tasks,
			ImageIndex:   j.Image,
			ImageSizeGB:  spec.ImageSizeGB,
		},
		Constraints:    j.Constraints(),
		GangScheduling: placement.GangScheduling{Gang: j.IsGang()},
	}
	deadlines := s.Workload.StartDeadlines(j, withinGuarantee, wall)
	waiting.StartDeadline, waiting.LaterStartDeadlines, waiting.Late = deadlines.Next, deadlines.Later, deadlines.Late
	waiting.AtRisk = waiting.StartDeadline-wall < atRiskHeartbeats*s.HeartbeatInterval && !j.IsProbing()
	waiting.PreemptsBestEffort = j.Priority > 0 && !j.IsProbing()
	waiting.DelayTolerant = s.Workload.IsDelayTolerant(j)
	if j.IsGang() {
		if len(j.Attempts) > 0 {
			waiting.StartDeadline, waiting.Late, waiting.AtRisk = wall, false, !j.IsProbing() // the gang's tasks on machines wait for the waiting ones
		}
		waiting.FailedOn = j.Failures.ByMachine
		waiting.MaxStartDelay = max(immediateStartLimit, wall-j.SubmittedAt)
	}
	waiting.WaitingCPUSeconds = float64(count) * spec.CPUs * s.Workload.ExpectedRuntime(spec)
	if spec.SingleZone || spec.SpreadZones {
		waiting.TasksPerZone = maps.Clone(j.AttemptsPerZone)
	}
	return waiting
}

// splitAgedJob marks some of an aged job's waiting tasks to go before all other jobs. It returns the job's other
// waiting tasks as a separate entry, which keeps the job's usual place in the queue, or nil if there are none. A gang
// or a job with zone rules is not split: all its waiting tasks go first.
func (s *Scheduler) splitAgedJob(waiting *placement.Job, j *state.Job) (rest *placement.Job) {
	waiting.Aged, waiting.Late, waiting.DelayTolerant = true, false, false
	agedTasks := 1 + waiting.WaitingTasks/agingDivisor
	if waiting.SingleZone || waiting.SpreadZones || waiting.Gang || agedTasks >= waiting.WaitingTasks {
		return nil
	}
	other := *waiting
	other.Aged, other.DelayTolerant = false, s.Workload.IsDelayTolerant(j)
	waiting.WaitingTasks, other.WaitingTasks = agedTasks, waiting.WaitingTasks-agedTasks
	return &other
}

// schedulableCPUs returns the number of CPUs of the machines that may receive tasks and are not closed to jobs that
// can run in other zones.
func (s *Scheduler) schedulableCPUs(now micros.Micros) float64 {
	cpus := 0.0
	for _, m := range s.Fleet.Sorted {
		if m.IsOpenToAllZones(now) {
			cpus += s.Scaler.Type(m.Offering.Type).CPUs
		}
	}
	return cpus
}

package scheduler

import (
	"maps"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// queue holds the jobs with waiting tasks in scheduling order, without the tasks that are planned on machines.
type queue struct {
	waiting      []*placement.Job
	jobs         []*state.Job // the leader's records, with the same indexes as waiting
	teams        map[string]*placement.Team
	minNeed      placement.Resources // the least resources that any waiting task needs
	hasSpareRoom bool                // the machines that are not surplus have ample room for all waiting tasks
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

// agingThreshold is how long a job waits for a start, while none of its tasks is on a machine, before part of
// it goes before all other jobs. Without it, the largest jobs would never start when they are deferred or
// delayed by a lasting overload of other jobs, and jobs that are already late would never end. 1/agingDivisor
// of the waiting tasks goes first, so that aging remains an exception.
const (
	agingThreshold = 120 * micros.Second
	agingDivisor   = 16
)

// immediateStartLimit is the longest delay until a gang's start for which machines are assigned as soon as they
// are found. Assignments with a longer delay are made only once the gang has waited for as long as that delay:
// with many machines, some send a heartbeat soon. So a gang starts at most twice as late as it could, and
// mostly sooner. Without this limit, assignments to machines that had just sent a heartbeat cost gangs an
// entire heartbeat interval.
const immediateStartLimit = micros.Second

// atRiskHeartbeats is how many heartbeat intervals before its start deadline a job counts as at risk of missing
// it.
const atRiskHeartbeats = 4

// queueEntry is a queued job, both in placement's form and as the leader's record.
type queueEntry struct {
	waiting *placement.Job
	job     *state.Job
}

// newQueue builds the queue of the jobs that may start tasks now. A job that an earlier term may have started
// is left out until the tasks of all machines that may run its tasks are known.
func (s *Scheduler) newQueue(now micros.Micros) queue {
	teams := s.TeamUsage()
	awaitsReconciliation := s.AwaitsReconciliation()
	withinGuarantee := s.Workload.JobsWithinGuarantee(s.Jobs)
	wall := micros.WallTime()
	entries := make([]queueEntry, 0, len(s.Jobs))
	for _, j := range s.Jobs {
		s.ReviewQuarantine(j, now)
		count := j.StartableTasks(now)
		if count <= 0 || awaitsReconciliation(j) {
			continue
		}
		w := s.placementJob(j, count, withinGuarantee[j], wall)
		if s.hasAged(j, wall) {
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
			waiting.StartDeadline, waiting.Late, waiting.AtRisk = wall, false, !j.IsProbing() // its other tasks wait for these
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

// hasAged reports whether a job has waited for a start for so long that part of it goes before other jobs.
func (s *Scheduler) hasAged(j *state.Job, wall micros.Micros) bool {
	since := max(j.SubmittedAt, j.LastStart)
	if j.DoneCount > 0 {
		since = max(since, s.TermStartedAt) // starts of earlier terms are unknown
	}
	return len(j.Attempts) == 0 && wall-since > agingThreshold && !j.IsProbing()
}

// splitAgedJob marks a part of an aged job's waiting tasks to go before all other jobs. It returns the
// remaining tasks, which keep the job's usual place, or nil if there are none.
func (s *Scheduler) splitAgedJob(waiting *placement.Job, j *state.Job) (rest *placement.Job) {
	waiting.Aged, waiting.Late, waiting.DelayTolerant = true, false, false
	part := 1 + waiting.WaitingTasks/agingDivisor
	if waiting.SingleZone || waiting.SpreadZones || waiting.Gang || part >= waiting.WaitingTasks {
		return nil
	}
	other := *waiting
	other.Aged, other.DelayTolerant = false, s.Workload.IsDelayTolerant(j)
	waiting.WaitingTasks, other.WaitingTasks = part, waiting.WaitingTasks-part
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

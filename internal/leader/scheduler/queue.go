package scheduler

import (
	"maps"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// queue is the jobs with waiting tasks, in order, less what is planned on machines.
type queue struct {
	waiting      []*placement.Job
	jobs         []*state.Job // of these, with the same indexes
	teams        map[string]*placement.Team
	minNeed      placement.Resources // that any of the waiting tasks has
	hasSpareRoom bool                // machines that are no surplus have room enough for all that waits
}

// dropPlanned removes the jobs all of whose tasks are planned.
func (q *queue) dropPlanned() {
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

// agingLimit is how long a job waits at most for a start, while none of its tasks is on a machine, before it
// goes before all others: deferred, or delayed by a lasting overload of others, the largest
// would never start, and one that is late already never end. agingDivisor is the part of its tasks that
// goes first, so that aging stays an exception.
const (
	agingLimit   = 120 * micros.Second
	agingDivisor = 16
)

// immediateStartLimit is how late assignments may start a gang that are made as soon as they are found.
// Later ones are made only when it has waited for as long: of many machines some send a heartbeat soon, so it
// starts at most twice as late as it could, and mostly sooner. Assignments to machines that had sent theirs just
// before once cost gangs an entire heartbeat interval.
const immediateStartLimit = micros.Second

// atRiskHeartbeats is how many heartbeat intervals before its deadline a job is at risk of missing it.
const atRiskHeartbeats = 4

// queueEntry is a job of the queue, as placement sees it and as it is.
type queueEntry struct {
	waiting *placement.Job
	job     *state.Job
}

// newQueue lists the jobs that may start tasks now. A job that an earlier term may have started waits until
// no machine's tasks are unknown.
func (s *Scheduler) newQueue(now micros.Micros) queue {
	teams := s.TeamUsage()
	awaitsReconciliation := s.AwaitsReconciliation()
	withinGuarantee := s.Workload.JobsWithinGuarantee(s.Jobs)
	wall := micros.Wall()
	entries := make([]queueEntry, 0, len(s.Jobs))
	for _, j := range s.Jobs {
		s.ReviewQuarantine(j, now)
		count := j.StartableTasks(now)
		if count <= 0 || awaitsReconciliation(j) {
			continue
		}
		w := s.placementJob(j, count, withinGuarantee[j], wall)
		if s.hasAged(j, wall) {
			if rest := s.splitAged(w, j); rest != nil {
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

// placementJob is a job with so many startable tasks as placement sees it.
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
			waiting.StartDeadline, waiting.Late, waiting.AtRisk = wall, false, !j.IsProbing() // the others of its tasks wait for these
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

// hasAged reports whether a job has waited for a start for so long that it goes before others.
func (s *Scheduler) hasAged(j *state.Job, wall micros.Micros) bool {
	since := max(j.SubmittedAt, j.LastStart)
	if j.DoneCount > 0 {
		since = max(since, s.TermStartedAt) // no earlier term's starts are known
	}
	return len(j.Attempts) == 0 && wall-since > agingLimit && !j.IsProbing()
}

// splitAged has a part of a job's tasks go before all others; the rest, if any, waits as before.
func (s *Scheduler) splitAged(waiting *placement.Job, j *state.Job) (rest *placement.Job) {
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

// schedulableCPUs counts the CPUs of the machines that may get tasks.
func (s *Scheduler) schedulableCPUs(now micros.Micros) float64 {
	cpus := 0.0
	for _, m := range s.Fleet.Sorted {
		if m.IsOpenToAllZones(now) {
			cpus += s.Scaler.Type(m.Offering.Type).CPUs
		}
	}
	return cpus
}

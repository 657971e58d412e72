// Package scheduler decides which waiting tasks start on which machines, which running tasks are stopped to
// make room for them, and which machines are reserved for gangs.
//
// The package owns the queue, the times at which plans are made, and the reservations. The placement package makes the
// individual choices; the scheduler converts the leader's records into placement's types. The package does no I/O. A
// plan is written to the machines' PlannedStarts, which become binding only when the response to a heartbeat carries
// the starts; only the tasks of gangs are assigned at once. The scheduler must never plan while another node may lead.
// It must never plan a task that may be running on a machine whose tasks are unknown.
//
// The methods must be called with the leader's lock held.
package scheduler

import (
	"caperlatch/internal/leader/autoscaler"
	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/workload"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// Term is the part of the leader's term that the scheduler uses.
type Term interface {
	HoldsSession() bool
	IsExclusive() bool
}

// Gangs manages the attempts of gangs for the scheduler.
type Gangs interface {
	// AssignTasks assigns count waiting tasks of a gang to a machine.
	AssignTasks(m *state.Machine, j *state.Job, count int, now micros.Micros)
	// StopIfReachable stops all tasks of a gang, with grace as the time to save a checkpoint, if all of them
	// should receive the command in time. It reports whether it stopped them.
	StopIfReachable(j *state.Job, grace micros.Micros, reason string, now micros.Micros) bool
	// NonPreemptible returns the gangs that must not be preempted.
	NonPreemptible(now micros.Micros) map[*state.Job]bool
}

// Config holds a scheduler's dependencies and parameters. The functions are called with the leader's lock held.
type Config struct {
	Term     Term
	Fleet    *fleet.Fleet
	Scaler   *autoscaler.Scaler // for instance types and prices
	Workload *workload.Workload
	Gangs    Gangs
	// Jobs holds the jobs that have not ended, by ID. The leader maintains it.
	Jobs map[string]*state.Job
	// HeartbeatInterval is the usual time between two heartbeats of a worker.
	HeartbeatInterval micros.Micros
	// TermStartedAt is the wall-clock time at which the term started.
	TermStartedAt micros.Micros

	// TeamUsage returns each team's limit and the most resources that its tasks may be using.
	TeamUsage func() map[string]*placement.Team
	// AwaitsReconciliation returns a function that reports whether a job must not start tasks yet, because
	// machines whose tasks are unknown may be running some of its tasks.
	AwaitsReconciliation func() func(*state.Job) bool
	// ReviewQuarantine ends a job's quarantine if its running tasks show that it is not at fault.
	ReviewQuarantine func(j *state.Job, now micros.Micros)
	// OnlyZone returns the only zone in which a job may start tasks now, or "" if there is more than one.
	OnlyZone func(j *state.Job) string
	// EvacuationRank returns a job's position in the order in which work leaves a lost zone, or 0 if no zone is being
	// evacuated.
	EvacuationRank func(j *state.Job) int
	// Stop requests that an attempt stop within a grace period, and calls its worker.
	Stop func(a *state.Attempt, grace micros.Micros, reason string)
}

// Scheduler plans task starts, preemptions and reservations for one term.
type Scheduler struct {
	Config

	// PlannedAt is the time at which the latest plan was completed.
	PlannedAt     micros.Micros
	planDuration  micros.Micros // how long the latest plan took
	planRequested bool          // RequestPlan was called after the latest plan
	nextPlanAt    micros.Micros // latest time of the next plan, because tasks wait; 0 if none do

	queue           queue                         // as of the latest plan
	respondingTo    *state.Machine                // machine whose heartbeat is being answered, nil if none
	loggedDeferrals map[string]placement.Deferral // latest logged deferral by job ID; nil unless debug logging is on
	completions     completionRate
	reservations    map[string]*state.GangReservation // by job ID

	preemptedAt         micros.Micros // when preempt last ran
	preemptedForGangsAt micros.Micros // when preemptForGangs last searched for victims
}

// New returns a scheduler with an empty queue.
func New(c Config) *Scheduler {
	return &Scheduler{Config: c, reservations: map[string]*state.GangReservation{}}
}

// Limits of the time between two plans. A machine that sends a heartbeat is filled from the latest queue at once,
// however old that is. A new plan is needed only to add new jobs to the queue, to choose among machines with room,
// and to sort the queue again.
const (
	minPlanInterval = 100 * micros.Millisecond
	maxPlanInterval = micros.Second
)

// planTimeDivisor limits planning to 1/planTimeDivisor of the leader's time.
const planTimeDivisor = 10

// RequestPlan requests a new plan because something that plans depend on has changed.
func (s *Scheduler) RequestPlan() { s.planRequested = true }

// PlanIfNeeded makes a new plan if one was requested and minPlanInterval has passed, or if maxPlanInterval has passed and
// jobs are queued or tasks that are not queued have waited for long enough; see planBy. In each case, at least
// planTimeDivisor times the duration of the latest plan must have passed as well. respondingTo is the machine whose
// heartbeat is being answered, nil if there is none.
func (s *Scheduler) PlanIfNeeded(respondingTo *state.Machine, now micros.Micros) {
	elapsed := now - s.PlannedAt
	if elapsed < planTimeDivisor*s.planDuration {
		return
	}
	tasksWait := len(s.queue.jobs) > 0 || s.nextPlanAt != 0 && now >= s.nextPlanAt
	isDue := s.planRequested && elapsed >= minPlanInterval || tasksWait && elapsed >= maxPlanInterval
	if !isDue {
		return
	}
	s.respondingTo = respondingTo
	s.planRequested = false
	s.Plan(now)
	s.respondingTo = nil
	s.PlannedAt = micros.Now()
	s.planDuration = s.PlannedAt - now
}

// planBy sets the latest time of the next plan according to a job, unless an earlier time is set. A task that waits is
// not always queued: its start may be planned but never sent, and its job may be in a backoff or limited to a few tasks,
// which nothing but time or a heartbeat ends. So a plan is made when the backoff ends, and in any case once a machine
// that was to start the task would be too late with its heartbeat.
func (s *Scheduler) planBy(j *state.Job, now micros.Micros) {
	if j.WaitingTasks() == 0 {
		return
	}
	at := now + maxHeartbeatAge*s.HeartbeatInterval
	if now < j.BackoffUntil {
		at = min(at, j.BackoffUntil)
	}
	if s.nextPlanAt == 0 || at < s.nextPlanAt {
		s.nextPlanAt = at
	}
}

// QueuedJobs returns the number of jobs with startable tasks that are not planned.
func (s *Scheduler) QueuedJobs() int { return len(s.queue.jobs) }

// Plan decides which tasks the next response to each machine starts, which running tasks are stopped to make room, and
// which machines are reserved for gangs. It first discards the planned starts that have not been sent, because only
// sent starts are binding. While another node may lead, it plans nothing.
func (s *Scheduler) Plan(now micros.Micros) {
	for _, m := range s.Fleet.Sorted {
		m.PlannedStarts = m.PlannedStarts[:0]
	}
	s.queue = s.newQueue(now)
	q := &s.queue
	if len(q.jobs) == 0 || !s.Term.IsExclusive() {
		return
	}
	view := s.schedulableMachines(now, q.minNeed)
	for _, start := range placement.Plan(view.placement, q.waiting, q.teams) {
		s.planStarts(view.machines[start.Machine], q.jobs[start.Job], start.Count, now)
	}
	q.removeFullyPlanned()
	for _, w := range q.waiting {
		if w.Gang {
			w.EarliestStart = placement.EarliestGangStart(view.placement, w, s.HeartbeatInterval)
		}
	}
	s.preemptForGangs(now)
	s.reserveForGangs(now)
	q.hasSpareRoom = view.hasSpareRoom(q.waiting)
	if now-s.preemptedAt >= preemptInterval {
		s.preempt(now)
	}
}

// planStarts plans the start of count tasks of a job with the next response to a machine. The tasks of a gang
// are assigned to the machine immediately; planned starts of other jobs are not binding.
func (s *Scheduler) planStarts(m *state.Machine, j *state.Job, count int, now micros.Micros) {
	if j.IsGang() {
		s.DropReservation(j)
		s.Gangs.AssignTasks(m, j, count, now)
		return
	}
	for range count {
		m.PlannedStarts = append(m.PlannedStarts, j)
	}
}

// FillMachine plans further starts on a machine whose heartbeat is being answered, from the tasks that found no
// room in the latest plan.
func (s *Scheduler) FillMachine(m *state.Machine, now micros.Micros) {
	q := &s.queue
	if len(q.jobs) == 0 || m.Surplus && q.hasSpareRoom {
		// If every surplus machine got a few tasks, none of them would ever become idle.
		return
	}
	s.respondingTo = m
	machine := s.placementMachine(m, now)
	s.respondingTo = nil
	subtractPlanned(&machine, m)
	if !machine.Free.Fits(q.minNeed) {
		return
	}
	anyFullyPlanned := false // all tasks of at least one job are planned
	for _, start := range placement.Fill(&machine, q.waiting, q.teams) {
		anyFullyPlanned = anyFullyPlanned || q.waiting[start.Job].WaitingTasks == 0
		if j := q.jobs[start.Job]; !j.IsGang() || !j.Ended && start.Count == j.StartableTasks(now) {
			s.planStarts(m, j, start.Count, now)
		}
		// Otherwise the gang was cancelled, or its attempt ended, after the queue was built.
	}
	if anyFullyPlanned {
		q.removeFullyPlanned()
	}
}

// ProtectsNextStart reports whether the next task of a job to start is among the job's first tasks, which are protected
// from preemption until they have run for minUsefulRuntime. A job has as many protected tasks as go first if it ages
// before any of its tasks has started.
func ProtectsNextStart(j *state.Job) bool {
	return j.ProtectedTasks < 1+j.Spec.Tasks/agingDivisor
}

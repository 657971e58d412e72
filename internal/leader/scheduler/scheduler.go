// Package scheduler decides which waiting tasks start on which machines, which running tasks are stopped for
// them, and which machines are reserved for gangs.
//
// It owns the queue, when plans are made, and reservations; the choices themselves are the placement
// package's, which it shows the leader's records in the form that placement takes. It does no I/O: a plan
// is written into the machines' Planned lists, and becomes binding only as the response to a heartbeat
// carries the starts. It must never plan while another node may lead, nor plan tasks of a job that may still
// have them on machines whose tasks are not known.
//
// Its methods are called with the leader's lock held.
package scheduler

import (
	"caperlatch/internal/leader/autoscaler"
	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/workload"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// Term is what the scheduler needs of the leader's term.
type Term interface {
	HoldsSession() bool
	IsExclusive() bool
}

// Gangs is what the scheduler has done about the attempts of gangs.
type Gangs interface {
	// AssignTasks assigns waiting tasks of a gang to a machine.
	AssignTasks(m *state.Machine, j *state.Job, count int, now micros.Micros)
	// StopIfReachable stops all tasks of a gang, with time to save, if all should get the command in time.
	StopIfReachable(j *state.Job, grace micros.Micros, reason string, now micros.Micros) bool
	// NonPreemptible finds the gangs that must not be stopped for other work.
	NonPreemptible(now micros.Micros) map[*state.Job]bool
}

// Config is what a scheduler works with. The functions are called with the leader's lock held.
type Config struct {
	Term     Term
	Fleet    *fleet.Fleet
	Scaler   *autoscaler.Scaler // for instance types and prices
	Workload *workload.Workload
	Gangs    Gangs
	// Jobs are the jobs that have not ended, by ID; the leader keeps them.
	Jobs map[string]*state.Job
	// HeartbeatInterval is the usual time between a worker's heartbeats.
	HeartbeatInterval micros.Micros
	// TermStartedAt is when the term started, as time of day.
	TermStartedAt micros.Micros

	// TeamUsage is what each team may be using at worst, and its limit.
	TeamUsage func() map[string]*placement.Team
	// AwaitsReconciliation makes a function that reports whether a job must start nothing yet, as
	// machines whose tasks are not known may hold some of its tasks.
	AwaitsReconciliation func() func(*state.Job) bool
	// ReviewQuarantine ends a job's quarantine if its tasks have proved not to be at fault since.
	ReviewQuarantine func(j *state.Job, now micros.Micros)
	// OnlyZone is the only zone in which a job may start tasks now, empty if there are others.
	OnlyZone func(j *state.Job) string
	// EvacuationRank is a job's place in the order in which work leaves a lost zone, 0 without one.
	EvacuationRank func(j *state.Job) int
	// Stop has an attempt stopped within a grace period, and its worker called.
	Stop func(a *state.Attempt, grace micros.Micros, reason string)
}

// Scheduler plans for one term.
type Scheduler struct {
	Config

	// PlannedAt is when the latest plan was ready.
	PlannedAt     micros.Micros
	planDuration  micros.Micros // of that plan
	planRequested bool          // something changed since then

	queue        queue                         // as of the latest plan
	responding   *state.Machine                // whose heartbeat is being responded to
	deferred     map[string]placement.Deferral // by job ID, as logged; nil unless debugging
	completions  completionRate
	reservations map[string]*state.GangReservation // by job ID

	preemptedAt         micros.Micros // when preempt last ran
	preemptedForGangsAt micros.Micros // when preemptForGangs last looked for victims
}

// New makes a scheduler with an empty queue.
func New(c Config) *Scheduler {
	return &Scheduler{Config: c, reservations: map[string]*state.GangReservation{}}
}

// Times between plans. A machine that sends a heartbeat is filled from the queue at once, whenever the
// latest plan was made; plans are for new jobs, for choosing among machines with room, and for the queue's order.
const (
	minPlanInterval = 100 * micros.Millisecond
	maxPlanInterval = micros.Second
)

// planTimeDivisor is the part of the processor's time that plans may take.
const planTimeDivisor = 10

// RequestPlan has a plan made soon, as something has changed.
func (s *Scheduler) RequestPlan() { s.planRequested = true }

// PlanIfNeeded plans anew when something has changed or the queue has grown old, though it never takes more
// than a small part of the processor's time. responding is the machine whose heartbeat is being responded to, nil
// if there is none.
func (s *Scheduler) PlanIfNeeded(responding *state.Machine, now micros.Micros) {
	since := now - s.PlannedAt
	if since < planTimeDivisor*s.planDuration {
		return
	}
	isDue := s.planRequested && since >= minPlanInterval || len(s.queue.jobs) > 0 && since >= maxPlanInterval
	if !isDue {
		return
	}
	s.responding = responding
	s.planRequested = false
	s.Plan(now)
	s.responding = nil
	s.PlannedAt = micros.Now()
	s.planDuration = s.PlannedAt - now
}

// Plan decides anew what the next response to every machine starts. Plans that were not sent yet are made
// again: only sent starts bind.
func (s *Scheduler) Plan(now micros.Micros) {
	for _, m := range s.Fleet.Sorted {
		m.PlannedStarts = m.PlannedStarts[:0]
	}
	s.queue = s.newQueue(now)
	q := &s.queue
	if len(q.jobs) == 0 || !s.Term.IsExclusive() {
		return
	}
	view := s.schedulable(now, q.minNeed)
	for _, start := range placement.Plan(view.placement, q.waiting, q.teams) {
		s.planStarts(view.machines[start.Machine], q.jobs[start.Job], start.Count, now)
	}
	q.dropPlanned()
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

// planStarts has tasks of a job start with the next response to a machine. A gang's tasks are assigned from
// now on; others' plans bind nobody.
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

// FillMachine adds to what is planned for a machine whose heartbeat is being responded to, from what found
// no room in the latest plan.
func (s *Scheduler) FillMachine(m *state.Machine, now micros.Micros) {
	q := &s.queue
	if len(q.jobs) == 0 || m.Surplus && q.hasSpareRoom {
		// A few tasks on each machine would keep all of them busy for ever.
		return
	}
	s.responding = m
	machine := s.placementMachine(m, now)
	s.responding = nil
	subtractPlanned(&machine, m)
	if !machine.Free.Fits(q.minNeed) {
		return
	}
	hasPlannedAll := false // of some job
	for _, start := range placement.Fill(&machine, q.waiting, q.teams) {
		hasPlannedAll = hasPlannedAll || q.waiting[start.Job].WaitingTasks == 0
		if j := q.jobs[start.Job]; !j.IsGang() || !j.Ended && start.Count == j.StartableTasks(now) {
			s.planStarts(m, j, start.Count, now)
		}
		// Else the gang was cancelled, or its attempt has ended, since the queue was made.
	}
	if hasPlannedAll {
		q.dropPlanned()
	}
}

// ProtectsNextStart reports whether the next task of a job to start is one of the first of the job, which
// are protected from preemption until their starts count. They are the same part of the job that goes first when it
// has aged.
func ProtectsNextStart(j *state.Job) bool {
	return j.ProtectedTasks < 1+j.Spec.Tasks/agingDivisor
}

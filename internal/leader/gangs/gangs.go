// Package gangs keeps the attempts of gangs: jobs all of whose tasks run at the same time or not at all.
//
// The tasks of a gang find each other by their attempt number. So all tasks of an attempt have one number, and
// it changes only when every task of the last attempt is known to have left its machine.
//
// Launch. The tasks are assigned to machines all at once, as if they had started: they count in the machines'
// room, in their team's use and in the zones. Nothing else can take that room, and no gang waits for
// another's. Each start goes out with the next response to its machine. Until all tasks run, one that is lost
// is replaced under the same number. From then on a lost task ends the attempt, and all others are stopped.
//
// The package owns state.GangAttempt of every job: when an attempt begins, what heartbeats say of it, and when
// it ends. It chooses no machines (that is the scheduler's part), does no I/O and takes no lock: its methods are
// called with the leader's held. It must never start a task under a new number while a task of the last attempt
// may be left, nor stop a part of a running gang where all of it could save its work.
package gangs

import (
	"cmp"
	"log/slog"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// Term is what this package needs of the leader's term.
type Term interface {
	IsExclusive() bool
}

// Config is what a coordinator works with. The functions are called with the leader's lock held.
type Config struct {
	Term Term
	// Jobs are the jobs that have not ended, by ID; the leader keeps them.
	Jobs map[string]*state.Job
	// HeartbeatInterval is the usual time between a worker's heartbeats.
	HeartbeatInterval micros.Micros
	// AssemblyTimeout is how long a worker's task waits for the others of its gang before it exits.
	AssemblyTimeout micros.Micros

	// NextAttemptNumber is a number that no earlier start has had, in this term or before.
	NextAttemptNumber func() uint64
	// MayStayAssigned reports whether a task that is assigned to a machine may still start there.
	MayStayAssigned func(j *state.Job, m *state.Machine) bool
	// AwaitsReconciliation makes a function that reports whether a job must start nothing yet, as
	// machines whose tasks are not known may hold some of its tasks.
	AwaitsReconciliation func() func(*state.Job) bool
	// IsHeartbeatLate reports whether a machine should have sent a heartbeat by now.
	IsHeartbeatLate func(m *state.Machine, now micros.Micros) bool
	// IsZoneReachable reports whether commands should reach the machines of a zone.
	IsZoneReachable func(zone string) bool

	// Assign counts an attempt on its machine, and Release one that is known to have left.
	Assign  func(a *state.Attempt)
	Release func(a *state.Attempt, reason string)
	// PublishStarted publishes to followers that an assigned attempt's start is being sent.
	PublishStarted func(a *state.Attempt)
	// Stop has one attempt stopped within a grace period, and its worker called.
	Stop func(a *state.Attempt, grace micros.Micros, reason string)
	// MarkStopping notes that an attempt is to stop, and reports whether its worker must be called.
	MarkStopping func(a *state.Attempt, grace micros.Micros, reason string) (mustCall bool)
	// SendStops calls a machine's worker, again and again, to stop attempts that are marked so.
	SendStops func(m *state.Machine, stops []*state.Attempt)
	// StoreProgress has a chunk of a job's completed tasks stored.
	StoreProgress func(j *state.Job, chunk int)
	// ExpireReservation drops what is reserved for a gang if its time is over.
	ExpireReservation func(j *state.Job, now micros.Micros)
}

// Coordinator begins, watches and ends the attempts of gangs for one term.
type Coordinator struct{ Config }

// New makes a coordinator. All that is known of gangs stands in their jobs.
func New(c Config) *Coordinator { return &Coordinator{c} }

// AssignTasks assigns waiting tasks of a gang to a machine. Their starts go out with the next response to
// it. The first tasks to be assigned begin an attempt.
func (c *Coordinator) AssignTasks(m *state.Machine, j *state.Job, count int, now micros.Micros) {
	if len(j.Attempts) == 0 {
		j.Gang = state.GangAttempt{Number: c.NextAttemptNumber()}
		slog.Debug("gang attempt started", "job", j.Spec.ID, "attempt", j.Gang.Number, "tasks", j.Spec.Tasks)
	}
	for range count {
		index, ok := j.TakeWaitingTask()
		if !ok {
			return
		}
		a := &state.Attempt{Job: j, Index: index, Number: j.Gang.Number, Machine: m, StartedAt: now, Reserved: true, Protected: true}
		j.ProtectedTasks++
		c.Assign(a)
	}
}

// AppendStarts adds the starts of a machine's assigned tasks to the commands of the response to its latest
// heartbeat, as long as these are no more than limit.
func (c *Coordinator) AppendStarts(m *state.Machine, commands []wire.Command, limit int) []wire.Command {
	var starts []*state.Attempt
	for _, a := range m.Attempts {
		if a.Reserved {
			starts = append(starts, a)
		}
	}
	slices.SortFunc(starts, func(a, b *state.Attempt) int {
		return cmp.Or(cmp.Compare(a.Job.Spec.ID, b.Job.Spec.ID), cmp.Compare(a.Index, b.Index))
	})
	for _, a := range starts[:min(len(starts), max(0, limit-len(commands)))] {
		if !c.MayStayAssigned(a.Job, m) {
			// A task that nobody knew of has shown itself since the assignment.
			c.ReleaseUnsent(a, "it may not start there any more")
			continue
		}
		a.Reserved, a.StartSequence = false, m.Heartbeat.Sequence
		c.PublishStarted(a)
		commands = append(commands, wire.Command{Verb: wire.VerbStart, TaskID: a.TaskID(), Attempt: a.Number})
	}
	return commands
}

// ReleaseUnsent releases an assigned task whose start was never sent.
func (c *Coordinator) ReleaseUnsent(a *state.Attempt, reason string) {
	a.Reserved = false
	c.Release(a, reason)
}

// Check expires reservations, releases tasks whose machines do not come for their starts, and ends attempts
// that will not be complete in time.
func (c *Coordinator) Check(now micros.Micros) {
	awaitsReconciliation := c.AwaitsReconciliation()
	for _, j := range state.Gangs(c.Jobs) {
		if j.DoneCount > 0 {
			continue
		}
		c.ExpireReservation(j, now)
		if len(j.Attempts) == 0 {
			continue
		}
		for _, a := range j.Attempts {
			if a.Reserved && (c.missedItsStart(a, now) || !a.Machine.IsSchedulable(now)) {
				c.ReleaseUnsent(a, "its machine did not come for it")
			}
		}
		switch {
		case j.Gang.Ending:
			// What an adopted or repeated start brought is stopped as well.
			c.EndAttempt(j, state.CheckpointGrace(j), reasonBeingStopped)
		case j.Gang.Started && j.WaitingTasks() > 0 && !awaitsReconciliation(j):
			// Its task was lost in an earlier term, or between two.
			c.EndAttempt(j, 0, reasonTaskLost)
		case !j.Gang.Started && j.Gang.WaitingSince != 0 && now-j.Gang.WaitingSince > assemblyLimit(c.AssemblyTimeout):
			c.EndAttempt(j, state.CheckpointGrace(j), reasonIncomplete) // it may run unseen already
		}
	}
}

// missedItsStart reports whether an assigned task's machine has sent no heartbeat in time whose response
// would have carried the start.
func (c *Coordinator) missedItsStart(a *state.Attempt, now micros.Micros) bool {
	return now-a.StartedAt > c.HeartbeatInterval+c.HeartbeatInterval/4+micros.Second && c.IsHeartbeatLate(a.Machine, now)
}

// assemblyLimit is how long a gang's tasks may wait for the last one: what is to be undone should be so
// before the first of them gives up, which it does after timeout.
func assemblyLimit(timeout micros.Micros) micros.Micros { return timeout * 2 / 3 }

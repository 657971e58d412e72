// Package gangs manages the attempts of gangs. A gang is a job whose tasks run all at the same time or not at
// all.
//
// The tasks of a gang find each other by their attempt number. All tasks of an attempt therefore have the same
// number, and the number changes only once every task of the previous attempt is known to have left its
// machine.
//
// To launch a gang, all its tasks are assigned to machines together, as if they had started: they count towards the
// machines' used resources, their team's usage and the tasks per zone. No other job can take these resources, and no
// gang waits for resources that another one holds. Each start is sent with the next response to its machine. Until all
// tasks run, a lost task is replaced under the same attempt number. After that, a lost task ends the attempt, and all
// other tasks are stopped.
//
// The package owns the state.GangAttempt of every job: when an attempt begins, what heartbeats report about it, and
// when it ends. It does not choose machines, which is the scheduler's task. It does no I/O and takes no lock: its
// methods must be called with the leader's lock held. It must never start a task under a new number while a task of the
// previous attempt may be left. It must never stop only some tasks of a running gang when all of them could save their
// work.
package gangs

import (
	"cmp"
	"log/slog"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// Term is the part of the leader's term that this package uses.
type Term interface {
	IsExclusive() bool
}

// Config holds a coordinator's dependencies and parameters. The functions are called with the leader's lock
// held.
type Config struct {
	Term Term
	// Jobs holds the jobs that have not ended, by ID. The leader maintains it.
	Jobs map[string]*state.Job
	// HeartbeatInterval is the usual time between two heartbeats of a worker.
	HeartbeatInterval micros.Micros
	// AssemblyTimeout is how long a worker lets a task wait for the other tasks of its gang before the task
	// exits.
	AssemblyTimeout micros.Micros

	// NextAttemptNumber returns a number that no earlier start has used, in this term or in an earlier one.
	NextAttemptNumber func() uint64
	// MayStayAssigned reports whether a task that is assigned to a machine may still be started there.
	MayStayAssigned func(j *state.Job, m *state.Machine) bool
	// AwaitsReconciliation returns a function that reports whether a job must not start tasks yet, because
	// machines whose tasks are unknown may be running some of its tasks.
	AwaitsReconciliation func() func(*state.Job) bool
	// IsHeartbeatLate reports whether a machine's next heartbeat is overdue.
	IsHeartbeatLate func(m *state.Machine, now micros.Micros) bool
	// IsZoneReachable reports whether commands are expected to reach the machines of a zone.
	IsZoneReachable func(zone string) bool

	// Assign adds an attempt to its machine. Release removes an attempt that is known to have left its machine.
	Assign  func(a *state.Attempt)
	Release func(a *state.Attempt, reason string)
	// PublishStarted publishes to followers that the start of an assigned attempt is being sent.
	PublishStarted func(a *state.Attempt)
	// Stop requests that a single attempt stop within a grace period, and calls its worker.
	Stop func(a *state.Attempt, grace micros.Micros, reason string)
	// MarkStopping marks an attempt as stopping, and reports whether its worker must be called. An attempt whose start
	// was never sent is released instead.
	MarkStopping func(a *state.Attempt, grace micros.Micros, reason string) (mustCall bool)
	// SendStops calls a machine's worker, repeatedly if needed, to stop attempts that are marked as stopping.
	SendStops func(m *state.Machine, stops []*state.Attempt)
	// StoreProgress requests that a chunk of a job's completed tasks be stored.
	StoreProgress func(j *state.Job, chunk int)
	// ExpireReservation drops a gang's reservation if it has expired.
	ExpireReservation func(j *state.Job, now micros.Micros)
}

// Coordinator starts, monitors and ends the attempts of gangs for one term.
type Coordinator struct{ Config }

// New returns a coordinator. It has no state of its own: the state of each gang is part of its job.
func New(c Config) *Coordinator { return &Coordinator{c} }

// AssignTasks assigns count waiting tasks of a gang to a machine. Their starts are sent with the next response
// to the machine. The first assignment of a gang without tasks on machines begins a new attempt.
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

// AppendStarts appends the start commands of a machine's assigned tasks to the commands of the response to the
// machine's latest heartbeat, up to limit commands in all. An assigned task that may not start on the machine any more
// is released instead.
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
			// A task that was not known at the assignment has since been reported. Together with it, the gang may
			// exceed the team's limit, or violate its zone constraints on this machine.
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

// Check expires reservations, and releases assigned tasks whose machines have missed the heartbeat that would have
// carried the start, or are no longer schedulable. It ends an attempt that has lost a task or has waited for too long
// to be complete, and stops the tasks that are left of an attempt that is already ending. It skips gangs that are done.
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
			if a.Reserved && (c.missedStartHeartbeat(a, now) || !a.Machine.IsSchedulable(now)) {
				c.ReleaseUnsent(a, "its machine did not come for it")
			}
		}
		switch {
		case j.Gang.Ending:
			// This also stops tasks that were adopted, or started again, after the attempt had begun to end.
			c.EndAttempt(j, state.CheckpointGrace(j), reasonBeingStopped)
		case j.Gang.Started && j.WaitingTasks() > 0 && !awaitsReconciliation(j):
			// A task was lost in an earlier term or between two terms.
			c.EndAttempt(j, 0, reasonTaskLost)
		case !j.Gang.Started && j.Gang.WaitingSince != 0 && now-j.Gang.WaitingSince > maxAssemblyTime(c.AssemblyTimeout):
			// The gang may be running although no heartbeat has reported it yet, so its tasks get time to save a
			// checkpoint.
			c.EndAttempt(j, state.CheckpointGrace(j), reasonIncomplete)
		}
	}
}

// missedStartHeartbeat reports whether the machine of an assigned task has failed to send, in time, the
// heartbeat whose response would have carried the start.
func (c *Coordinator) missedStartHeartbeat(a *state.Attempt, now micros.Micros) bool {
	return now-a.StartedAt > c.HeartbeatInterval+c.HeartbeatInterval/4+micros.Second && c.IsHeartbeatLate(a.Machine, now)
}

// maxAssemblyTime is how long a gang's tasks may wait for the last one. Waiting tasks exit by themselves after timeout,
// so maxAssemblyTime is shorter: the attempt is ended before the first task exits.
func maxAssemblyTime(timeout micros.Micros) micros.Micros { return timeout * 2 / 3 }

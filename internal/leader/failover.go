package leader

import (
	"cmp"
	"log/slog"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
)

// FailoverProgress records how far the failover to this term is.
type FailoverProgress interface {
	// StateRead records that all that earlier terms stored was read, through a revision, and reports whether the
	// leader may decide from then on.
	StateRead(readThrough uint64, handedOver bool) bool
	// TasksKnown records that the tasks of all machines are known.
	TasksKnown()
}

// failoverState is what the leader keeps of the term before, and of its own end.
type failoverState struct {
	tasksKnownRecorded bool   // FailoverProgress.TasksKnown was called
	handedOver         bool   // some machines' tasks are known by the handover of the term before
	handingOver        bool   // this term is handed over: nothing more is decided
	successor          string // the member that it is handed over to, "" if any may lead next
}

// restoreFromPreviousTerm goes on from the view of the term before. It is a hint: which machines to query first
// and in which incarnation, which terminations to repeat and how classes' run times turned out. Only a complete
// handover proves more.
func (l *Leader) restoreFromPreviousTerm() {
	v := l.PreviousTerm
	if v == nil {
		return
	}
	for class, moments := range v.Estimates {
		l.workload.RestoreMoments(class, moments)
	}
	l.handedOver = v.ProvesAssignments(l.FencingToken)
	for id, known := range v.Machines {
		m := l.fleet.Machines[id]
		if m == nil {
			continue
		}
		m.Reconciliation.PreviousTerm = known
		if l.handedOver && known.TasksKnown && !m.TasksKnown() {
			l.adoptHandedOver(m, known)
		}
		if known.Terminating && v.FencingToken+1 == l.FencingToken && l.Term.HoldsSession() {
			// A termination is never revoked; the term before may not have had its response. A leader in
			// between may have used the machine, not knowing of it.
			l.fleet.Terminate(m, "an earlier leader was returning it")
		}
	}
	if l.handedOver {
		l.terminateDropped()
	}
	slog.Info("view of the previous term used", "fencing_token", v.FencingToken, "handed_over", l.handedOver, "machines", len(v.Machines), "tasks", v.CountTasks())
}

// terminateDropped terminates the machines that the term before had dropped, which it does only once the cloud
// has responded to their termination: that they are terminated was not stored yet. The cloud's response to this
// term's request proves it anew.
func (l *Leader) terminateDropped() {
	for _, m := range l.fleet.Sorted {
		if !m.TasksKnown() && m.Reconciliation.PreviousTerm == nil && l.Term.HoldsSession() {
			l.fleet.Terminate(m, "an earlier leader had returned it")
		}
	}
}

// adoptHandedOver takes a machine's tasks from the view of a leader that has handed over: the machine holds none
// but these. Which of them have ended by now, its next heartbeat shows.
//
// The leader before made its last response before it released its session, so before this term started: the
// machine's lease counts from then on, as if this term had responded to it.
//
// A machine with a task that cannot be counted, as its job is over and kept no description, stays one with
// unknown tasks: the task may still take its team's CPUs.
func (l *Leader) adoptHandedOver(m *state.Machine, known *standby.Machine) {
	var attempts []*state.Attempt
	for id, task := range known.Tasks {
		if task.Reserved {
			continue // its start was never sent
		}
		j, index := l.findTask(id)
		if j == nil {
			return
		}
		attempts = append(attempts, &state.Attempt{Job: j, Index: index, Number: task.Attempt, Machine: m, StartedAt: l.startedAt})
	}
	for _, a := range attempts {
		l.assign(a)
		if a.Job.IsGang() && a.Number > a.Job.Gang.Number {
			a.Job.Gang = state.GangAttempt{Number: a.Number}
		}
	}
	m.Reconciliation.Knowledge = state.TasksHandedOver
	m.Lease.RenewedAt = l.startedAt
	for _, a := range attempts {
		if a.Job.Ended {
			// The term before may not have sent its stop, and no heartbeat will show the task as news: once known
			// to be there, it ran on for ever.
			l.stopTask(a, 0, "job is over")
		}
	}
}

// findTask finds the job of a task and the task's index. The job is nil if the task cannot be counted.
func (l *Leader) findTask(id string) (j *state.Job, index int) {
	jobID, index, err := state.ParseTaskID(id)
	if err != nil {
		return nil, 0
	}
	if j = l.jobs[jobID]; j == nil {
		j = l.cancelledJob(jobID)
	}
	if j == nil || index >= j.Spec.Tasks {
		return nil, 0
	}
	return j, index
}

// unknownMachines are the machines whose tasks are not known.
type unknownMachines struct {
	count     int
	offerings []state.Offering // of these, each once
}

// findUnknownMachines finds the machines whose tasks are not known now.
func (l *Leader) findUnknownMachines() (u unknownMachines) {
	for _, m := range l.fleet.Sorted {
		if m.TasksKnown() {
			continue
		}
		u.count++
		if !slices.Contains(u.offerings, m.Offering) {
			u.offerings = append(u.offerings, m.Offering)
		}
	}
	return u
}

// mustAwaitReconciliation reports whether a job must start nothing yet: it may have tasks on machines whose tasks
// are not known. Every leader of any version starts a task only on a machine of an offering that its job allows,
// so machines of other offerings have none of it; that is made use of with the standby on. A gang also waits
// until all machines have confirmed what a handover says of them, since only their heartbeats show whether its
// attempt runs or ends.
func (l *Leader) mustAwaitReconciliation(j *state.Job, u unknownMachines) bool {
	switch {
	case !j.MayHaveEarlierTasks:
		return false
	case j.IsGang() && l.countUnconfirmed() > 0:
		return true
	case l.Followers == nil:
		return u.count > 0
	}
	return slices.ContainsFunc(u.offerings, j.MayRunOn)
}

// countUnconfirmed counts the machines whose tasks are known by a handover alone.
func (l *Leader) countUnconfirmed() (n int) {
	if !l.handedOver {
		return 0
	}
	for _, m := range l.fleet.Machines {
		if m.Reconciliation.Knowledge == state.TasksHandedOver {
			n++
		}
	}
	return n
}

// areAllTasksConfirmed reports whether each machine itself has confirmed which tasks it holds.
func (l *Leader) areAllTasksConfirmed() bool {
	return l.fleet.CountWithUnknownTasks()+l.countUnconfirmed() == 0
}

// recordTasksKnown records once that the tasks of all machines are known: the failover is complete.
func (l *Leader) recordTasksKnown() {
	if l.FailoverProgress == nil || l.tasksKnownRecorded || !l.ready || !l.areAllTasksConfirmed() {
		return
	}
	l.tasksKnownRecorded = true
	l.FailoverProgress.TasksKnown()
}

// sortByQueryPriority sorts machines into the order in which they are queried for their tasks: while urgent work
// waits, those that should have room for it come first, and then the busiest, which most jobs wait for.
func (l *Leader) sortByQueryPriority(machines []*state.Machine) {
	const first = -1 << 20
	hasUrgentWork := false
	for _, j := range l.jobs {
		hasUrgentWork = hasUrgentWork || j.WaitingTasks() > 0 && j.Priority >= wire.PriorityRank(wire.PriorityUrgent)
	}
	rank := func(m *state.Machine) int {
		tasks := 0
		if m.Reconciliation.PreviousTerm != nil {
			tasks = len(m.Reconciliation.PreviousTerm.Tasks)
		}
		if hasUrgentWork && tasks == 0 {
			return first
		}
		return -tasks
	}
	slices.SortStableFunc(machines, func(a, b *state.Machine) int { return cmp.Compare(rank(a), rank(b)) })
}

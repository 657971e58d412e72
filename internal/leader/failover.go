package leader

import (
	"cmp"
	"log/slog"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
)

// FailoverProgress records the progress of the failover to this term.
type FailoverProgress interface {
	// StateRead records that the leader has read everything that earlier terms stored, up to revision readThrough. It
	// reports whether the leader may make decisions from then on.
	StateRead(readThrough uint64, handedOver bool) bool
	// TasksKnown records that the leader knows the tasks of all machines.
	TasksKnown()
}

// failoverState is the state of the failover from the previous term and of the handover to the next.
type failoverState struct {
	tasksKnownRecorded     bool   // FailoverProgress.TasksKnown was called
	previousTermHandedOver bool   // the previous term ended with a complete handover, which lists the tasks on its machines
	handingOver            bool   // this term is being handed over, or was: the leader makes no more decisions
	successor              string // the member that this term is handed over to, "" if any may lead next
}

// restoreFromPreviousTerm applies this node's view of the previous term, if it has one. The view is only a hint about
// which machines to query first and in which incarnation, which terminations to repeat, and how the run times of job
// classes compare with their estimates. Only a complete handover also proves which tasks are on the machines.
func (l *Leader) restoreFromPreviousTerm() {
	v := l.PreviousTerm
	if v == nil {
		return
	}
	for class, moments := range v.Estimates {
		l.workload.RestoreMoments(class, moments)
	}
	l.previousTermHandedOver = v.ProvesAssignments(l.FencingToken)
	for id, known := range v.Machines {
		m := l.fleet.Machines[id]
		if m == nil {
			continue
		}
		m.Reconciliation.PreviousTerm = known
		if l.previousTermHandedOver && known.TasksKnown && !m.TasksKnown() {
			l.adoptHandedOver(m, known)
		}
		if known.Terminating && v.FencingToken+1 == l.FencingToken && l.Term.HoldsSession() {
			// The previous leader may not have received the cloud's response to the termination. A leader never revokes
			// a termination, so it is repeated. It is not repeated if the view is of a still earlier term: the leader
			// in between may have used the machine without knowing of the termination.
			l.fleet.Terminate(m, "an earlier leader was returning it")
		}
	}
	if l.previousTermHandedOver {
		l.terminateDroppedMachines()
	}
	slog.Info("previous term's view applied", "fencing_token", v.FencingToken, "handed_over", l.previousTermHandedOver, "machines", len(v.Machines), "tasks", v.CountTasks())
}

// terminateDroppedMachines terminates again the stored machines that a handed-over view lacks. The previous leader
// removed a machine from the view only after the cloud had responded to its termination. So it had terminated these
// machines, but not yet stored their removal. The cloud's response to this term's request proves the termination again.
func (l *Leader) terminateDroppedMachines() {
	for _, m := range l.fleet.Sorted {
		if !m.TasksKnown() && m.Reconciliation.PreviousTerm == nil && l.Term.HoldsSession() {
			l.fleet.Terminate(m, "an earlier leader had returned it")
		}
	}
}

// adoptHandedOver assigns the tasks of a machine from the view of a leader that has handed over. The machine holds no
// other tasks. Its next heartbeat shows which of them have ended since.
//
// The previous leader sent its last response before it released its session, and so before this term started. The
// machine's lease is therefore counted from the start of this term, as if this term had sent that response.
//
// If a job is over and its description was not kept, the resources of its tasks are not known. Such a task may still
// use its team's CPUs, so a machine that holds one keeps counting as a machine with unknown tasks, and none of its
// tasks are assigned.
func (l *Leader) adoptHandedOver(m *state.Machine, known *standby.Machine) {
	var attempts []*state.Attempt
	for id, task := range known.Tasks {
		if task.Reserved {
			continue // the start was never sent
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
	// The tasks are those of this incarnation. A late copy of a heartbeat from an earlier one must not be the first that
	// this term records: the next heartbeat of the present incarnation would then seem to prove that the tasks are gone.
	m.Heartbeat.Incarnation = known.Incarnation
	m.Lease.RenewedAt = l.startedAt
	for _, a := range attempts {
		if a.Job.Ended {
			// The previous leader may not have sent the stop. As the task is already known here, no heartbeat will lead
			// to its adoption, which would stop it. Without this stop it would run forever.
			l.stopTask(a, 0, "job is over")
		}
	}
}

// findTask returns the job of a task and the task's index in it. The job is nil if the task ID is invalid, if the
// job's description is not known, or if the job has no task with that index.
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

// machinesWithUnknownTasks summarizes the machines whose tasks are not known, for mustAwaitReconciliation.
type machinesWithUnknownTasks struct {
	count     int
	offerings []state.Offering // distinct offerings of these machines
}

// findMachinesWithUnknownTasks returns the number and the offerings of the machines whose tasks are not known now.
func (l *Leader) findMachinesWithUnknownTasks() (u machinesWithUnknownTasks) {
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

// mustAwaitReconciliation reports whether no task of a job may start yet because some of its tasks may be on machines
// whose tasks are not known. Without the standby, any such machine matters. With the standby, only machines of
// offerings that the job allows matter, as leaders of every version start a job's tasks only there. A gang also waits
// until all machines have confirmed the tasks that a handover names, because only their heartbeats show whether the
// gang's attempt is running or ending.
func (l *Leader) mustAwaitReconciliation(j *state.Job, u machinesWithUnknownTasks) bool {
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

// countUnconfirmed returns the number of machines whose tasks are known only from a handover.
func (l *Leader) countUnconfirmed() (n int) {
	if !l.previousTermHandedOver {
		return 0
	}
	for _, m := range l.fleet.Machines {
		if m.Reconciliation.Knowledge == state.TasksHandedOver {
			n++
		}
	}
	return n
}

// areAllTasksConfirmed reports whether every machine itself has confirmed its tasks.
func (l *Leader) areAllTasksConfirmed() bool {
	return l.fleet.CountWithUnknownTasks()+l.countUnconfirmed() == 0
}

// recordTasksKnown records, once per term, that the failover is complete because every machine itself has confirmed its
// tasks.
func (l *Leader) recordTasksKnown() {
	if l.FailoverProgress == nil || l.tasksKnownRecorded || !l.ready || !l.areAllTasksConfirmed() {
		return
	}
	l.tasksKnownRecorded = true
	l.FailoverProgress.TasksKnown()
}

// sortByQueryPriority sorts machines into the order in which they are queried for their tasks. The more tasks a machine
// had in the previous term, the earlier it is queried, because more jobs wait for it. While urgent tasks wait, however,
// machines without known tasks of that term come first, as they probably have room.
func (l *Leader) sortByQueryPriority(machines []*state.Machine) {
	const firstRank = -1 << 20
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
			return firstRank
		}
		return -tasks
	}
	slices.SortStableFunc(machines, func(a, b *state.Machine) int { return cmp.Compare(rank(a), rank(b)) })
}

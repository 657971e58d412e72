package leader

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"caperlatch/internal/micros"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// Followers are the nodes that keep a view of what this term decides.
type Followers interface {
	// Publish adds an entry, without waiting for anybody.
	Publish(e standby.Entry)
	// Position is that of the newest entry.
	Position() uint64
	// FurthestFollower is the follower that has applied most, of those heard within a time.
	FurthestFollower(within micros.Micros) standby.FollowerState
	// HasApplied tells whether a follower has applied all up to a position.
	HasApplied(member string, position uint64) bool
}

// FailoverProgress is told how far the take-over is.
type FailoverProgress interface {
	// StateRead notes that all that earlier terms stored is known through a revision, and
	// tells whether that allows to decide.
	StateRead(readThrough uint64, handedOver bool) bool
	// TasksKnown notes that the tasks of all machines are known.
	TasksKnown()
}

// standbyState is what the leader keeps for followers, and for a handover.
type standbyState struct {
	reportedTasksKnown bool // Progress was told so
	handedOver         bool // some machines' tasks are known by the handover of the term before
	handingOver        bool // this term hands over: nothing more is decided
}

// ErrNotReady says that a leader cannot hand over now.
var ErrNotReady = errors.New("the leader is still taking over, or is handing over already")

// publish tells the followers.
func (l *Leader) publish(e standby.Entry) {
	if l.Followers != nil {
		l.Followers.Publish(e)
	}
}

// publishAssigned tells that a task holds its place on a machine.
func (l *Leader) publishAssigned(a *attempt) {
	if l.Followers == nil {
		return
	}
	l.publish(standby.Entry{TaskAssigned: &standby.TaskAssigned{
		Machine: a.machine.id,
		Task:    taskID(a.job.spec.ID, a.index),
		TaskState: standby.TaskState{
			Attempt:  a.number,
			Stopping: a.stopRequestedAt != 0,
			Urgent:   a.job.priority >= wire.PriorityRank(wire.PriorityUrgent),
			Reserved: a.reserved,
		},
	}})
}

// publishRemoved tells that a task is surely no longer on a machine.
func (l *Leader) publishRemoved(a *attempt) {
	if l.Followers != nil {
		l.publish(standby.Entry{TaskRemoved: &standby.TaskRemoved{Machine: a.machine.id, Task: taskID(a.job.spec.ID, a.index)}})
	}
}

// publishMachine tells what has changed of a machine besides its tasks.
func (l *Leader) publishMachine(m *machine) {
	state := standby.MachineState{Incarnation: m.heartbeat.incarnation, TasksKnown: m.tasksConfirmed()}
	if l.Followers == nil || m.published == state {
		return
	}
	m.published = state
	l.publish(standby.Entry{MachineObserved: &standby.MachineObserved{Machine: m.id, MachineState: state}})
}

// publishEstimates tells what the classes' run times have been, which is not stored.
func (l *Leader) publishEstimates() {
	if l.Followers == nil {
		return
	}
	for class, e := range l.estimates {
		l.publish(standby.Entry{EstimateUpdated: &standby.EstimateUpdated{Class: class, Moments: e.Moments()}})
	}
}

// usePreviousTerm goes on from the view of the term before. It is a hint: it tells whom to ask
// first and in which session, which returns to repeat and how classes' run times turned
// out. Only a complete handover proves more.
func (l *Leader) usePreviousTerm() {
	v := l.PreviousTerm
	if v == nil {
		return
	}
	for class, moments := range v.Estimates {
		l.restoreEstimate(class, moments)
	}
	l.handedOver = v.ProvesAssignments(l.FencingToken)
	for id, known := range v.Machines {
		m := l.machines[id]
		if m == nil {
			continue
		}
		m.reconciliation.previousTerm = known
		if l.handedOver && known.TasksKnown && !m.tasksKnown() {
			l.adoptHandedOver(m, known)
		}
		if known.Terminating && v.FencingToken+1 == l.FencingToken && l.Term.HoldsSession() {
			// A return is never taken back; the term before may not have had its answer. A
			// leader in between may have used the machine, not knowing of it.
			l.terminate(m, "an earlier leader was returning it")
		}
	}
	if l.handedOver {
		l.terminateDropped()
	}
	slog.Info("standby: the term before", "token", v.FencingToken, "handed_over", l.handedOver, "machines", len(v.Machines), "tasks", v.CountTasks())
}

// terminateDropped returns the machines that the term before had dropped, which it does only
// once their return was answered: that they are gone was not stored yet. What the cloud
// answers proves it anew.
func (l *Leader) terminateDropped() {
	for _, m := range l.sorted {
		if !m.tasksKnown() && m.reconciliation.previousTerm == nil && l.Term.HoldsSession() {
			l.terminate(m, "an earlier leader had returned it")
		}
	}
}

// restoreEstimate goes on from a class's estimate.
func (l *Leader) restoreEstimate(class string, moments []float64) {
	e := newEstimate()
	if e.Restore(moments) {
		l.estimates[class] = e
	}
}

// adoptHandedOver takes a machine's tasks from the view of a leader that has handed over:
// the machine holds none but these. Which of them are gone by now, its next snapshot tells.
//
// The leader before had made its last answer before it let go of its session, so before this
// term began: the machine's lease counts from then on, as if this term had answered it.
//
// A machine with a task that cannot be counted, as its job is over and kept no description, is
// left unresolved: the task may still take its team's GuaranteedCPUs.
func (l *Leader) adoptHandedOver(m *machine, known *standby.Machine) {
	var attempts []*attempt
	for name, task := range known.Tasks {
		if task.Reserved {
			continue // its start was never sent
		}
		j, n := l.findTask(name)
		if j == nil {
			return
		}
		attempts = append(attempts, &attempt{job: j, index: n, number: task.Attempt, machine: m, startedAt: l.startedAt})
	}
	for _, a := range attempts {
		l.assign(a)
		if a.job.isGang() && a.number > a.job.gang.number {
			a.job.gang = gangAttempt{number: a.number}
		}
	}
	m.reconciliation.knowledge = tasksHandedOver
	m.lease.renewedAt = l.startedAt
	for _, a := range attempts {
		if a.job.ended {
			// The term before may not have told it, and no report will show it as news: known to
			// be there, it went on for ever.
			l.stopTask(a, 0, "job is over")
		}
	}
}

// findTask is the job that a task is of, and the task's number; nil if it cannot be counted.
func (l *Leader) findTask(name string) (j *job, n int) {
	id, n, err := parseTaskID(name)
	if err != nil {
		return nil, 0
	}
	if j = l.jobs[id]; j == nil {
		j = l.cancelledJob(id)
	}
	if j == nil || n >= j.spec.Tasks {
		return nil, 0
	}
	return j, n
}

// unknownMachines tells of which machines the tasks are not known.
type unknownMachines struct {
	count     int
	offerings []offering // of these, each once
}

// unknownMachinesNow tells of which machines the tasks are not known now.
func (l *Leader) unknownMachinesNow() (u unknownMachines) {
	for _, m := range l.sorted {
		if m.tasksKnown() {
			continue
		}
		u.count++
		if !slices.Contains(u.offerings, m.offering) {
			u.offerings = append(u.offerings, m.offering)
		}
	}
	return u
}

// mustAwaitReconciliation tells whether a job must start nothing yet: it may have tasks on machines whose
// tasks are not known. Every leader of any version starts a task only on a machine whose type,
// zone and kind its job allows, so machines of other kinds have none of it; that is made use of
// with the standby on. A gang also waits until all machines have confirmed what a handover
// told of them, since only their reports tell whether its attempt runs or ends.
func (l *Leader) mustAwaitReconciliation(j *job, u unknownMachines) bool {
	switch {
	case !j.mayHaveEarlierTasks:
		return false
	case j.isGang() && l.countUnconfirmed() > 0:
		return true
	case l.Followers == nil:
		return u.count > 0
	}
	probe := placement.Job{InstanceTypes: j.spec.InstanceTypes, Zone: j.spec.Zone, AllowSpot: j.spec.AllowSpot}
	return slices.ContainsFunc(u.offerings, func(kind offering) bool {
		return placement.ConstraintsAdmit(&probe, kind.Type, kind.Zone, kind.Spot)
	})
}

// countUnconfirmed counts the machines whose tasks are known by a handover alone.
func (l *Leader) countUnconfirmed() (n int) {
	if !l.handedOver {
		return 0
	}
	for _, m := range l.machines {
		if m.reconciliation.knowledge == tasksHandedOver {
			n++
		}
	}
	return n
}

// reportTasksKnown tells once that the tasks of all machines are known.
func (l *Leader) reportTasksKnown() {
	if l.FailoverProgress == nil || l.reportedTasksKnown || !l.ready || l.countUnknownMachines()+l.countUnconfirmed() > 0 {
		return
	}
	l.reportedTasksKnown = true
	l.FailoverProgress.TasksKnown()
}

// sortByQueryPriority has machines asked in the order in which their answers matter: while urgent work
// waits, those that should have room for it, and then the busiest, which most jobs wait for.
func (l *Leader) sortByQueryPriority(ms []*machine) {
	urgent := false
	for _, j := range l.jobs {
		urgent = urgent || j.waiting() > 0 && j.priority >= wire.PriorityRank(wire.PriorityUrgent)
	}
	rank := func(m *machine) int {
		tasks := 0
		if m.reconciliation.previousTerm != nil {
			tasks = len(m.reconciliation.previousTerm.Tasks)
		}
		if urgent && tasks == 0 {
			return -1 << 20
		}
		return -tasks
	}
	slices.SortStableFunc(ms, func(a, b *machine) int { return cmp.Compare(rank(a), rank(b)) })
}

// Times of a handover.
const (
	handoverPollInterval = 20 * micros.Millisecond
	// followerFreshWithin is how fresh a follower's last query must be for it to be handed to.
	followerFreshWithin = micros.Second
	// handoverFlushDivisor is the part of a handover's time that what is to be stored may take.
	handoverFlushDivisor = 3
)

// HandOver ends the term as planned, within a limit: nothing more is decided, what can be
// stored in time is, the follower that is furthest hears the last position, and then the
// session is let go. If that follower ends, anyone may lead. It tells who was named.
func (l *Leader) HandOver(limit micros.Micros) (to string, err error) {
	if l.Followers == nil {
		return "", fmt.Errorf("%w: the standby is off", ErrNotReady)
	}
	began := micros.Now()
	l.mu.Lock()
	if !l.ready || l.handingOver || l.superseded {
		l.mu.Unlock()
		return "", ErrNotReady
	}
	l.handingOver = true
	l.mu.Unlock()
	for micros.Now() < began+limit/handoverFlushDivisor && !l.allStored() {
		l.wakeFlush()
		handoverPollInterval.Sleep()
	}
	position, to := l.publishHandover()
	for to != "" && micros.Now() < began+limit && !l.Followers.HasApplied(to, position) {
		handoverPollInterval.Sleep()
	}
	slog.Info("handing over", "token", l.FencingToken, "to", to, "applied", to != "" && l.Followers.HasApplied(to, position), "took", (micros.Now() - began).Duration())
	l.termLostOnce.Do(func() { close(l.termLost) })
	return to, nil
}

// allStored tells whether nothing waits to be written, but for what can wait for long.
func (l *Leader) allStored() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, soon := range l.dirty {
		if soon {
			return false
		}
	}
	return !l.inFlight
}

// publishHandover publishes the term's last entry. All starts were published before it,
// since they are under the same lock and none follows.
func (l *Leader) publishHandover() (position uint64, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to = l.Followers.FurthestFollower(followerFreshWithin).Member
	l.publish(standby.Entry{Handover: &standby.Handover{To: to, Complete: l.countUnknownMachines()+l.countUnconfirmed() == 0}})
	return l.Followers.Position(), to
}

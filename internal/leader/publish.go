package leader

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
)

// Followers are the nodes that keep a view of what this term decides. It is safe for concurrent use.
type Followers interface {
	// Publish appends an entry. It never blocks.
	Publish(e standby.Entry)
	// Position is that of the newest entry.
	Position() uint64
	// FurthestFollower is the follower that has applied most, of those that sent a query within a time; the
	// zero value if there is none.
	FurthestFollower(within micros.Micros) standby.FollowerState
	// HasApplied reports whether a follower has applied all entries up to a position.
	HasApplied(member string, position uint64) bool
}

// publish appends an entry to what followers read.
func (l *Leader) publish(e standby.Entry) {
	if l.Followers != nil {
		l.Followers.Publish(e)
	}
}

// publishAssigned publishes that a task is assigned to a machine, and in which state.
func (l *Leader) publishAssigned(a *state.Attempt) {
	if l.Followers == nil {
		return
	}
	l.publish(standby.Entry{TaskAssigned: &standby.TaskAssigned{
		Machine: a.Machine.ID,
		Task:    a.TaskID(),
		TaskState: standby.TaskState{
			Attempt:  a.Number,
			Stopping: a.StopRequestedAt != 0,
			Urgent:   a.Job.Priority >= wire.PriorityRank(wire.PriorityUrgent),
			Reserved: a.Reserved,
		},
	}})
}

// publishRemoved publishes that a task is proved to be no longer on a machine.
func (l *Leader) publishRemoved(a *state.Attempt) {
	if l.Followers != nil {
		l.publish(standby.Entry{TaskRemoved: &standby.TaskRemoved{Machine: a.Machine.ID, Task: a.TaskID()}})
	}
}

// publishMachine publishes what has changed of a machine besides its tasks.
func (l *Leader) publishMachine(m *state.Machine) {
	current := standby.MachineState{Incarnation: m.Heartbeat.Incarnation, TasksKnown: m.TasksConfirmed()}
	if l.Followers == nil || m.Published == current {
		return
	}
	m.Published = current
	l.publish(standby.Entry{MachineObserved: &standby.MachineObserved{Machine: m.ID, MachineState: current}})
}

// publishEstimates publishes how the classes' run times compare with their estimates, which is not stored.
func (l *Leader) publishEstimates() {
	if l.Followers == nil {
		return
	}
	for class, moments := range l.workload.Moments() {
		l.publish(standby.Entry{EstimateUpdated: &standby.EstimateUpdated{Class: class, Moments: moments}})
	}
}

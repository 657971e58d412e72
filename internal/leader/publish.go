package leader

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
)

// Followers is the stream of entries to the nodes that keep a view of this term's decisions. Implementations are safe
// for concurrent use.
type Followers interface {
	// Publish appends an entry to the stream. It never blocks.
	Publish(e standby.Entry)
	// Position returns the position of the newest entry.
	Position() uint64
	// MostUpToDateFollower returns the follower that has applied the most entries, of those whose last query is no
	// older than within. It returns the zero value if there is none.
	MostUpToDateFollower(within micros.Micros) standby.FollowerState
	// HasApplied reports whether a follower has applied all entries up to a position.
	HasApplied(member string, position uint64) bool
}

// publish publishes an entry to the followers, if the node has a warm standby.
func (l *Leader) publish(e standby.Entry) {
	if l.Followers != nil {
		l.Followers.Publish(e)
	}
}

// publishAssigned publishes that a task is assigned to a machine, and the state of its attempt.
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

// publishRemoved publishes that a task is proven to have left a machine.
func (l *Leader) publishRemoved(a *state.Attempt) {
	if l.Followers != nil {
		l.publish(standby.Entry{TaskRemoved: &standby.TaskRemoved{Machine: a.Machine.ID, Task: a.TaskID()}})
	}
}

// publishMachine publishes a machine's incarnation and whether its tasks are confirmed, if either has changed.
func (l *Leader) publishMachine(m *state.Machine) {
	current := standby.MachineState{Incarnation: m.Heartbeat.Incarnation, TasksKnown: m.TasksConfirmed()}
	if l.Followers == nil || m.Published == current {
		return
	}
	m.Published = current
	l.publish(standby.Entry{MachineObserved: &standby.MachineObserved{Machine: m.ID, MachineState: current}})
}

// publishEstimates publishes how the run times of job classes compare with their estimates. These statistics are not
// stored, so a follower has no other source for them.
func (l *Leader) publishEstimates() {
	if l.Followers == nil {
		return
	}
	for class, moments := range l.workload.Moments() {
		l.publish(standby.Entry{EstimateUpdated: &standby.EstimateUpdated{Class: class, Moments: moments}})
	}
}

// Package standby implements warm standby: the leader publishes its decisions and observations, and each follower
// replicates them into a view, so that a follower can take over the leadership quickly.
//
// Each term has one Publisher, which appends entries to a bounded log and never waits for a follower. A Follower
// queries the publisher for the entries after its own position, and applies pages of entries in order. A follower
// that has just started, or that needs entries which the log no longer holds, first fetches a snapshot in pages.
// Failover tracks the phases that a node passes through from following the leader to leading.
//
// The package owns the replication between publisher and follower, the follower's view and its lag, and the phases
// of a failover with their evidence. The package must never decide anything about jobs or machines. Its callers
// transmit the queries and pages. A view is a hint, except after a complete handover: see View.ProvesAssignments and
// docs/standby.md.
package standby

import (
	"errors"
	"fmt"
)

// Entry is one decision or observation of a leader. Exactly one field is set, which gives the entry's kind. Each
// entry states the resulting state rather than a difference, so that entries whose effects a view already contains may
// be applied to it again, in order. Machines and tasks are named by their IDs. The encoding is fixed, because
// followers of other versions read it.
type Entry struct {
	TaskAssigned       *TaskAssigned       `json:"placed,omitempty"`
	TaskRemoved        *TaskRemoved        `json:"left,omitempty"`
	MachineObserved    *MachineObserved    `json:"observed,omitempty"`
	MachineTerminating *MachineTerminating `json:"returning,omitempty"`
	MachineTerminated  *MachineTerminated  `json:"gone,omitempty"`
	EstimateUpdated    *EstimateUpdated    `json:"estimated,omitempty"`
	Handover           *Handover           `json:"handover,omitempty"`
}

// TaskAssigned states that a task is on a machine, or that its start or stop there is pending.
type TaskAssigned struct {
	Machine string `json:"machine"`
	Task    string `json:"task"`
	TaskState
}

// TaskState is the known state of a task on a machine.
type TaskState struct {
	Attempt  uint64 `json:"attempt"`
	Stopping bool   `json:"stopping,omitempty"` // the task is to stop
	Urgent   bool   `json:"urgent,omitempty"`   // the task is to stop without time for a checkpoint
	// Reserved is set while capacity is reserved for the task and its start has not been sent.
	Reserved bool `json:"reserved,omitempty"`
}

// TaskRemoved states that a task is proved to be no longer on a machine.
type TaskRemoved struct {
	Machine string `json:"machine"`
	Task    string `json:"task"`
}

// MachineObserved states what a machine's heartbeats show besides its tasks.
type MachineObserved struct {
	Machine string `json:"machine"`
	MachineState
}

// MachineState is the known state of a machine besides its tasks.
type MachineState struct {
	Incarnation uint64 `json:"session"`
	// TasksKnown is set when all tasks that the machine may hold are known.
	TasksKnown bool `json:"resolved"`
}

// MachineTerminating states that the leader is asking the cloud to terminate a machine. The request is never withdrawn.
type MachineTerminating struct {
	Machine string `json:"machine"`
	Reason  string `json:"why"`
}

// MachineTerminated states that a machine is terminated. The view then holds neither the machine nor its tasks.
type MachineTerminated struct {
	Machine string `json:"machine"`
}

// EstimateUpdated states how the run times of a class of jobs compare with their owners' estimates. This update
// of the autoscaler's model is not stored in the state service.
type EstimateUpdated struct {
	Class   string    `json:"class"`
	Moments []float64 `json:"moments"` // state of the class's run time estimator
}

// Handover is the last entry of a term: after it, the term's leader makes no more decisions.
type Handover struct {
	// To is the member that is to lead next, or "" if none is named. The other members let it campaign first.
	To string `json:"to,omitempty"`
	// Complete is set when the tasks of all machines were known, and all starts ever sent are in the entries before
	// this one.
	Complete bool `json:"complete"`
}

// The reasons for which a follower rejects entries and pages. Their texts are shown to operators.
var (
	ErrMalformed = errors.New("malformed")
	ErrVersion   = errors.New("another version")
	ErrTerm      = errors.New("another term")
	ErrGap       = errors.New("entries are missing")
)

// check returns an error that wraps ErrMalformed unless exactly one field is set, and the machine, task or
// class in it is not empty.
func (e *Entry) check() error {
	fieldsSet, namesSet := 0, true
	addField := func(names ...string) {
		fieldsSet++
		for _, name := range names {
			namesSet = namesSet && name != ""
		}
	}
	if e.TaskAssigned != nil {
		addField(e.TaskAssigned.Machine, e.TaskAssigned.Task)
	}
	if e.TaskRemoved != nil {
		addField(e.TaskRemoved.Machine, e.TaskRemoved.Task)
	}
	if e.MachineObserved != nil {
		addField(e.MachineObserved.Machine)
	}
	if e.MachineTerminating != nil {
		addField(e.MachineTerminating.Machine)
	}
	if e.MachineTerminated != nil {
		addField(e.MachineTerminated.Machine)
	}
	if e.EstimateUpdated != nil {
		addField(e.EstimateUpdated.Class)
	}
	if e.Handover != nil {
		addField()
	}
	switch {
	case fieldsSet != 1:
		return fmt.Errorf("%w: entry has %d fields set, want 1", ErrMalformed, fieldsSet)
	case !namesSet:
		return fmt.Errorf("%w: entry has an empty machine, task or class name", ErrMalformed)
	}
	return nil
}

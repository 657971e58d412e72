// Package standby keeps the nodes that do not lead ready to lead: the leader publishes what it decides and observes,
// and each follower keeps a view of it.
//
// A Publisher, one for each term, appends entries to a bounded log and never waits for a follower. A Follower
// queries it for what comes after its own position, and applies pages of entries in order. One that starts, or
// is further behind than the log reaches, takes a snapshot in pages first. Failover follows a node through the phases
// on its way to lead.
//
// The package owns the stream between the two, the follower's view and its lag, and the phases of a failover with
// their evidence. It must never decide anything about jobs or machines, and sends nothing itself: it knows no
// transport. A view is a hint, except after a complete handover: see View.ProvesAssignments and docs/standby.md.
package standby

import (
	"errors"
	"fmt"
)

// Entry is one decision or observation of a leader: exactly one field is set, and names what became so. Every entry
// states what holds from then on, so that applying one again, in order, changes nothing. The encoding is fixed:
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

// TaskAssigned says that a task is on a machine, or that its start or its stop is on the way.
type TaskAssigned struct {
	Machine string `json:"machine"` // ID, as in all entries
	Task    string `json:"task"`    // ID
	TaskState
}

// TaskState is what is known of a task on a machine.
type TaskState struct {
	Attempt  uint64 `json:"attempt"`
	Stopping bool   `json:"stopping,omitempty"` // it is to stop
	Urgent   bool   `json:"urgent,omitempty"`   // without time for a checkpoint
	// Reserved: its place is kept, and its start has not been sent.
	Reserved bool `json:"reserved,omitempty"`
}

// TaskRemoved says that a task is proved to be no longer on a machine.
type TaskRemoved struct {
	Machine string `json:"machine"`
	Task    string `json:"task"`
}

// MachineObserved says what a machine's heartbeats show besides its tasks.
type MachineObserved struct {
	Machine string `json:"machine"`
	MachineState
}

// MachineState is what is known of a machine besides its tasks.
type MachineState struct {
	Incarnation uint64 `json:"session"`
	// TasksKnown: all tasks that it may hold are known.
	TasksKnown bool `json:"resolved"`
}

// MachineTerminating says that the cloud is being asked to terminate a machine, which is never revoked.
type MachineTerminating struct {
	Machine string `json:"machine"`
	Reason  string `json:"why"`
}

// MachineTerminated says that a machine is terminated.
type MachineTerminated struct {
	Machine string `json:"machine"`
}

// EstimateUpdated says how a class's run times compare with its owners' estimates: a step of the autoscaler's model
// that is not stored.
type EstimateUpdated struct {
	Class   string    `json:"class"`
	Moments []float64 `json:"moments"` // statistical, of the ratio's distribution
}

// Handover is the last entry of a term: from it on, its leader decides nothing more.
type Handover struct {
	// To is the member that is to lead next; the others let it campaign first.
	To string `json:"to,omitempty"`
	// Complete: the tasks of all machines were known, and all starts ever sent are in the
	// entries before this one.
	Complete bool `json:"complete"`
}

// Why a follower rejects entries and pages. The texts are shown to operators.
var (
	ErrMalformed = errors.New("malformed")
	ErrVersion   = errors.New("another version")
	ErrTerm      = errors.New("another term")
	ErrGap       = errors.New("entries are missing")
)

// check returns an ErrMalformed unless exactly one field is set and names what it is about.
func (e *Entry) check() error {
	fieldsSet, namesSet := 0, true
	field := func(names ...string) {
		fieldsSet++
		for _, name := range names {
			namesSet = namesSet && name != ""
		}
	}
	if e.TaskAssigned != nil {
		field(e.TaskAssigned.Machine, e.TaskAssigned.Task)
	}
	if e.TaskRemoved != nil {
		field(e.TaskRemoved.Machine, e.TaskRemoved.Task)
	}
	if e.MachineObserved != nil {
		field(e.MachineObserved.Machine)
	}
	if e.MachineTerminating != nil {
		field(e.MachineTerminating.Machine)
	}
	if e.MachineTerminated != nil {
		field(e.MachineTerminated.Machine)
	}
	if e.EstimateUpdated != nil {
		field(e.EstimateUpdated.Class)
	}
	if e.Handover != nil {
		field()
	}
	switch {
	case fieldsSet != 1:
		return fmt.Errorf("%w: an entry with %d fields set", ErrMalformed, fieldsSet)
	case !namesSet:
		return fmt.Errorf("%w: an entry lacks a name", ErrMalformed)
	}
	return nil
}

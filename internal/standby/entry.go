// Package standby keeps the nodes that do not lead ready to lead: the leader publishes
// what it decides and observes, and each follower keeps a view of it.
//
// It owns the stream between the two, the follower's view and its lag, and the phases of
// a take-over with their evidence. It decides nothing about jobs or machines, sends nothing
// itself, and knows no transport. What a view says is a hint, except after a complete
// handover: see docs/standby.md.
package standby

import (
	"errors"
	"fmt"
)

// Version is that of the messages below. A node answers and asks only in its own.
const Version = 1

// Bounds of one message, well within what a stream between nodes carries.
const (
	maxPageEntries = 4000
	maxPageTasks   = 5000 // of a snapshot's machines
)

// Entry is one decision or observation of a leader. Exactly one field is set. Every entry
// says what is so from then on, so applying one again, in order, changes nothing.
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
	Machine string `json:"machine"`
	Task    string `json:"task"`
	TaskState
}

// TaskState is what is known of a task on a machine.
type TaskState struct {
	Attempt  uint64 `json:"attempt"`
	Stopping bool   `json:"stopping,omitempty"`
	Urgent   bool   `json:"urgent,omitempty"`
	// Reserved: its place is kept, and its start has not been sent.
	Reserved bool `json:"reserved,omitempty"`
}

// TaskRemoved says that a task is surely no longer on a machine.
type TaskRemoved struct {
	Machine string `json:"machine"`
	Task    string `json:"task"`
}

// MachineObserved says what a machine's reports tell besides its tasks.
type MachineObserved struct {
	Machine string `json:"machine"`
	MachineState
}

// MachineState is what is known of a machine besides its tasks.
type MachineState struct {
	Incarnation uint64 `json:"session"`
	// Resolved: all tasks that it may hold are known.
	TasksKnown bool `json:"resolved"`
}

// MachineTerminating says that the cloud is being asked to take a machine back.
type MachineTerminating struct {
	Machine string `json:"machine"`
	Reason  string `json:"why"`
}

// MachineTerminated says that a machine was returned.
type MachineTerminated struct {
	Machine string `json:"machine"`
}

// EstimateUpdated says how a class's run times compare with its owners' estimates: a staffing
// step that is not stored.
type EstimateUpdated struct {
	Class   string    `json:"class"`
	Moments []float64 `json:"moments"`
}

// Handover is the last entry of a term: from it on, its leader decides nothing more.
type Handover struct {
	// To is the member that is to lead next; the others let it go first.
	To string `json:"to,omitempty"`
	// Complete: the tasks of all machines were known, and all starts ever sent are in the
	// entries before this one.
	Complete bool `json:"complete"`
}

// Errors of entries and pages that are refused.
var (
	ErrMalformed = errors.New("malformed")
	ErrVersion   = errors.New("another version")
	ErrTerm      = errors.New("another term")
	ErrGap       = errors.New("entries are missing")
)

// check tells what is wrong with an entry.
func (e *Entry) check() error {
	set, named := 0, true
	count := func(isSet bool, names ...string) {
		if !isSet {
			return
		}
		set++
		for _, name := range names {
			named = named && name != ""
		}
	}
	if p := e.TaskAssigned; p != nil {
		count(true, p.Machine, p.Task)
	}
	if p := e.TaskRemoved; p != nil {
		count(true, p.Machine, p.Task)
	}
	if p := e.MachineObserved; p != nil {
		count(true, p.Machine)
	}
	if p := e.MachineTerminating; p != nil {
		count(true, p.Machine)
	}
	if p := e.MachineTerminated; p != nil {
		count(true, p.Machine)
	}
	if p := e.EstimateUpdated; p != nil {
		count(true, p.Class)
	}
	count(e.Handover != nil)
	switch {
	case set != 1:
		return fmt.Errorf("%w: an entry says %d things", ErrMalformed, set)
	case !named:
		return fmt.Errorf("%w: an entry lacks a name", ErrMalformed)
	}
	return nil
}

// Query asks a leader for what comes after a position, or for a page of a snapshot.
type Query struct {
	Version      int    `json:"version"`
	Member       string `json:"member"`
	FencingToken uint64 `json:"token"`    // of the term whose view the follower keeps
	Position     uint64 `json:"position"` // that it has applied
	// Snapshot asks for the machines after a name instead; the first page comes after "".
	Snapshot     bool   `json:"snapshot,omitempty"`
	AfterMachine string `json:"after,omitempty"`
}

// Page answers a query.
type Page struct {
	Version        int    `json:"version"`
	FencingToken   uint64 `json:"token"`
	LatestPosition uint64 `json:"latest"` // position of the newest entry
	// Entries follow position From. Too old a position gets none, and Compacted.
	AfterPosition uint64        `json:"from"`
	Entries       []Entry       `json:"entries,omitempty"`
	Compacted     bool          `json:"compacted,omitempty"`
	Snapshot      *SnapshotPage `json:"snapshot,omitempty"`
	// Followers is how far all followers are, so that they know whom to let go first.
	Followers []FollowerState `json:"followers,omitempty"`
}

// SnapshotPage is a part of a view in the order of machines' names. The pages of a snapshot
// need not be of one position: the entries since the first page's bring them together.
type SnapshotPage struct {
	Machines []MachineRecord `json:"machines"`
	HasMore  bool            `json:"more"`
	// With the last page, which has no more.
	Estimates []EstimateUpdated `json:"estimates,omitempty"`
	Handover  *Handover         `json:"handover,omitempty"`
}

// MachineRecord is a machine of a snapshot.
type MachineRecord struct {
	Name string `json:"name"`
	MachineState
	Terminating bool         `json:"returning,omitempty"`
	Tasks       []TaskRecord `json:"tasks,omitempty"`
}

// TaskRecord is a task of a machine of a snapshot.
type TaskRecord struct {
	Task string `json:"task"`
	TaskState
}

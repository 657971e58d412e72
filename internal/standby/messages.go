package standby

import "caperlatch/internal/micros"

// Version is that of the messages below. A node answers and asks only in its own.
const Version = 1

// Bounds of one message, well within what a stream between nodes carries.
const (
	maxPageEntries = 4000 // entries, or machines of a snapshot
	maxPageTasks   = 5000 // of a snapshot's machines
)

// Query asks a leader for the entries after a position, or for a page of a snapshot.
type Query struct {
	Version      int    `json:"version"`
	Member       string `json:"member"`   // the follower
	FencingToken uint64 `json:"token"`    // of the term whose view the follower keeps
	Position     uint64 `json:"position"` // that it has applied
	// Snapshot asks for the machines after a name instead; the first page comes after "".
	Snapshot     bool   `json:"snapshot,omitempty"`
	AfterMachine string `json:"after,omitempty"`
}

// Page answers a query. A position counts the entries of a term.
type Page struct {
	Version        int    `json:"version"`
	FencingToken   uint64 `json:"token"`  // of the term that publishes
	LatestPosition uint64 `json:"latest"` // of the newest entry
	// Entries follow position AfterPosition. One that the log no longer reaches gets none, and Compacted.
	AfterPosition uint64        `json:"from"`
	Entries       []Entry       `json:"entries,omitempty"`
	Compacted     bool          `json:"compacted,omitempty"`
	Snapshot      *SnapshotPage `json:"snapshot,omitempty"`
	// Followers is how far all followers are, so that they know which of them to let campaign first.
	Followers []FollowerState `json:"followers,omitempty"`
}

// SnapshotPage is a part of a view in the order of machines' names. The pages of a snapshot
// need not be of one position: the entries since the first page's bring them together.
type SnapshotPage struct {
	Machines []MachineRecord `json:"machines"`
	HasMore  bool            `json:"more"`
	// With the last page alone.
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

// FollowerState is how far a follower is, as its last query says.
type FollowerState struct {
	Member      string        `json:"member"`
	Position    uint64        `json:"position"`
	Complete    bool          `json:"whole"` // it is not taking a snapshot
	LastQueryAt micros.Micros `json:"-"`     // when it last asked
	AgeS        float64       `json:"age_s"` // how long ago that is
}

// Progress is how far a follower is, as it is shown to operators.
type Progress struct {
	FencingToken uint64         `json:"token"` // of the term that it follows
	Position     uint64         `json:"position"`
	Complete     bool           `json:"whole"` // it is not taking a snapshot
	LagEntries   uint64         `json:"lag_entries"`
	LagS         float64        `json:"lag_s"` // since the view was known to lack nothing; -1: never
	Machines     int            `json:"machines"`
	Tasks        int            `json:"tasks"`
	Rejected     map[string]int `json:"refused,omitempty"` // pages, by the text of the error
}

package standby

import "caperlatch/internal/micros"

// Version is the version of the messages below. A node sends queries only in its own version, and
// answers a query of another version with a page that has no content.
const Version = 1

// Bounds of one page, which keep it well below the maximum size of a message between nodes.
const (
	maxPageEntries = 4000 // maximum number of entries in a page, or of machines in a page of a snapshot
	// maxPageTasks is the number of tasks in a page of a snapshot from which no further machine is added to the page.
	// The tasks of the page's last machine are always in it, so the page may have more.
	maxPageTasks = 5000
)

// Query is a follower's request to a leader for the entries after its own position, or for a page of a snapshot.
type Query struct {
	Version      int    `json:"version"`
	Member       string `json:"member"`   // the follower
	FencingToken uint64 `json:"token"`    // of the term whose view the follower holds
	Position     uint64 `json:"position"` // of the last entry that the follower has applied
	// Snapshot requests a page of a snapshot instead of entries. The page starts with the first machine whose ID sorts
	// after AfterMachine, which is "" for the first page.
	Snapshot     bool   `json:"snapshot,omitempty"`
	AfterMachine string `json:"after,omitempty"`
}

// Page is the answer to a query. A position counts the entries of a term: the first one has position 1.
type Page struct {
	Version        int    `json:"version"`
	FencingToken   uint64 `json:"token"`  // of the publisher's term
	LatestPosition uint64 `json:"latest"` // of the term's newest entry
	// Entries are the entries after the position AfterPosition. Compacted is set instead if the leader cannot send
	// them: the log no longer holds the first of them, the position is after the newest entry, or the query is of
	// another term.
	AfterPosition uint64        `json:"from"`
	Entries       []Entry       `json:"entries,omitempty"`
	Compacted     bool          `json:"compacted,omitempty"`
	Snapshot      *SnapshotPage `json:"snapshot,omitempty"`
	// Followers holds the progress of all followers, so that each knows which of them to let campaign first.
	Followers []FollowerState `json:"followers,omitempty"`
}

// SnapshotPage is one page of a snapshot of a view, with machines in the order of their IDs. The pages of a snapshot may
// be made at different positions. The resulting view is consistent once the entries between the positions of the first
// and the last page are applied too.
type SnapshotPage struct {
	Machines []MachineRecord `json:"machines"`
	HasMore  bool            `json:"more"`
	// Estimates and Handover are set in the last page only.
	Estimates []EstimateUpdated `json:"estimates,omitempty"`
	Handover  *Handover         `json:"handover,omitempty"`
}

// MachineRecord is a machine in a snapshot.
type MachineRecord struct {
	Name string `json:"name"` // ID
	MachineState
	Terminating bool         `json:"returning,omitempty"`
	Tasks       []TaskRecord `json:"tasks,omitempty"`
}

// TaskRecord is a task of a machine in a snapshot.
type TaskRecord struct {
	Task string `json:"task"`
	TaskState
}

// FollowerState is a follower's progress as of its last query.
type FollowerState struct {
	Member      string        `json:"member"`
	Position    uint64        `json:"position"` // 0 unless Complete
	Complete    bool          `json:"whole"`    // the query was of the leader's term, and requested no snapshot
	LastQueryAt micros.Micros `json:"-"`        // when the last query arrived
	AgeS        float64       `json:"age_s"`    // seconds since LastQueryAt
}

// Progress describes a follower's replication progress to operators.
type Progress struct {
	FencingToken uint64         `json:"token"` // of the term that the follower follows
	Position     uint64         `json:"position"`
	Complete     bool           `json:"whole"` // the follower has a view, and is not fetching a snapshot
	LagEntries   uint64         `json:"lag_entries"`
	LagS         float64        `json:"lag_s"` // seconds since the view was last known to be up to date; -1 if it never was
	Machines     int            `json:"machines"`
	Tasks        int            `json:"tasks"`
	Rejected     map[string]int `json:"refused,omitempty"` // number of rejected pages by kind, such as "malformed"
}

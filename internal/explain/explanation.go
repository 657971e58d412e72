// Package explain is what operators are shown of a job: why it waits, where its tasks are and
// why they were stopped.
//
// It owns the form of the explanation, which is also sent between nodes; its encoded form must
// not change. It finds nothing out by itself: the leader and the API fill it in.
package explain

import "caperlatch/internal/micros"

// TaskStop says why an attempt stopped before its task was done.
type TaskStop struct {
	Task    string        `json:"task"`
	Attempt uint64        `json:"attempt"`
	Machine string        `json:"machine"`
	At      micros.Micros `json:"at"` // time of day
	Reason  string        `json:"why"`
}

// TaskPlacement says that a task is on a machine.
type TaskPlacement struct {
	Task    string        `json:"task"`
	Attempt uint64        `json:"attempt"`
	Machine string        `json:"machine"`
	State   string        `json:"state"`
	Since   micros.Micros `json:"since"` // time of day
}

// Explanation is what is known of a job, by which node and as of when. The counts are of tasks.
type Explanation struct {
	Job         string          `json:"job"`
	Member      string          `json:"by"`    // the node that knew it
	AgeS        float64         `json:"age_s"` // seconds since that node knew it
	Notes       []string        `json:"notes"` // what is missing, and why
	State       string          `json:"state"`
	Team        string          `json:"team"`
	Class       string          `json:"class"`
	Priority    string          `json:"priority"`
	SubmittedAt micros.Micros   `json:"submitted"` // time of day
	EndedAt     micros.Micros   `json:"ended"`     // time of day, 0 before the end
	Tasks       int             `json:"tasks"`
	Done        int             `json:"done"`
	Running     int             `json:"running"`
	Waiting     int             `json:"waiting"`
	Reasons     []string        `json:"why"`   // why tasks wait and failed, and how the job ended
	Placements  []TaskPlacement `json:"on"`    // the tasks on machines; notes say how many are not shown
	Stops       []TaskStop      `json:"stops"` // the latest
}

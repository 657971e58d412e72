// Package explain defines the explanation of a job for operators: why the job waits, on which machines its tasks are, and
// why tasks were stopped.
//
// It owns the types of the explanation. Nodes also send explanations to each other, so the encoded form must not change.
// The package does not gather any data itself: the leader and the API fill in the explanation.
package explain

import "caperlatch/internal/micros"

// TaskStop describes an attempt of a task that stopped before the task was done.
type TaskStop struct {
	Task    string        `json:"task"`
	Attempt uint64        `json:"attempt"`
	Machine string        `json:"machine"`
	At      micros.Micros `json:"at"` // wall-clock time
	Reason  string        `json:"why"`
}

// TaskPlacement describes an attempt of a task that is assigned to a machine.
type TaskPlacement struct {
	Task    string        `json:"task"`
	Attempt uint64        `json:"attempt"`
	Machine string        `json:"machine"`
	State   string        `json:"state"`
	Since   micros.Micros `json:"since"` // wall-clock time
}

// Explanation describes the state of a job as known to one node. Tasks, Done, Running and Waiting are numbers of tasks.
type Explanation struct {
	Job         string          `json:"job"`
	Member      string          `json:"by"`    // the node whose knowledge this is
	AgeS        float64         `json:"age_s"` // age of that knowledge in seconds
	Notes       []string        `json:"notes"` // what is missing from the explanation, and why
	State       string          `json:"state"`
	Team        string          `json:"team"`
	Class       string          `json:"class"`
	Priority    string          `json:"priority"`
	SubmittedAt micros.Micros   `json:"submitted"` // wall-clock time
	EndedAt     micros.Micros   `json:"ended"`     // wall-clock time; 0 while the job has not ended
	Tasks       int             `json:"tasks"`
	Done        int             `json:"done"`
	Running     int             `json:"running"`
	Waiting     int             `json:"waiting"`
	Reasons     []string        `json:"why"`   // why tasks wait or have failed, and how the job ended
	Placements  []TaskPlacement `json:"on"`    // tasks on machines; Notes states how many are omitted
	Stops       []TaskStop      `json:"stops"` // the latest stops
}

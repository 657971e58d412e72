// Package explain holds what operators are told of a job: why it waits, where its tasks are and
// why they were stopped.
//
// It owns the form of the answer, which is also sent between nodes. It finds nothing out by
// itself: the leader and the API fill it in.
package explain

import "caperlatch/internal/micros"

// TaskStop says why a task stopped before it was done.
type TaskStop struct {
	Task    string        `json:"task"`
	Attempt uint64        `json:"attempt"`
	Machine string        `json:"machine"`
	At      micros.Micros `json:"at"` // time of day
	Reason  string        `json:"why"`
}

// TaskPlacement is a task that is on a machine.
type TaskPlacement struct {
	Task    string        `json:"task"`
	Attempt uint64        `json:"attempt"`
	Machine string        `json:"machine"`
	State   string        `json:"state"`
	Since   micros.Micros `json:"since"` // time of day
}

// Explanation tells the duty team about a job: what is known of it, by which node and
// as of when.
type Explanation struct {
	Job         string          `json:"job"`
	Member      string          `json:"by"`    // node that knew it
	AgeS        float64         `json:"age_s"` // how long ago that was so
	Notes       []string        `json:"notes"` // what is missing, and why
	State       string          `json:"state"`
	Team        string          `json:"team"`
	Class       string          `json:"class"`
	Priority    string          `json:"priority"`
	SubmittedAt micros.Micros   `json:"submitted"` // time of day, as are the next
	EndedAt     micros.Micros   `json:"ended"`
	Tasks       int             `json:"tasks"`
	Done        int             `json:"done"`
	Running     int             `json:"running"`
	Waiting     int             `json:"waiting"`
	Reasons     []string        `json:"why"`
	Placements  []TaskPlacement `json:"on"`
	Stops       []TaskStop      `json:"stops"` // the latest
}

package wire

import (
	"regexp"
)

// MaxTasks is the most tasks that a job may have.
const MaxTasks = 100000

// Job is a checked job description, as it is also stored.
type Job struct {
	ID                  string   `json:"id"`
	Class               string   `json:"lane"`
	Team                string   `json:"desk"`
	Kind                JobKind  `json:"shape"`
	Priority            Priority `json:"rank"`
	Tasks               int      `json:"pieces"`
	CPUs                float64  `json:"vcpus"`
	GPUs                float64  `json:"cards"`
	MemoryGB            float64  `json:"memory_gb"`
	Image               string   `json:"bundle"`
	ImageSizeGB         float64  `json:"pull_gb"`
	InstanceTypes       []string `json:"builds,omitempty"`
	Zone                string   `json:"hall,omitempty"`
	SingleZone          bool     `json:"together"`
	SpreadZones         bool     `json:"scatter"`
	AllowSpot           bool     `json:"standby"`
	EstimatedRuntimeS   float64  `json:"expect_s"`
	CheckpointIntervalS float64  `json:"save_every_s"`
	CheckpointDurationS float64  `json:"store_s"`
	DeadlineS           *float64 `json:"due_s,omitempty"`
}

var jobID = regexp.MustCompile(`^j-[0-9]{6,19}$`)

// IsValidJobID tells whether an id has the protocol's form.
func IsValidJobID(id string) bool { return jobID.MatchString(id) }

// Priority is the importance that a job's submission asks for.
type Priority string

// Priorities on the wire, lowest first.
var priorities = []Priority{"idle", "normal", PriorityUrgent, "prod"}

// PriorityUrgent is the lowest priority of urgent work.
const PriorityUrgent Priority = "urgent"

// PriorityRank orders priorities; it is -1 for an unknown name.
func PriorityRank(name Priority) int {
	for i, p := range priorities {
		if p == name {
			return i
		}
	}
	return -1
}

// JobKind is how the tasks of a job belong together.
type JobKind string

// Kinds of jobs: independent tasks; tasks that run at the same time or not at all;
// tasks that run until the job is cancelled. The protocol tells of the first two
// alone; see docs/questions.md.
const (
	KindArray   JobKind = "sweep"
	KindGang    JobKind = "gang"
	KindService JobKind = "service"
)

// Job states as users see them.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "withdrawn"
)

// JobStatus answers submissions, polls and cancellations.
type JobStatus struct {
	ID      string `json:"id"`
	State   string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

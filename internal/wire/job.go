package wire

import (
	"regexp"
	"slices"
)

// MaxTasks is the maximum number of tasks in a job.
const MaxTasks = 100000

// Job is a validated job description, which is also stored in this form. The resources and the image are those of each
// task.
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
	InstanceTypes       []string `json:"builds,omitempty"` // allowed instance types; nil: any
	Zone                string   `json:"hall,omitempty"`   // required zone; empty: any
	SingleZone          bool     `json:"together"`         // all tasks must run in the same zone
	SpreadZones         bool     `json:"scatter"`          // tasks must be spread over several zones
	AllowSpot           bool     `json:"standby"`          // tasks may run on spot instances
	EstimatedRuntimeS   float64  `json:"expect_s"`         // seconds that a task takes, as estimated by the job's owner
	CheckpointIntervalS float64  `json:"save_every_s"`     // seconds between checkpoints; 0: tasks save no checkpoints
	CheckpointDurationS float64  `json:"store_s"`          // seconds that saving a checkpoint takes
	DeadlineS           *float64 `json:"due_s,omitempty"`  // seconds after the submission; nil: none
}

// jobIDPattern matches job IDs that are valid in the protocol.
var jobIDPattern = regexp.MustCompile(`^j-[0-9]{6,19}$`)

// IsValidJobID reports whether id is a valid job ID in the protocol.
func IsValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// Priority is the priority that a job's submission requests.
type Priority string

// PriorityUrgent is the lowest priority that counts as urgent.
const PriorityUrgent Priority = "urgent"

// priorities lists all priorities, lowest first.
var priorities = []Priority{"idle", "normal", PriorityUrgent, "prod"}

// PriorityRank returns the rank of a priority, starting at 0 for the lowest. It returns -1 for an unknown priority.
func PriorityRank(priority Priority) int { return slices.Index(priorities, priority) }

// JobKind determines how the tasks of a job run in relation to each other.
type JobKind string

// Kinds of jobs. The protocol defines only the first two; see docs/questions.md.
const (
	KindArray   JobKind = "sweep"   // independent tasks
	KindGang    JobKind = "gang"    // tasks that run all at the same time, or not at all
	KindService JobKind = "service" // tasks that run until the job is cancelled
)

// jobKinds lists all kinds of jobs.
var jobKinds = []JobKind{KindArray, KindGang, KindService}

// States of jobs that are shown to users. They are plain strings without a Go type of their own, because the error for
// a value that cannot be decoded contains the name of the type, and commands print that error.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "withdrawn"
)

// JobStatus is the response to a submission, a poll or a cancellation. The task counts are nil if they are not known.
type JobStatus struct {
	ID      string `json:"id"`
	State   string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

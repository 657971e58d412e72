package wire

import (
	"regexp"
	"slices"
)

// MaxTasks is the most tasks that a job may have.
const MaxTasks = 100000

// Job is a checked job description, as it is also stored. Resources and the image are each
// task's.
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
	InstanceTypes       []string `json:"builds,omitempty"` // that it may use; nil: any
	Zone                string   `json:"hall,omitempty"`   // that it must use; empty: any
	SingleZone          bool     `json:"together"`         // all tasks in the same zone
	SpreadZones         bool     `json:"scatter"`          // the tasks over several zones
	AllowSpot           bool     `json:"standby"`          // may use spot instances
	EstimatedRuntimeS   float64  `json:"expect_s"`         // of a task, in seconds, by the job's owner
	CheckpointIntervalS float64  `json:"save_every_s"`     // seconds; 0: it saves no checkpoints
	CheckpointDurationS float64  `json:"store_s"`          // seconds that saving one takes
	DeadlineS           *float64 `json:"due_s,omitempty"`  // seconds after the submission; nil: none
}

// jobID is the protocol's form of a job's ID.
var jobID = regexp.MustCompile(`^j-[0-9]{6,19}$`)

// IsValidJobID reports whether id has the protocol's form.
func IsValidJobID(id string) bool { return jobID.MatchString(id) }

// Priority is the importance that a job's submission asks for.
type Priority string

// PriorityUrgent is the lowest priority of urgent work.
const PriorityUrgent Priority = "urgent"

// priorities lists all priorities, the lowest first.
var priorities = []Priority{"idle", "normal", PriorityUrgent, "prod"}

// PriorityRank returns the place of a priority among all, from 0 for the lowest; it is -1 for
// one that is unknown.
func PriorityRank(priority Priority) int { return slices.Index(priorities, priority) }

// JobKind is how the tasks of a job belong together.
type JobKind string

// Kinds of jobs. The protocol knows the first two alone; see docs/questions.md.
const (
	KindArray   JobKind = "sweep"   // independent tasks
	KindGang    JobKind = "gang"    // tasks that run at the same time or not at all
	KindService JobKind = "service" // tasks that run until the job is cancelled
)

// jobKinds lists all kinds of jobs.
var jobKinds = []JobKind{KindArray, KindGang, KindService}

// States of jobs as users see them. They are plain strings: the error of decoding something
// else names the type, and commands print it.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "withdrawn"
)

// JobStatus is the response to a submission, a poll or a cancellation. The counts of tasks are
// nil where they are not known.
type JobStatus struct {
	ID      string `json:"id"`
	State   string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

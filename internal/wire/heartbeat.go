package wire

import (
	"errors"
	"slices"
)

// States of tasks in heartbeats. A task of a gang that has pulled its image reports TaskWaitingForGang until the other
// tasks of its attempt have pulled theirs. A task whose gang has lost another task, or which is being stopped together
// with its gang, still reports TaskRunning until it exits.
//
// Task states and exit reasons are plain strings without a Go type of their own, because the error for a value that
// cannot be decoded contains the name of the type and is sent to the worker.
const (
	TaskPullingImage   = "pulling"
	TaskWaitingForGang = "waiting"
	TaskRunning        = "running"
	TaskCheckpointing  = "flushing"
	TaskExited         = "ended"
)

// Reasons why tasks exited.
const (
	ExitDone                  = "done"
	ExitStopped               = "stopped"
	ExitError                 = "error"
	ExitInsufficientResources = "no_room"
	ExitOtherAttemptPresent   = "busy"
	ExitJobNotFound           = "no_such"
	// ExitGangTaskLost means that the task's gang has lost another task.
	ExitGangTaskLost = "peers"
	// ExitGangTimeout means that the task's gang was not complete within settings.Workers.GangAssemblyTimeout.
	ExitGangTimeout = "incomplete"
)

var (
	taskStates  = []string{TaskPullingImage, TaskWaitingForGang, TaskRunning, TaskCheckpointing, TaskExited}
	exitReasons = []string{
		ExitDone, ExitStopped, ExitError, ExitInsufficientResources, ExitOtherAttemptPresent,
		ExitJobNotFound, ExitGangTaskLost, ExitGangTimeout,
	}
)

// IsKnownTaskState reports whether state is one of the protocol's task states.
func IsKnownTaskState(state string) bool { return slices.Contains(taskStates, state) }

// IsKnownExitReason reports whether reason is one of the protocol's exit reasons.
func IsKnownExitReason(reason string) bool { return slices.Contains(exitReasons, reason) }

// Heartbeat is the message that a worker sends periodically to describe its machine and the status of its tasks. Of two
// heartbeats from a machine, the newer is the one with the higher incarnation or, if these are equal, the higher
// sequence.
type Heartbeat struct {
	MachineID           string       `json:"host"`
	Address             string       `json:"address"` // host and port of the worker's HTTP server
	InstanceType        string       `json:"build"`
	Zone                string       `json:"hall"`
	Spot                bool         `json:"standby"`
	Incarnation         uint64       `json:"shift"`    // increases each time the worker's lease expires
	Sequence            uint64       `json:"tick"`     // number of the heartbeat within the incarnation
	FencingToken        uint64       `json:"baton"`    // highest token that the worker has seen
	InterruptionNoticeS *float64     `json:"recall_s"` // seconds until the cloud takes the machine back; nil: no notice
	Tasks               []TaskStatus `json:"pieces"`   // all tasks on the machine, including exited ones until they are cleared
}

// errIncompleteHeartbeat means that a heartbeat does not tell its machine or its incarnation.
var errIncompleteHeartbeat = errors.New("host or shift is missing")

// ParseHeartbeat decodes a heartbeat. A heartbeat without its machine or its incarnation is invalid, since incarnations
// begin at 1; a missing list of tasks counts as empty.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var h Heartbeat
	if err := Unmarshal(body, &h); err != nil {
		return nil, err
	}
	if h.MachineID == "" || h.Incarnation == 0 {
		return nil, errIncompleteHeartbeat
	}
	return &h, nil
}

// MaxTasksPerMachine is the number of tasks, exited ones included, that a machine may hold. A heartbeat with all of them
// is within MaxBodyBytes, however long their IDs are and whatever their states.
const MaxTasksPerMachine = 500

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	TaskID       string `json:"piece"`
	Attempt      uint64 `json:"try"`
	State        string `json:"status"`
	ExitReason   string `json:"cause,omitempty"`  // set once the task has exited
	Checkpointed bool   `json:"stored,omitempty"` // after a stop: whether the task's progress was saved
}

// HeartbeatResponse is the response to a heartbeat. It renews the worker's lease unless its fencing token is lower than
// the highest one that the worker has seen.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Redirect is the response that redirects a worker to another node. If Member is empty, the worker uses the next node
// that it knows.
type Redirect struct {
	Member string `json:"reports_to,omitempty"`
}

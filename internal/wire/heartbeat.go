package wire

import (
	"slices"
)

// Task states in reports. A gang's task waits when it has its image and others of its
// attempt do not. One that loses its gang or is being stopped with it is still called
// running until it exits.
const (
	TaskPullingImage   = "pulling"
	TaskWaitingForGang = "waiting"
	TaskRunning        = "running"
	TaskCheckpointing  = "flushing"
	TaskExited         = "ended"
)

// Causes of an exit.
const (
	ExitDone                  = "done"
	ExitStopped               = "stopped"
	ExitError                 = "error"
	ExitInsufficientResources = "no_room"
	ExitOtherAttemptPresent   = "busy"
	ExitJobNotFound           = "no_such"
	// Of a gang's tasks: another one is gone; not all were there within gang_wait_s.
	ExitGangTaskLost = "peers"
	ExitGangTimeout  = "incomplete"
)

// IsKnownTaskState tells whether a task's state is one of the protocol's.
func IsKnownTaskState(state string) bool {
	return slices.Contains([]string{TaskPullingImage, TaskWaitingForGang, TaskRunning, TaskCheckpointing, TaskExited}, state)
}

// IsKnownExitReason tells whether the cause of an exit is one of the protocol's.
func IsKnownExitReason(cause string) bool {
	return slices.Contains([]string{ExitDone, ExitStopped, ExitError, ExitInsufficientResources, ExitOtherAttemptPresent, ExitJobNotFound, ExitGangTaskLost, ExitGangTimeout}, cause)
}

// Heartbeat is what a worker tells of itself.
type Heartbeat struct {
	MachineID           string       `json:"host"`
	Address             string       `json:"address"`
	InstanceType        string       `json:"build"`
	Zone                string       `json:"hall"`
	Spot                bool         `json:"standby"`
	Incarnation         uint64       `json:"shift"`
	Sequence            uint64       `json:"tick"`
	FencingToken        uint64       `json:"baton"`
	InterruptionNoticeS *float64     `json:"recall_s"`
	Tasks               []TaskStatus `json:"pieces"`
}

// TaskStatus is one task in a report.
type TaskStatus struct {
	TaskID       string `json:"piece"`
	Attempt      uint64 `json:"try"`
	State        string `json:"status"`
	ExitReason   string `json:"cause,omitempty"`
	Checkpointed bool   `json:"stored,omitempty"`
}

// HeartbeatResponse is the answer to a report.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Redirect sends a worker to another node.
type Redirect struct {
	Member string `json:"reports_to,omitempty"`
}

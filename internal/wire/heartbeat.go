package wire

import "slices"

// States of tasks in heartbeats. A gang's task waits when it has its image and others of its
// attempt do not. One that loses its gang or is being stopped with it still reports running
// until it exits.
//
// States of tasks, and reasons of their exits, are plain strings: the error of decoding
// something else names the type, and is in the response to the worker.
const (
	TaskPullingImage   = "pulling"
	TaskWaitingForGang = "waiting"
	TaskRunning        = "running"
	TaskCheckpointing  = "flushing"
	TaskExited         = "ended"
)

// Exit reasons of tasks.
const (
	ExitDone                  = "done"
	ExitStopped               = "stopped"
	ExitError                 = "error"
	ExitInsufficientResources = "no_room"
	ExitOtherAttemptPresent   = "busy"
	ExitJobNotFound           = "no_such"
	// ExitGangTaskLost is of a gang's task whose gang has lost another one.
	ExitGangTaskLost = "peers"
	// ExitGangTimeout is of a gang's task whose gang was not complete within
	// settings.Workers.GangAssemblyTimeout.
	ExitGangTimeout = "incomplete"
)

var (
	taskStates  = []string{TaskPullingImage, TaskWaitingForGang, TaskRunning, TaskCheckpointing, TaskExited}
	exitReasons = []string{
		ExitDone, ExitStopped, ExitError, ExitInsufficientResources, ExitOtherAttemptPresent,
		ExitJobNotFound, ExitGangTaskLost, ExitGangTimeout,
	}
)

// IsKnownTaskState reports whether state is one of the protocol's states of tasks.
func IsKnownTaskState(state string) bool { return slices.Contains(taskStates, state) }

// IsKnownExitReason reports whether reason is one of the protocol's exit reasons.
func IsKnownExitReason(reason string) bool { return slices.Contains(exitReasons, reason) }

// Heartbeat is a worker's periodic message: what it is, and the status of its tasks. Of two
// heartbeats of a machine, the one with the higher incarnation, then sequence, is the newer.
type Heartbeat struct {
	MachineID           string       `json:"host"`
	Address             string       `json:"address"` // host and port of the worker's own server
	InstanceType        string       `json:"build"`
	Zone                string       `json:"hall"`
	Spot                bool         `json:"standby"`
	Incarnation         uint64       `json:"shift"`    // raised each time the worker's lease expires
	Sequence            uint64       `json:"tick"`     // within an incarnation
	FencingToken        uint64       `json:"baton"`    // the highest that the worker has seen
	InterruptionNoticeS *float64     `json:"recall_s"` // seconds until the cloud takes the machine; nil: no notice
	Tasks               []TaskStatus `json:"pieces"`   // all on the machine, with exited ones until they are cleared
}

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	TaskID       string `json:"piece"`
	Attempt      uint64 `json:"try"`
	State        string `json:"status"`
	ExitReason   string `json:"cause,omitempty"`  // once it has exited
	Checkpointed bool   `json:"stored,omitempty"` // once it was stopped: whether its progress is saved
}

// HeartbeatResponse is the response to a heartbeat. It renews the worker's lease, unless its
// fencing token is lower than the highest that the worker has seen.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Redirect is the response that sends a worker to another node; without a member, to whichever
// is the next that it knows.
type Redirect struct {
	Member string `json:"reports_to,omitempty"`
}

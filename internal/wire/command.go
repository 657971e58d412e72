package wire

// Verb is the action that a command requests for a task.
type Verb string

// Verbs of commands.
const (
	VerbStart Verb = "start"
	VerbStop  Verb = "stop"
	// VerbClear removes an exited task from the worker's heartbeats and deletes the worker's record of the attempt.
	VerbClear Verb = "clear"
)

// Command tells a worker what to do with an attempt of a task. Workers execute commands in order. All commands except
// VerbClear may be repeated.
type Command struct {
	Verb         Verb     `json:"verb"`
	TaskID       string   `json:"piece"`
	Attempt      uint64   `json:"try"`
	GracePeriodS *float64 `json:"leeway_s,omitempty"` // for VerbStop: seconds for saving a checkpoint
}

// CommandRequest is the body of a request that is sent directly to a worker's address. Unlike the response to a
// heartbeat, it may be executed late, but only while the worker is in the given incarnation and has seen no higher
// fencing token.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

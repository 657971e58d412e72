package wire

// Verb is what a command has a worker do with a task.
type Verb string

// Verbs of commands.
const (
	VerbStart Verb = "start"
	VerbStop  Verb = "stop"
	// VerbClear removes an exited task from the heartbeats, and the worker forgets its attempt.
	VerbClear Verb = "clear"
)

// Command tells a worker what to do with an attempt of a task. Workers carry out commands in
// order; all but a clear may be repeated.
type Command struct {
	Verb         Verb     `json:"verb"`
	TaskID       string   `json:"piece"`
	Attempt      uint64   `json:"try"`
	GracePeriodS *float64 `json:"leeway_s,omitempty"` // of a stop: seconds to checkpoint in
}

// CommandRequest is the body of a request to a worker's own address. Unlike a response to a
// heartbeat it may be carried out late, but only while the worker is in this incarnation and
// has seen no higher fencing token.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

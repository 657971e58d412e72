package wire

// Verb is what a command has a worker do with a task.
type Verb string

// Verbs of commands.
const (
	VerbStart Verb = "start"
	VerbStop  Verb = "stop"
	VerbClear Verb = "clear"
)

// Command is one order to a worker.
type Command struct {
	Verb         Verb     `json:"verb"`
	TaskID       string   `json:"piece"`
	Attempt      uint64   `json:"try"`
	GracePeriodS *float64 `json:"leeway_s,omitempty"`
}

// CommandRequest is the body of a request to a worker's own address.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

package replica

import (
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// Keys in the state service, all of which begin with Prefix. A name that ends with a slash is a prefix of many keys.
const (
	Prefix             = "c/"
	LeaderKey          = "c/leader"
	TokenKey           = "c/token"
	InstanceTypesKey   = "c/catalog"
	AutoscalerKey      = "c/staffing"
	ZonesKey           = "c/zones"
	JobPrefix          = "c/j/"
	ProgressPrefix     = "c/p/"
	LaunchIntentPrefix = "c/b/"
	MachineListPrefix  = "c/u/"
)

// Job is a stored job. Spec is not kept for a job that is done, but for a cancelled one: its tasks may still be on
// machines, and a leader that finds them there must know which team's limit they count against.
type Job struct {
	Spec        *wire.Job     `json:"job,omitempty"`
	SubmittedAt micros.Micros `json:"at"` // wall-clock time
	State       string        `json:"state"`
	Reason      string        `json:"why,omitempty"` // why the job ended
	EndedAt     micros.Micros `json:"end,omitempty"` // wall-clock time
}

// IsFinal reports whether the job is done or cancelled, after which its state never changes.
func (j *Job) IsFinal() bool { return j.State != wire.JobPending }

// Leader is the value of LeaderKey. SessionID lets a restarted member end the session of its earlier process.
type Leader struct {
	Member       string `json:"member"`
	FencingToken uint64 `json:"token"`
	SessionID    uint64 `json:"hold"`
}

// TokenRecord is the value of TokenKey: the highest fencing token issued.
type TokenRecord struct {
	FencingToken uint64 `json:"token"`
}

package replica

import (
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// Keys of the state service, all below Prefix. A key that ends with a slash is a prefix of many.
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

// Job is a stored job. One that is done keeps no description. One that is cancelled does:
// its tasks may still be on machines, and a leader that finds them there must know whose
// limit they count against.
type Job struct {
	Spec        *wire.Job     `json:"job,omitempty"`
	SubmittedAt micros.Micros `json:"at"` // time of day
	State       string        `json:"state"`
	Reason      string        `json:"why,omitempty"` // why it ended
	EndedAt     micros.Micros `json:"end,omitempty"` // time of day
}

// IsFinal reports whether the job is over; its state never changes again then.
func (j *Job) IsFinal() bool { return j.State != wire.JobPending }

// Leader is the content of LeaderKey. SessionID lets a restarted member end the session of
// its earlier process.
type Leader struct {
	Member       string `json:"member"`
	FencingToken uint64 `json:"token"`
	SessionID    uint64 `json:"hold"`
}

// TokenRecord is the content of TokenKey: the highest fencing token given out.
type TokenRecord struct {
	FencingToken uint64 `json:"token"`
}

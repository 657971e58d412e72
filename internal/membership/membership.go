// Package membership decides, from heartbeats, which controller nodes are alive, suspected,
// failed, or have left.
//
// It owns the states of the members as one node sees them, the timers of suspicion and the
// incarnation numbers by which a member refutes what is said of it. It does no I/O and takes the
// time as an argument; its caller sends the heartbeats and locks. A verdict is a hint: who leads,
// and what may start where, is proved by the state service's sessions and by tokens alone.
package membership

import (
	"errors"

	"caperlatch/internal/micros"
)

// State is what a node thinks of a member.
type State string

// The states. A member is suspected once it has not been heard for a while, and failed once no
// refutation came for as long again as the suspicion's timer runs. One that said that it ends has
// left, and is neither suspected nor failed.
const (
	Alive     State = "alive"
	Suspected State = "suspected"
	Failed    State = "failed"
	Left      State = "left"
)

// doubts tells whether the state says that the member may be gone.
func (s State) doubts() bool { return s == Suspected || s == Failed }

// Config holds the times of a detector.
type Config struct {
	// HeartbeatInterval is between two heartbeats to a member.
	HeartbeatInterval micros.Micros
	// SuspectAfter is after what silence a member is suspected.
	SuspectAfter micros.Micros
	// MaxSuspicionTimeout is how long a suspicion lasts that nobody else shares, MinSuspicionTimeout one that
	// all other members share.
	MaxSuspicionTimeout, MinSuspicionTimeout micros.Micros
}

// DefaultConfig tolerates two seconds of lag on a path and confirms a failure within ten.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval:   500 * micros.Millisecond,
		SuspectAfter:        3 * micros.Second,
		MaxSuspicionTimeout: 5 * micros.Second,
		MinSuspicionTimeout: 1500 * micros.Millisecond,
	}
}

// minHeartbeats is how many heartbeats must be missed before a member may be suspected.
const minHeartbeats = 3

// Errors of configurations.
var (
	ErrSuspectTooSoon        = errors.New("suspect_ms must be at least three times heartbeat_ms")
	ErrSuspicionTimeoutOrder = errors.New("confirm_least_ms must be at most confirm_most_ms")
)

// Check checks the times against each other.
func (c *Config) Check() error {
	if c.SuspectAfter < minHeartbeats*c.HeartbeatInterval {
		return ErrSuspectTooSoon
	}
	if c.MinSuspicionTimeout > c.MaxSuspicionTimeout {
		return ErrSuspicionTimeoutOrder
	}
	return nil
}

// Heartbeat is what one node tells another, in a request and in the answer to one.
type Heartbeat struct {
	Member      string       `json:"member"`
	Incarnation uint64       `json:"incarnation"`
	Leaving     bool         `json:"leaving,omitempty"` // the sender ends
	Views       []MemberView `json:"opinions,omitempty"`
}

// MemberView is what the sender of a heartbeat thinks of another member.
type MemberView struct {
	Member      string `json:"member"`
	State       State  `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	// Silence is since the sender itself last heard the member.
	Silence micros.Micros `json:"silence"`
}

// Transition is one change of what this node thinks of a member.
type Transition struct {
	Member      string
	From, To    State
	Reason      Reason
	Silence     micros.Micros // since it was last heard, here or by another
	ConfirmedBy []string      // members that doubted it as well
}

// Reason is why a member's state changed.
type Reason string

// The reasons.
const (
	ReasonReachable           Reason = "it is heard"
	ReasonIndirectlyReachable Reason = "another member hears it"
	ReasonRefuted             Reason = "it refuted with a later incarnation"
	ReasonRestarted           Reason = "it has restarted"
	ReasonSilent              Reason = "it is not heard, nor does any other member hear it"
	ReasonSuspicionTimeout    Reason = "the suspicion was not refuted in time"
	ReasonLeft                Reason = "it said that it ends"
)

// Environment is what the caller knows besides heartbeats.
type Environment struct {
	// StateServiceReachable tells whether the state service answered lately.
	StateServiceReachable bool
	// Leader is the member whose session the state service held when it was last read, if that
	// was lately; empty if nobody's is known to live.
	Leader string
}

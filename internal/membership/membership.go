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
	// Interval is between two heartbeats to a member.
	Interval micros.Micros
	// Suspect is after what silence a member is suspected.
	Suspect micros.Micros
	// ConfirmMost is how long a suspicion lasts that nobody else shares, ConfirmLeast one that
	// all other members share.
	ConfirmMost, ConfirmLeast micros.Micros
}

// DefaultConfig tolerates two seconds of lag on a path and confirms a failure within ten.
func DefaultConfig() Config {
	return Config{
		Interval:     500 * micros.Millisecond,
		Suspect:      3 * micros.Second,
		ConfirmMost:  5 * micros.Second,
		ConfirmLeast: 1500 * micros.Millisecond,
	}
}

// minHeartbeats is how many heartbeats must be missed before a member may be suspected.
const minHeartbeats = 3

// Errors of configurations.
var (
	ErrSuspectTooSoon = errors.New("suspect_ms must be at least three times heartbeat_ms")
	ErrConfirmOrder   = errors.New("confirm_least_ms must be at most confirm_most_ms")
)

// Check checks the times against each other.
func (c *Config) Check() error {
	if c.Suspect < minHeartbeats*c.Interval {
		return ErrSuspectTooSoon
	}
	if c.ConfirmLeast > c.ConfirmMost {
		return ErrConfirmOrder
	}
	return nil
}

// Heartbeat is what one node tells another, in a request and in the answer to one.
type Heartbeat struct {
	Member      string    `json:"member"`
	Incarnation uint64    `json:"incarnation"`
	Leaving     bool      `json:"leaving,omitempty"` // the sender ends
	Opinions    []Opinion `json:"opinions,omitempty"`
}

// Opinion is what the sender of a heartbeat thinks of another member.
type Opinion struct {
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
	ReasonHeard     Reason = "it is heard"
	ReasonThrough   Reason = "another member hears it"
	ReasonRefuted   Reason = "it refuted with a later incarnation"
	ReasonRestarted Reason = "it has restarted"
	ReasonSilent    Reason = "it is not heard, nor does any other member hear it"
	ReasonConfirmed Reason = "the suspicion was not refuted in time"
	ReasonLeft      Reason = "it said that it ends"
)

// Surroundings is what the caller knows besides heartbeats.
type Surroundings struct {
	// StoreHeard tells whether the state service answered lately.
	StoreHeard bool
	// Leader is the member whose session the state service held when it was last read, if that
	// was lately; empty if nobody's is known to live.
	Leader string
}

// Package membership decides, from heartbeats, which controller nodes are alive, suspected, failed,
// or have left. It is a failure detector after SWIM (Das, Gupta and Motivala) with the Lifeguard
// extensions (Dadgar, Phillips and Currey): a suspicion lasts until it is refuted by a later
// incarnation or times out, confirmations by other members shorten it, and a node that is itself slow
// trusts its own suspicions less. Unlike SWIM, members are few and fixed, so each sends heartbeats
// with its views of all members to all others.
//
// It owns the states of the members as one node sees them, the timers of suspicions, and the
// incarnation numbers by which a member refutes a suspicion. It is pure: no I/O, and time is an
// argument; its caller sends the heartbeats and locks. That a member has failed is a hint, and must
// never be more: who leads, and what may start where, is proved by the state service's sessions and
// by fencing tokens alone.
package membership

import (
	"errors"

	"caperlatch/internal/micros"
)

// State is what a node takes a member to be. States are sent and shown to operators.
type State string

// The states. A member is suspected once it has been silent for a while, and failed once the
// suspicion has timed out without a refutation. One that announced that it ends has left, and is
// neither suspected nor failed.
const (
	Alive     State = "alive"
	Suspected State = "suspected"
	Failed    State = "failed"
	Left      State = "left"
)

// isSuspicion reports whether the member may have failed by the state.
func (s State) isSuspicion() bool { return s == Suspected || s == Failed }

// Config holds the times of a detector.
type Config struct {
	// HeartbeatInterval is between two heartbeats to a member.
	HeartbeatInterval micros.Micros
	// SuspectAfter is after what silence a member is suspected.
	SuspectAfter micros.Micros
	// MaxSuspicionTimeout is how long a suspicion lasts that no other member confirms,
	// MinSuspicionTimeout one that all others confirm.
	MaxSuspicionTimeout, MinSuspicionTimeout micros.Micros
}

// DefaultConfig tolerates two seconds of latency on a path, and finds a member failed within ten.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval:   500 * micros.Millisecond,
		SuspectAfter:        3 * micros.Second,
		MaxSuspicionTimeout: 5 * micros.Second,
		MinSuspicionTimeout: 1500 * micros.Millisecond,
	}
}

// minMissedHeartbeats is how many heartbeats must be missed before a member may be suspected.
const minMissedHeartbeats = 3

// Errors of configurations. They name the XML elements.
var (
	ErrSuspectTooSoon        = errors.New("suspect_ms must be at least three times heartbeat_ms")
	ErrSuspicionTimeoutOrder = errors.New("confirm_least_ms must be at most confirm_most_ms")
)

// Check returns the first contradiction between the times: ErrSuspectTooSoon or
// ErrSuspicionTimeoutOrder.
func (c *Config) Check() error {
	if c.SuspectAfter < minMissedHeartbeats*c.HeartbeatInterval {
		return ErrSuspectTooSoon
	}
	if c.MinSuspicionTimeout > c.MaxSuspicionTimeout {
		return ErrSuspicionTimeoutOrder
	}
	return nil
}

// Heartbeat is what one node sends another, in a request and in the response to one.
type Heartbeat struct {
	Member      string       `json:"member"` // the sender
	Incarnation uint64       `json:"incarnation"`
	Leaving     bool         `json:"leaving,omitempty"` // the sender ends
	Views       []MemberView `json:"opinions,omitempty"`
}

// MemberView is what the sender of a heartbeat takes another member to be.
type MemberView struct {
	Member      string `json:"member"`
	State       State  `json:"state"`
	Incarnation uint64 `json:"incarnation"` // the latest known to the sender
	// Silence is since the sender itself last heard from the member.
	Silence micros.Micros `json:"silence"`
}

// Transition is one change of what this node takes a member to be.
type Transition struct {
	Member      string
	From, To    State
	Reason      Reason
	Silence     micros.Micros // since it was last heard from, here or by another member
	ConfirmedBy []string      // other members that suspect it as well
}

// Reason is why a member's state changed. Reasons are logged.
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
	// StateServiceReachable reports whether the state service answered lately.
	StateServiceReachable bool
	// Leader is the member whose session the state service had when it was last read, if that was
	// lately; empty if no session is known to be alive.
	Leader string
}

// Package membership determines from heartbeats which controller nodes are alive, suspected, failed, or have left. It
// implements a failure detector based on SWIM (Das, Gupta and Motivala) with the Lifeguard extensions (Dadgar, Phillips
// and Currey). A suspicion lasts until a message from the suspected member reaches this node or another one, or until
// it times out. The member is then failed until it refutes the failure with a higher incarnation, or responds to a
// heartbeat that was sent after it had been declared failed. Confirmations by other members shorten the timeout, and a
// node that is itself slow lengthens it. Unlike in SWIM, the members are few and fixed, so each member sends heartbeats
// with its views of all members to all others.
//
// The package owns the states of the members as one node sees them, the timeouts of suspicions, and the incarnation
// numbers by which a member refutes a suspicion. It is pure: it does no I/O, and time is an argument. The caller sends
// the heartbeats and does the locking. The state of a member is a hint, and must never be more: which node leads, and
// which tasks may start where, is proved only by the state service's sessions and by fencing tokens.
package membership

import (
	"errors"

	"caperlatch/internal/micros"
)

// State is the state that a node assigns to a member. States are sent to other nodes and shown to operators.
type State string

// The states. A member is suspected once it has been silent for Config.SuspectAfter, and failed once the suspicion has
// timed out. A member that announced its shutdown has left, and is neither suspected nor failed.
const (
	Alive     State = "alive"
	Suspected State = "suspected"
	Failed    State = "failed"
	Left      State = "left"
)

// isSuspicion reports whether a member in the state is suspected or failed.
func (s State) isSuspicion() bool { return s == Suspected || s == Failed }

// Config holds the intervals and timeouts of a detector.
type Config struct {
	// HeartbeatInterval is the time between two heartbeats to a member.
	HeartbeatInterval micros.Micros
	// SuspectAfter is the length of silence after which a member is suspected.
	SuspectAfter micros.Micros
	// MaxSuspicionTimeout is the timeout of a suspicion that no other member confirms, MinSuspicionTimeout that of a
	// suspicion that all others confirm.
	MaxSuspicionTimeout, MinSuspicionTimeout micros.Micros
}

// DefaultConfig returns intervals and timeouts that tolerate two seconds of latency on a path, and with which a failure
// is detected within ten seconds.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval:   500 * micros.Millisecond,
		SuspectAfter:        3 * micros.Second,
		MaxSuspicionTimeout: 5 * micros.Second,
		MinSuspicionTimeout: 1500 * micros.Millisecond,
	}
}

// minMissedHeartbeats is the number of heartbeats that must be missed before a member may be suspected.
const minMissedHeartbeats = 3

// The errors of invalid configurations. They name the XML elements of the settings.
var (
	ErrSuspectTooSoon        = errors.New("suspect_ms must be at least three times heartbeat_ms")
	ErrSuspicionTimeoutOrder = errors.New("confirm_least_ms must be at most confirm_most_ms")
)

// Check returns an error for the first contradiction between the times: ErrSuspectTooSoon or ErrSuspicionTimeoutOrder.
func (c *Config) Check() error {
	if c.SuspectAfter < minMissedHeartbeats*c.HeartbeatInterval {
		return ErrSuspectTooSoon
	}
	if c.MinSuspicionTimeout > c.MaxSuspicionTimeout {
		return ErrSuspicionTimeoutOrder
	}
	return nil
}

// Heartbeat is the message that a node sends to another member, in a request and in the response to a request.
type Heartbeat struct {
	Member      string       `json:"member"` // the sender
	Incarnation uint64       `json:"incarnation"`
	Leaving     bool         `json:"leaving,omitempty"` // the sender is shutting down
	Views       []MemberView `json:"opinions,omitempty"`
}

// MemberView is how the sender of a heartbeat sees another member.
type MemberView struct {
	Member      string `json:"member"`
	State       State  `json:"state"`
	Incarnation uint64 `json:"incarnation"` // the highest known to the sender
	// Silence is the time since the sender itself last heard from the member.
	Silence micros.Micros `json:"silence"`
}

// Transition is a change of a member's state, or a restart of a member that stays alive.
type Transition struct {
	Member      string
	From, To    State
	Reason      Reason
	Silence     micros.Micros // time since this node or another member last heard from the member
	ConfirmedBy []string      // other members that suspect the member as well, or have declared it failed
}

// Reason is the reason for a transition. Reasons are logged.
type Reason string

// The reasons for transitions.
const (
	ReasonReachable           Reason = "a message from it has arrived"
	ReasonIndirectlyReachable Reason = "a message from it has reached another member"
	ReasonRefuted             Reason = "it refuted the suspicion with a higher incarnation"
	ReasonRestarted           Reason = "it has restarted"
	ReasonSilent              Reason = "no message from it has reached this node or any other member"
	ReasonSuspicionTimeout    Reason = "the suspicion was not refuted in time"
	ReasonLeft                Reason = "it announced its shutdown"
)

// Environment is what the caller knows from sources other than heartbeats.
type Environment struct {
	// StateServiceReachable is set when the state service has answered recently.
	StateServiceReachable bool
	// Leader is the leader whose session was alive when the state service was last read. It is empty if there was no
	// such session, or if that read was not recent.
	Leader string
}

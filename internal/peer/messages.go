// Package peer carries requests between controller nodes: CBOR values on streams over TCP, a stream for each
// direction and purpose.
//
// What a node may ask another is the fields of Request; requestKinds (server.go) is the table of which method of
// Handler answers each. All versions in service share these types: fields are only ever added, and a node ignores
// those that it does not know. A field's comment names the versions that lack it.
//
// The package owns the messages between nodes, their transport and batching, what the peers last answered, and the
// versions that they speak. It must never decide what a node answers, nor what follows from its peers' answers: a
// peer's word is a hint until a term proves it (see internal/election). It must not import internal/leader.
package peer

import (
	"errors"
	"io"

	"caperlatch/internal/explain"
	"caperlatch/internal/membership"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// Request asks a peer one thing: exactly one of the fields besides ID is set.
type Request struct {
	ID    uint64 `json:"id"` // of the request on its stream, set by Client.Call
	Probe *Probe `json:"probe,omitempty"`
	// ForwardedHeartbeats are workers' heartbeats, for the leader to respond to.
	ForwardedHeartbeats []wire.RawMessage `json:"relay,omitempty"`
	// ExplainJob is the ID of a job of which the leader is to say what it knows.
	ExplainJob string `json:"explain,omitempty"`
	// StandbyQuery asks a leader what it has decided. 3a714ab, 5fd93d5 and 1f14824 ignore the field, and their
	// response is empty.
	StandbyQuery *standby.Query `json:"standby,omitempty"`
	// WantZones asks a leader for the status of the zones. 3a714ab, 5fd93d5, 1f14824 and d052fb0 ignore the field,
	// and their response is empty.
	WantZones bool `json:"zones,omitempty"`
	// MembershipHeartbeat is what the sender knows of the members; the response has the peer's. 3a714ab, 5fd93d5,
	// 1f14824 and d052fb0 ignore the field, and their response is empty: it only shows that they are alive.
	MembershipHeartbeat *membership.Heartbeat `json:"heartbeat,omitempty"`
}

// Probe gives a peer the sender's state, and asks for the peer's.
type Probe struct {
	Member             string     `json:"member"`           // the sender
	HighestToken       uint64     `json:"token"`            // highest known
	Leader             string     `json:"leader"`           // whose token that is
	LeadershipInDoubt  bool       `json:"doubt"`            // it leads, and does not know whether its session has ended
	TaskCounts         TaskCounts `json:"counts,omitempty"` // from the leader; nil if sent before
	CancellationsSince uint64     `json:"since"`            // revision up to which it knows all cancellations
}

// TaskCounts is how many tasks of each job, by its ID, are done and how many run, in this order.
type TaskCounts map[string][2]int

// Of returns the counts of a job, zero if they are not known.
func (c TaskCounts) Of(job string) (done, running int) {
	counts := c[job]
	return counts[0], counts[1]
}

// NodeState is what a node answers to a probe.
type NodeState struct {
	Loaded             bool          `json:"loaded"`      // its replica is; until then the rest proves nothing
	HighestToken       uint64        `json:"token"`       // highest known; it answers no worker with a lower one from now on
	Leader             string        `json:"leader"`      // whose token that is
	SinceStateService  micros.Micros `json:"since_heard"` // how long ago the state service last answered it
	AbstainFor         micros.Micros `json:"promise"`     // for so long it abstains from campaigning; 0: it may campaign
	ForwardsHeartbeats bool          `json:"fronts"`      // it takes heartbeats and forwards them to the sender of the probe
	// Cancellations are those that it knows of since the revision asked for: all there are up to CancelledThrough,
	// and with CancellationsComplete all that it ever confirmed to a user.
	Cancellations         []replica.Cancellation `json:"cancelled"`
	CancelledThrough      uint64                 `json:"through"`
	CancellationsComplete bool                   `json:"whole"`
	Version               int                    `json:"version,omitempty"` // that it speaks; 3a714ab sends none, which is read as 0
}

// Response answers the request of the same ID. Besides, the field that answers it is set, or Error, or neither by a
// version that does not know the request.
type Response struct {
	ID        uint64     `json:"id"`
	NodeState *NodeState `json:"state,omitempty"` // to Probe
	// ForwardedResponses answers ForwardedHeartbeats, one for each in their order.
	ForwardedResponses  []ForwardedResponse   `json:"relay,omitempty"`
	Explanation         *explain.Explanation  `json:"explain,omitempty"` // to ExplainJob
	StandbyPage         *standby.Page         `json:"standby,omitempty"` // to StandbyQuery
	ZoneStatus          []zone.Status         `json:"zones,omitempty"`   // to WantZones
	MembershipHeartbeat *membership.Heartbeat `json:"heartbeat,omitempty"`
	Error               string                `json:"error,omitempty"` // why there is no answer
}

// ForwardedResponse is the leader's response to one forwarded heartbeat, or why there is none.
type ForwardedResponse struct {
	Response wire.RawMessage `json:"answer,omitempty"`
	Error    string          `json:"error,omitempty"`
}

// maxMessageBytes bounds what a peer may send in one value.
const maxMessageBytes = 1 << 20

// errMessageTooLarge ends a stream.
var errMessageTooLarge = errors.New("message too large")

// limitedReader ends a stream whose single value is too large.
type limitedReader struct {
	reader io.Reader
	left   int // bytes that the present value may still take
}

// Read reads at most what is left of the limit.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// Package peer carries requests between controller nodes as CBOR values on TCP connections. There is a separate
// connection for each direction and purpose.
//
// The fields of Request are the requests that one node may send to another. The table requestKinds (server.go) assigns
// to each of them the method of Handler that answers it. All versions that may run side by side share these types:
// fields may be added but never removed or changed, and a node ignores fields that it does not know. A field's comment
// names the versions that lack it.
//
// The package owns the messages between nodes, their transport and batching, the peers' latest responses, and the
// protocol versions of the nodes. It must not decide what a node answers, nor what follows from the peers' answers:
// a peer's answer is a hint until a term proves it (see internal/election). It must not import internal/leader.
package peer

import (
	"fmt"
	"io"

	"caperlatch/internal/explain"
	"caperlatch/internal/membership"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// Request is a request to a peer. Exactly one of the fields other than ID is set.
type Request struct {
	ID    uint64 `json:"id"` // identifies the request on its connection, set by Client.Call
	Probe *Probe `json:"probe,omitempty"`
	// ForwardedHeartbeats are encoded heartbeats of workers that the leader is asked to respond to.
	ForwardedHeartbeats []wire.RawMessage `json:"relay,omitempty"`
	// ExplainJob is the ID of a job that the leader is asked to explain.
	ExplainJob string `json:"explain,omitempty"`
	// StandbyQuery asks a leader for its decisions. Versions 3a714ab, 5fd93d5 and 1f14824 ignore the field and
	// return an empty response.
	StandbyQuery *standby.Query `json:"standby,omitempty"`
	// WantZones asks a leader for the status of the zones. Versions 3a714ab, 5fd93d5, 1f14824 and d052fb0 ignore the
	// field and return an empty response.
	WantZones bool `json:"zones,omitempty"`
	// MembershipHeartbeat is the sender's view of the members. The response contains the peer's view. Versions 3a714ab,
	// 5fd93d5, 1f14824 and d052fb0 ignore the field and return an empty response, which only shows that they are alive.
	MembershipHeartbeat *membership.Heartbeat `json:"heartbeat,omitempty"`
}

// Probe sends a peer the sender's state and asks for the peer's state.
type Probe struct {
	Member             string     `json:"member"`           // the sending node
	HighestToken       uint64     `json:"token"`            // highest known fencing token
	Leader             string     `json:"leader"`           // the member that holds HighestToken
	LeadershipInDoubt  bool       `json:"doubt"`            // the sender leads, but its session may have ended
	TaskCounts         TaskCounts `json:"counts,omitempty"` // from the leader; nil if sent before
	CancellationsSince uint64     `json:"since"`            // revision up to which the sender knows all cancellations
}

// TaskCounts contains, by job ID, the number of tasks that are done and the number that run, in this order.
type TaskCounts map[string][2]int

// Of returns the counts of a job, which are zero if they are not known.
func (c TaskCounts) Of(job string) (done, running int) {
	counts := c[job]
	return counts[0], counts[1]
}

// NodeState is a node's answer to a probe.
type NodeState struct {
	Loaded             bool          `json:"loaded"`      // replica loaded; until then the other fields prove nothing
	HighestToken       uint64        `json:"token"`       // highest known; the node answers no worker with a lower one again
	Leader             string        `json:"leader"`      // the member that holds HighestToken
	SinceStateService  micros.Micros `json:"since_heard"` // time since the latest response of the state service
	AbstainFor         micros.Micros `json:"promise"`     // how long the node abstains from campaigning; 0 if it may campaign
	ForwardsHeartbeats bool          `json:"fronts"`      // forwards workers' heartbeats to the sender of the probe
	// Cancellations are the cancellations that the node knows of since Probe.CancellationsSince. They include every
	// cancellation up to revision CancelledThrough and, if CancellationsComplete is set, every cancellation that the node
	// ever confirmed to a user.
	Cancellations         []replica.Cancellation `json:"cancelled"`
	CancelledThrough      uint64                 `json:"through"`
	CancellationsComplete bool                   `json:"whole"`
	Version               int                    `json:"version,omitempty"` // 3a714ab sends none, which is decoded as 0
}

// Response answers the request with the same ID. In addition, it has the field that answers the request or Error set,
// or neither if the peer's version does not know the request.
type Response struct {
	ID        uint64     `json:"id"`
	NodeState *NodeState `json:"state,omitempty"` // answers Probe
	// ForwardedResponses answers ForwardedHeartbeats, with one entry for each heartbeat in the same order.
	ForwardedResponses  []ForwardedResponse   `json:"relay,omitempty"`
	Explanation         *explain.Explanation  `json:"explain,omitempty"` // answers ExplainJob
	StandbyPage         *standby.Page         `json:"standby,omitempty"` // answers StandbyQuery
	ZoneStatus          []zone.Status         `json:"zones,omitempty"`   // answers WantZones
	MembershipHeartbeat *membership.Heartbeat `json:"heartbeat,omitempty"`
	Error               string                `json:"error,omitempty"` // why the request failed
}

// ForwardedResponse is the leader's response to one forwarded heartbeat, or the reason why there is none.
type ForwardedResponse struct {
	Response wire.RawMessage `json:"answer,omitempty"`
	Error    string          `json:"error,omitempty"`
}

// maxMessageBytes is the maximum size of one encoded message.
const maxMessageBytes = 1 << 20

// errMessageTooLarge means that a peer sent a message above maxMessageBytes. The connection is then closed.
var errMessageTooLarge = fmt.Errorf("message exceeds %d bytes", maxMessageBytes)

// limitedReader fails with errMessageTooLarge when a single message is too large.
type limitedReader struct {
	reader    io.Reader
	remaining int // bytes that the current message may still contain
}

// Read reads at most as many bytes as remain of the limit.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := l.reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// Package peer carries requests between controller nodes: CBOR values on
// streams over net, one stream a direction.
//
// It owns the messages between nodes, their transport and batching, what the peers last
// told, and the versions that they speak. It does not decide what a node answers or what
// follows from its peers' answers.
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

// Request asks a peer one of these things.
type Request struct {
	ID                  uint64     `json:"id"`
	Probe               *Probe     `json:"probe,omitempty"`
	ForwardedHeartbeats []wire.Raw `json:"relay,omitempty"` // workers' reports
	ExplainJob          string     `json:"explain,omitempty"`
	// StandbyQuery asks a leader what it has decided. One of a version before this one ignores
	// the field, and its answer says nothing.
	StandbyQuery *standby.Query `json:"standby,omitempty"`
	// WantZones asks a leader what it thinks of the zones; ignored by versions before this one.
	WantZones bool `json:"zones,omitempty"`
	// MembershipHeartbeat is what the sender thinks of the members; the answer is the peer's. Versions
	// before this one ignore it, and their answer says nothing but that they live.
	MembershipHeartbeat *membership.Heartbeat `json:"heartbeat,omitempty"`
}

// Probe tells a peer of its sender and asks for its state.
type Probe struct {
	Member             string            `json:"member"`
	HighestToken       uint64            `json:"token"`            // highest known
	Leader             string            `json:"leader"`           // whose token that is
	LeadershipInDoubt  bool              `json:"doubt"`            // it leads, and does not know whether its session has ended
	TaskCounts         map[string][2]int `json:"counts,omitempty"` // done and running tasks, from the leader
	CancellationsSince uint64            `json:"since"`            // revision up to which it knows all cancellations
}

// NodeState is what a node tells of itself.
type NodeState struct {
	Loaded             bool          `json:"loaded"`
	HighestToken       uint64        `json:"token"`       // highest known
	Leader             string        `json:"leader"`      // whose token that is
	SinceStateService  micros.Micros `json:"since_heard"` // since the state service last answered it
	AbstainFor         micros.Micros `json:"promise"`     // for this long it abstains from trying to lead; 0: it may try
	ForwardsHeartbeats bool          `json:"fronts"`      // it takes reports and passes them on to the one that asks
	// Cancellations are the cancellations that it knows of since the revision asked for: all
	// there are up to Through, and with Whole all that it ever told a user.
	Cancellations         []replica.Cancellation `json:"cancelled"`
	CancelledThrough      uint64                 `json:"through"`
	CancellationsComplete bool                   `json:"whole"`
	Version               int                    `json:"version,omitempty"` // that it speaks
}

// Response answers the request of the same id.
type Response struct {
	ID                  uint64                `json:"id"`
	NodeState           *NodeState            `json:"state,omitempty"`
	ForwardedResponses  []ForwardedResponse   `json:"relay,omitempty"`
	Explanation         *explain.Explanation  `json:"explain,omitempty"`
	StandbyPage         *standby.Page         `json:"standby,omitempty"`
	ZoneStatus          []zone.Status         `json:"zones,omitempty"`
	MembershipHeartbeat *membership.Heartbeat `json:"heartbeat,omitempty"`
	Error               string                `json:"error,omitempty"`
}

// ForwardedResponse is the leader's answer to one report that was passed on, or why there
// is none.
type ForwardedResponse struct {
	Response wire.Raw `json:"answer,omitempty"`
	Error    string   `json:"error,omitempty"`
}

// maxMessage bounds what a peer may send in one value.
const maxMessage = 1 << 20

// limitedReader ends a stream whose single value is too large.
type limitedReader struct {
	r    io.Reader
	left int
}

// Read reads at most what is left of the limit.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errors.New("message too large")
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

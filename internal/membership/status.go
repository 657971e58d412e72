package membership

import "caperlatch/internal/micros"

// Status describes to operators how a node sees itself and the other members.
type Status struct {
	Member      string         `json:"member"`
	Incarnation uint64         `json:"incarnation"`
	Slow        bool           `json:"slow"`     // this node is slow, so its suspicions last longer
	Isolated    bool           `json:"isolated"` // no contact with state service or members, so none is declared failed
	Counts      EventCounts    `json:"counts"`
	Members     []MemberStatus `json:"members"`
}

// MemberStatus describes how a node sees another member. Times are in seconds.
type MemberStatus struct {
	Member          string   `json:"member"`
	State           State    `json:"state"`
	SinceS          float64  `json:"since_s"` // time in the state
	Incarnation     uint64   `json:"incarnation"`
	SilenceS        float64  `json:"heard_s"`              // time since this node last heard from the member
	HeardThrough    string   `json:"through,omitempty"`    // a member that heard from it recently, if this node has not
	RoundTripS      float64  `json:"round_trip_s"`         // of the last heartbeat that the member answered; 0 if none
	SuspicionLeftS  float64  `json:"verdict_s,omitempty"`  // time until the suspicion times out
	FailureWithheld bool     `json:"withheld,omitempty"`   // the suspected member is not declared failed for now
	ConfirmedBy     []string `json:"doubted_by,omitempty"` // other members that suspect it or declared it failed
}

// Status returns the states of all members and of this node.
func (d *Detector) Status(now micros.Micros) Status {
	s := Status{
		Member:      d.self,
		Incarnation: d.incarnation,
		Slow:        d.isSlow(now),
		Isolated:    d.isIsolated(),
		Counts:      d.counts,
	}
	for _, name := range d.names {
		s.Members = append(s.Members, d.memberStatus(now, d.members[name]))
	}
	return s
}

// memberStatus returns the status of one member.
func (d *Detector) memberStatus(now micros.Micros, m *member) MemberStatus {
	s := MemberStatus{
		Member:       m.name,
		State:        m.state,
		SinceS:       (now - m.stateSince).Seconds(),
		Incarnation:  m.incarnation,
		SilenceS:     (now - m.lastHeard).Seconds(),
		HeardThrough: m.indirectlyHeardThrough(now, d.config.SuspectAfter),
		RoundTripS:   m.roundTrip.Seconds(),
		ConfirmedBy:  d.confirmedBy(m),
	}
	if m.state == Suspected {
		s.FailureWithheld = d.isFailureWithheld(m)
		s.SuspicionLeftS = max(0, m.suspectedAt+d.suspicionTimeout(now, m)-now).Seconds()
	}
	return s
}

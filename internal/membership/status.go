package membership

import "caperlatch/internal/micros"

// Status is what a node tells the duty team of the members.
type Status struct {
	Member      string         `json:"member"`
	Incarnation uint64         `json:"incarnation"`
	Slow        bool           `json:"slow"`     // this node waits longer for its own verdicts
	Isolated    bool           `json:"isolated"` // it hears nobody, and gives no verdict
	Counts      Counts         `json:"counts"`
	Members     []MemberStatus `json:"members"`
}

// MemberStatus is what a node thinks of another member.
type MemberStatus struct {
	Member          string   `json:"member"`
	State           State    `json:"state"`
	SinceS          float64  `json:"since_s"` // of the state
	Incarnation     uint64   `json:"incarnation"`
	SilenceS        float64  `json:"heard_s"`              // since it was last heard by this node
	HeardThrough    string   `json:"through,omitempty"`    // who hears it where this node does not
	RoundTripS      float64  `json:"round_trip_s"`         // of the last heartbeat answered, 0 if none was
	SuspicionLeftS  float64  `json:"verdict_s,omitempty"`  // until a suspicion is a verdict
	FailureWithheld bool     `json:"withheld,omitempty"`   // a suspicion that becomes no verdict for now
	ConfirmedBy     []string `json:"doubted_by,omitempty"` // members that doubt it as well
}

// Status tells what this node thinks of all members.
func (d *Detector) Status(now micros.Micros) Status {
	s := Status{
		Member:      d.own,
		Incarnation: d.incarnation,
		Slow:        d.slow(now),
		Isolated:    d.isolated(),
		Counts:      d.counts,
	}
	for _, name := range d.names {
		s.Members = append(s.Members, d.memberStatus(now, d.members[name]))
	}
	return s
}

// memberStatus tells what this node thinks of a member.
func (d *Detector) memberStatus(now micros.Micros, m *member) MemberStatus {
	s := MemberStatus{
		Member:       m.name,
		State:        m.state,
		SinceS:       (now - m.since).Seconds(),
		Incarnation:  m.incarnation,
		SilenceS:     (now - m.heardAt).Seconds(),
		HeardThrough: m.through(now, d.config.SuspectAfter),
		RoundTripS:   m.roundTrip.Seconds(),
		ConfirmedBy:  d.confirmers(m),
	}
	if m.state == Suspected {
		s.FailureWithheld = d.withheld(m)
		s.SuspicionLeftS = max(0, m.suspectedAt+d.timeout(now, m)-now).Seconds()
	}
	return s
}

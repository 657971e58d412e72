package membership

import "caperlatch/internal/micros"

// Status describes the members for operators, as one node sees them.
type Status struct {
	Member      string         `json:"member"`
	Incarnation uint64         `json:"incarnation"`
	Slow        bool           `json:"slow"`     // its own suspicions last longer
	Isolated    bool           `json:"isolated"` // it reaches nobody, and takes no member as failed
	Counts      Counts         `json:"counts"`
	Members     []MemberStatus `json:"members"`
}

// MemberStatus describes another member. Times are in seconds.
type MemberStatus struct {
	Member          string   `json:"member"`
	State           State    `json:"state"`
	SinceS          float64  `json:"since_s"` // in the state
	Incarnation     uint64   `json:"incarnation"`
	SilenceS        float64  `json:"heard_s"`              // since this node last heard from it
	HeardThrough    string   `json:"through,omitempty"`    // a member that hears from it where this node does not
	RoundTripS      float64  `json:"round_trip_s"`         // of the last heartbeat answered, 0 if none was
	SuspicionLeftS  float64  `json:"verdict_s,omitempty"`  // until a suspicion times out
	FailureWithheld bool     `json:"withheld,omitempty"`   // it is not taken as failed for now
	ConfirmedBy     []string `json:"doubted_by,omitempty"` // other members that suspect it as well
}

// Status describes all members.
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

// memberStatus describes a member.
func (d *Detector) memberStatus(now micros.Micros, m *member) MemberStatus {
	s := MemberStatus{
		Member:       m.name,
		State:        m.state,
		SinceS:       (now - m.since).Seconds(),
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

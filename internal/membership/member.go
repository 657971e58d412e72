package membership

import "caperlatch/internal/micros"

// member is what this node knows about another member.
type member struct {
	name        string
	state       State
	stateSince  micros.Micros // start of the state
	incarnation uint64        // the highest known
	lastHeard   micros.Micros // when a message from the member last arrived here
	// lastHeardIndirectly is the latest time at which another member, heardThrough, heard from this member. It is
	// computed from a heartbeat of heardThrough and ignores the transmission time, so it is slightly too late.
	lastHeardIndirectly micros.Micros
	heardThrough        string
	suspectedAt         micros.Micros         // when the suspicion's timeout last (re)started
	roundTrip           micros.Micros         // of the last heartbeat that the member answered; 0 if it answered none
	views               map[string]MemberView // the member's latest views of other members, by name
}

// newMember returns a member about which nothing is known. It counts as last heard from now, so that a node that starts
// does not suspect all other members at once.
func newMember(name string, now micros.Micros) *member {
	return &member{name: name, state: Alive, stateSince: now, lastHeard: now, views: map[string]MemberView{}}
}

// silence returns the time since this node, or any other as far as this node knows, last heard from the member.
func (m *member) silence(now micros.Micros) micros.Micros {
	return now - max(m.lastHeard, m.lastHeardIndirectly)
}

// indirectlyHeardThrough returns the name of a member that has heard from this member within the given time, if this
// node itself has not. It returns "" if this node has, or if no member has.
func (m *member) indirectlyHeardThrough(now, within micros.Micros) string {
	if now-m.lastHeard <= within || now-m.lastHeardIndirectly > within {
		return ""
	}
	return m.heardThrough
}

// excludePause excludes a pause of this node itself from the member's silence and from the time of its suspicion.
func (m *member) excludePause(paused, now micros.Micros) {
	m.lastHeard = min(now, m.lastHeard+paused)
	m.suspectedAt = min(now, m.suspectedAt+paused)
}

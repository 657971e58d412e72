package membership

import "caperlatch/internal/micros"

// member is what is known of another node.
type member struct {
	name        string
	state       State
	since       micros.Micros // start of the state
	incarnation uint64        // the latest known
	lastHeard   micros.Micros // when a message from it last arrived here
	// lastHeardIndirectly is when another member, heardThrough, last heard from it by its own report.
	// The time that the report took is not in it, so it is a little too late.
	lastHeardIndirectly micros.Micros
	heardThrough        string
	suspectedAt         micros.Micros         // start of the suspicion's timeout
	roundTrip           micros.Micros         // of the last heartbeat that was answered, 0 if none was
	views               map[string]MemberView // its latest views of others, by their names
}

// newMember is a member of which nothing is known. It counts as heard from now, so that a node that
// starts does not suspect all others at once.
func newMember(name string, now micros.Micros) *member {
	return &member{name: name, state: Alive, since: now, lastHeard: now, views: map[string]MemberView{}}
}

// silence is the time since any node last heard from the member, as far as it is known here.
func (m *member) silence(now micros.Micros) micros.Micros {
	return now - max(m.lastHeard, m.lastHeardIndirectly)
}

// indirectlyHeardThrough is the member that has heard from this one within a time, where this node has
// not; empty if it has, or none has.
func (m *member) indirectlyHeardThrough(now, within micros.Micros) string {
	if now-m.lastHeard <= within || now-m.lastHeardIndirectly > within {
		return ""
	}
	return m.heardThrough
}

// excusePause takes a pause of this node itself out of the member's silence and suspicion.
func (m *member) excusePause(paused, now micros.Micros) {
	m.lastHeard = min(now, m.lastHeard+paused)
	m.suspectedAt = min(now, m.suspectedAt+paused)
}

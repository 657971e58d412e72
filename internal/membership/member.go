package membership

import "caperlatch/internal/micros"

// member is what is known of another node.
type member struct {
	name        string
	state       State
	since       micros.Micros // of the state
	incarnation uint64        // the latest known
	lastHeard   micros.Micros // when a message of it last came here
	// lastHeardIndirectly is when another member last heard it, as that one says, and heardThrough who that was. The
	// message's own way is not in it, so it is a little too late.
	lastHeardIndirectly micros.Micros
	heardThrough        string
	suspectedAt         micros.Micros         // since when the suspicion's timer runs
	roundTrip           micros.Micros         // of the last heartbeat that was answered
	views               map[string]MemberView // what it said last of others, by their names
}

// newMember is a member of which nothing is known. It counts as heard now, so that a node that
// starts does not suspect all others at once.
func newMember(name string, now micros.Micros) *member {
	return &member{name: name, state: Alive, since: now, lastHeard: now, views: map[string]MemberView{}}
}

// silence is since anybody last heard the member, as far as it is known here.
func (m *member) silence(now micros.Micros) micros.Micros {
	return now - max(m.lastHeard, m.lastHeardIndirectly)
}

// indirectlyHeardThrough names the member that hears this one where this node does not; empty if it does.
func (m *member) indirectlyHeardThrough(now, within micros.Micros) string {
	if now-m.lastHeard <= within || now-m.lastHeardIndirectly > within {
		return ""
	}
	return m.heardThrough
}

// excusePause moves what is measured from, as the node itself stood still for so long.
func (m *member) excusePause(paused, now micros.Micros) {
	m.lastHeard = min(now, m.lastHeard+paused)
	m.suspectedAt = min(now, m.suspectedAt+paused)
}

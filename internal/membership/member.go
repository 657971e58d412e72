package membership

import "caperlatch/internal/micros"

// member is what is known of another node.
type member struct {
	name        string
	state       State
	since       micros.Micros // of the state
	incarnation uint64        // the latest known
	heardAt     micros.Micros // when a message of it last came here
	// toldAt is when another member last heard it, as that one says, and toldBy who that was. The
	// message's own way is not in it, so it is a little too late.
	toldAt      micros.Micros
	toldBy      string
	suspectedAt micros.Micros         // since when the suspicion's timer runs
	roundTrip   micros.Micros         // of the last heartbeat that was answered
	opinions    map[string]MemberView // what it said last of others, by their names
}

// newMember is a member of which nothing is known. It counts as heard now, so that a node that
// starts does not suspect all others at once.
func newMember(name string, now micros.Micros) *member {
	return &member{name: name, state: Alive, since: now, heardAt: now, opinions: map[string]MemberView{}}
}

// silence is since anybody last heard the member, as far as it is known here.
func (m *member) silence(now micros.Micros) micros.Micros { return now - max(m.heardAt, m.toldAt) }

// through names the member that hears this one where this node does not; empty if it does.
func (m *member) through(now, within micros.Micros) string {
	if now-m.heardAt <= within || now-m.toldAt > within {
		return ""
	}
	return m.toldBy
}

// shift moves what is measured from, as the node itself stood still for so long.
func (m *member) shift(paused, now micros.Micros) {
	m.heardAt = min(now, m.heardAt+paused)
	m.suspectedAt = min(now, m.suspectedAt+paused)
}

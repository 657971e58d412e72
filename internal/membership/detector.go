package membership

import (
	"slices"

	"caperlatch/internal/micros"
)

// Detector holds what one node thinks of the other members.
type Detector struct {
	config      Config
	own         string
	incarnation uint64
	leaving     bool
	names       []string // of the others, in order
	members     map[string]*member
	health      health
	around      Environment
	transitions []Transition
	counts      Counts
}

// Counts are how often things happened since the node started.
type Counts struct {
	Suspicions  int `json:"suspicions"`
	Failures    int `json:"failures"`
	Refutations int `json:"refuted"` // doubts of this node by others
}

// NewDetector makes a detector of a node that has just started. The incarnation should be later than
// those of the node's earlier lives; where it is not, the others' answers correct it.
func NewDetector(own string, others []string, config Config, incarnation uint64, now micros.Micros) *Detector {
	d := &Detector{
		config:      config,
		own:         own,
		names:       slices.Sorted(slices.Values(others)),
		incarnation: incarnation,
		members:     map[string]*member{},
		health:      newHealth(config.HeartbeatInterval, now),
	}
	for _, name := range others {
		d.members[name] = newMember(name, now)
	}
	return d
}

// Heartbeat is what to tell a member now.
func (d *Detector) Heartbeat(now micros.Micros) Heartbeat {
	h := Heartbeat{Member: d.own, Incarnation: d.incarnation, Leaving: d.leaving}
	for _, name := range d.names {
		m := d.members[name]
		h.Views = append(h.Views, MemberView{
			Member:      name,
			State:       m.state,
			Incarnation: m.incarnation,
			Silence:     now - m.heardAt,
		})
	}
	return h
}

// Leave has the heartbeats from now on say that this node ends.
func (d *Detector) Leave() { d.leaving = true }

// HandleHeartbeat takes over a heartbeat, one that was sent here or the answer to one.
func (d *Detector) HandleHeartbeat(now micros.Micros, h *Heartbeat) {
	sender := d.members[h.Member]
	if sender == nil || h.Incarnation < sender.incarnation {
		return // nobody of ours, or of an earlier life
	}
	d.heard(now, sender, h)
	for i := range h.Views {
		opinion := &h.Views[i]
		if opinion.Member == d.own {
			d.refute(opinion)
			continue
		}
		if about := d.members[opinion.Member]; about != nil {
			sender.opinions[opinion.Member] = *opinion
			d.told(now, sender, about, opinion)
		}
	}
}

// HandleAck notes that a member answered a heartbeat that took so long there and back. One of a
// version without heartbeats answers as well, and tells nothing in its answer.
func (d *Detector) HandleAck(now micros.Micros, name string, took micros.Micros) {
	m := d.members[name]
	if m == nil {
		return
	}
	m.roundTrip = took
	m.heardAt = now
	switch {
	case m.state == Suspected:
		d.change(now, m, Alive, ReasonReachable)
	case m.state == Failed && now-took > m.since, m.state == Left && now-took > m.since+d.config.SuspectAfter:
		// It answered what was sent after the verdict: proof that it lived after it.
		d.change(now, m, Alive, ReasonReachable)
	}
}

// heard takes over what a heartbeat says of its sender.
func (d *Detector) heard(now micros.Micros, sender *member, h *Heartbeat) {
	later := h.Incarnation > sender.incarnation
	restarted := later && sender.incarnation != 0
	sender.incarnation = h.Incarnation
	sender.heardAt = now
	switch {
	case h.Leaving:
		d.change(now, sender, Left, ReasonLeft)
	case sender.state == Suspected:
		d.change(now, sender, Alive, ReasonReachable)
	case sender.state == Failed && later:
		d.change(now, sender, Alive, ReasonRefuted)
	case sender.state == Left && later:
		d.change(now, sender, Alive, ReasonRestarted)
	case sender.state == Alive && restarted:
		d.note(now, sender, Alive, ReasonRestarted)
	}
}

// refute answers a doubt of this node by a later incarnation, which overrides it everywhere. The
// same holds where an earlier life of this node had a later one.
func (d *Detector) refute(opinion *MemberView) {
	doubted := opinion.State.doubts() && opinion.Incarnation == d.incarnation
	left := opinion.State == Left && !d.leaving && opinion.Incarnation == d.incarnation
	if opinion.Incarnation > d.incarnation || doubted || left {
		d.incarnation = opinion.Incarnation + 1
		d.counts.Refutations++
	}
}

// told takes over what one member says of another.
func (d *Detector) told(now micros.Micros, by, about *member, opinion *MemberView) {
	if opinion.Incarnation < about.incarnation {
		return // of an earlier life
	}
	later := opinion.Incarnation > about.incarnation
	about.incarnation = opinion.Incarnation
	if opinion.State == Left {
		if later || about.state != Left {
			d.change(now, about, Left, ReasonLeft)
		}
		return
	}
	if at := now - opinion.Silence; at > about.toldAt {
		about.toldAt, about.toldBy = at, by.name
	}
	switch fresh := now-about.toldAt <= d.config.SuspectAfter; {
	case about.state == Suspected && fresh:
		d.change(now, about, Alive, ReasonIndirectlyReachable)
	case (about.state == Failed || about.state == Left) && fresh && later:
		d.change(now, about, Alive, ReasonRefuted)
	}
}

// Tick looks at all members; it is to be called once an interval. Time in which this node itself
// stood still is not held against the others.
func (d *Detector) Tick(now micros.Micros, around Environment) {
	d.around = around
	if paused := d.health.tick(now); paused > 0 {
		for _, m := range d.members {
			m.shift(paused, now)
		}
	}
	for _, name := range d.names {
		d.judge(now, d.members[name])
	}
}

// judge suspects a member that is silent, and confirms a suspicion whose timer is over.
func (d *Detector) judge(now micros.Micros, m *member) {
	if m.state == Alive && m.silence(now) > d.config.SuspectAfter {
		d.counts.Suspicions++
		m.suspectedAt = now
		d.change(now, m, Suspected, ReasonSilent)
	}
	if m.state != Suspected {
		return
	}
	if d.withheld(m) {
		m.suspectedAt = now
		return
	}
	if now-m.suspectedAt >= d.timeout(now, m) {
		d.counts.Failures++
		d.change(now, m, Failed, ReasonSuspicionTimeout)
	}
}

// withheld tells whether a suspicion must not become a verdict: the member's session lives, so it
// was alive within the session's life; or this node hears nobody, neither the state service nor a
// member, and cannot tell their failure from its own.
func (d *Detector) withheld(m *member) bool {
	return d.around.Leader == m.name || d.isolated()
}

// isolated tells whether this node hears neither the state service nor any member.
func (d *Detector) isolated() bool {
	if d.around.StateServiceReachable {
		return false
	}
	for _, m := range d.members {
		if m.state == Alive {
			return false
		}
	}
	return true
}

// timeout is how long a suspicion of a member lasts until it is a verdict.
func (d *Detector) timeout(now micros.Micros, m *member) micros.Micros {
	possible := 0
	for _, other := range d.members {
		if other != m && other.state == Alive {
			possible++
		}
	}
	timeout := suspicionTimeout(&d.config, len(d.confirmers(m)), possible)
	if d.slow(now) {
		timeout *= slowFactor
	}
	return timeout
}

// confirmers are the members heard here that doubt a member's present life as well.
func (d *Detector) confirmers(m *member) (names []string) {
	for _, name := range d.names {
		other := d.members[name]
		opinion, told := other.opinions[m.name]
		if told && other.state == Alive && opinion.State.doubts() && opinion.Incarnation == m.incarnation {
			names = append(names, name)
		}
	}
	return names
}

// change moves a member to another state.
func (d *Detector) change(now micros.Micros, m *member, to State, reason Reason) {
	if m.state == to {
		return
	}
	d.note(now, m, to, reason)
	m.state, m.since = to, now
}

// note keeps a transition for the caller.
func (d *Detector) note(now micros.Micros, m *member, to State, reason Reason) {
	t := Transition{Member: m.name, From: m.state, To: to, Reason: reason, Silence: m.silence(now)}
	if to.doubts() {
		t.ConfirmedBy = d.confirmers(m)
	}
	d.transitions = append(d.transitions, t)
}

// TakeTransitions are the changes since they were last asked for.
func (d *Detector) TakeTransitions() []Transition {
	out := d.transitions
	d.transitions = nil
	return out
}

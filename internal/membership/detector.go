package membership

import (
	"slices"

	"caperlatch/internal/micros"
)

// Detector is the failure detector of one node. It holds the state that the node assigns to each other member. It is
// not safe for concurrent use.
type Detector struct {
	config      Config
	self        string
	incarnation uint64   // of this node
	leaving     bool     // this node is shutting down
	names       []string // of the other members, sorted
	members     map[string]*member
	localHealth localHealth
	environment Environment
	transitions []Transition // not yet returned by TakeTransitions
	counts      EventCounts
}

// EventCounts holds the numbers of suspicions, failures and refutations since the node started.
type EventCounts struct {
	Suspicions  int `json:"suspicions"`
	Failures    int `json:"failures"`
	Refutations int `json:"refuted"` // how often this node has raised its own incarnation, see refute
}

// NewDetector returns the detector of a node that has just started. The incarnation should be higher than those of the
// node's earlier starts. If another member's heartbeat shows a higher one, the detector raises its own above that.
func NewDetector(self string, others []string, config Config, incarnation uint64, now micros.Micros) *Detector {
	d := &Detector{
		config:      config,
		self:        self,
		names:       slices.Sorted(slices.Values(others)),
		incarnation: incarnation,
		members:     map[string]*member{},
		localHealth: newLocalHealth(config.HeartbeatInterval, now),
	}
	for _, name := range others {
		d.members[name] = newMember(name, now)
	}
	return d
}

// Heartbeat returns the heartbeat to send to each member now.
func (d *Detector) Heartbeat(now micros.Micros) Heartbeat {
	h := Heartbeat{Member: d.self, Incarnation: d.incarnation, Leaving: d.leaving}
	for _, name := range d.names {
		m := d.members[name]
		h.Views = append(h.Views, MemberView{
			Member:      name,
			State:       m.state,
			Incarnation: m.incarnation,
			Silence:     now - m.lastHeard,
		})
	}
	return h
}

// Leave marks this node as shutting down, which all later heartbeats announce.
func (d *Detector) Leave() { d.leaving = true }

// HandleHeartbeat processes a heartbeat that arrived in a request, or in the response to a heartbeat of this node.
func (d *Detector) HandleHeartbeat(now micros.Micros, h *Heartbeat) {
	sender := d.members[h.Member]
	if sender == nil || h.Incarnation < sender.incarnation {
		return // the sender is unknown, or the heartbeat is of an earlier incarnation of it
	}
	d.applySender(now, sender, h)
	for i := range h.Views {
		view := &h.Views[i]
		if view.Member == d.self {
			d.refute(view)
			continue
		}
		if subject := d.members[view.Member]; subject != nil {
			sender.views[view.Member] = *view
			d.applyView(now, sender, subject, view)
		}
	}
}

// HandleAck records that a member responded to a heartbeat, and the round-trip time. The response may make the member
// alive again. A member of a version without heartbeats responds as well, but without a heartbeat of its own.
func (d *Detector) HandleAck(now micros.Micros, name string, roundTrip micros.Micros) {
	m := d.members[name]
	if m == nil {
		return
	}
	m.roundTrip = roundTrip
	m.lastHeard = now
	switch {
	case m.state == Suspected:
		d.transition(now, m, Alive, ReasonReachable)
	case m.state == Failed && now-roundTrip > m.stateSince, m.state == Left && now-roundTrip > m.stateSince+d.config.SuspectAfter:
		// The member responded to a heartbeat that was sent after it had failed, or more than SuspectAfter after it had
		// left. This proves that it was alive after the transition.
		d.transition(now, m, Alive, ReasonReachable)
	}
}

// applySender updates the state of a heartbeat's sender from the heartbeat.
func (d *Detector) applySender(now micros.Micros, sender *member, h *Heartbeat) {
	newer := h.Incarnation > sender.incarnation
	restarted := newer && sender.incarnation != 0
	sender.incarnation = h.Incarnation
	sender.lastHeard = now
	switch {
	case h.Leaving:
		d.transition(now, sender, Left, ReasonLeft)
	case sender.state == Suspected:
		d.transition(now, sender, Alive, ReasonReachable)
	case sender.state == Failed && newer:
		d.transition(now, sender, Alive, ReasonRefuted)
	case sender.state == Left && newer:
		d.transition(now, sender, Alive, ReasonRestarted)
	case sender.state == Alive && restarted:
		d.recordTransition(now, sender, Alive, ReasonRestarted)
	}
}

// refute raises this node's incarnation if a member's view has this node as suspected or failed, or as left although it
// is not shutting down. A higher incarnation overrides such a view at all members. refute also raises the incarnation
// if a member knows a higher one, from an earlier start of this node.
func (d *Detector) refute(view *MemberView) {
	suspected := view.State.isSuspicion() && view.Incarnation == d.incarnation
	left := view.State == Left && !d.leaving && view.Incarnation == d.incarnation
	if view.Incarnation > d.incarnation || suspected || left {
		d.incarnation = view.Incarnation + 1
		d.counts.Refutations++
	}
}

// applyView updates the state of the member subject from the sender's view of it.
func (d *Detector) applyView(now micros.Micros, sender, subject *member, view *MemberView) {
	if view.Incarnation < subject.incarnation {
		return // the view is of an earlier incarnation of subject
	}
	newer := view.Incarnation > subject.incarnation
	subject.incarnation = view.Incarnation
	if view.State == Left {
		if newer || subject.state != Left {
			d.transition(now, subject, Left, ReasonLeft)
		}
		return
	}
	if at := now - view.Silence; at > subject.lastHeardIndirectly {
		subject.lastHeardIndirectly, subject.heardThrough = at, sender.name
	}
	switch recent := now-subject.lastHeardIndirectly <= d.config.SuspectAfter; {
	case subject.state == Suspected && recent:
		d.transition(now, subject, Alive, ReasonIndirectlyReachable)
	case (subject.state == Failed || subject.state == Left) && recent && newer:
		d.transition(now, subject, Alive, ReasonRefuted)
	}
}

// Tick checks all members. The caller must call it once every HeartbeatInterval. Time during which this node itself was
// paused counts neither as silence of other members nor towards the timeouts of suspicions.
func (d *Detector) Tick(now micros.Micros, environment Environment) {
	d.environment = environment
	if paused := d.localHealth.tick(now); paused > 0 {
		for _, m := range d.members {
			m.excludePause(paused, now)
		}
	}
	for _, name := range d.names {
		d.checkMember(now, d.members[name])
	}
}

// checkMember suspects a member that has been silent for longer than SuspectAfter, and declares it failed when the
// suspicion times out. As long as the failure is withheld, the timeout restarts at each check.
func (d *Detector) checkMember(now micros.Micros, m *member) {
	if m.state == Alive && m.silence(now) > d.config.SuspectAfter {
		d.counts.Suspicions++
		m.suspectedAt = now
		d.transition(now, m, Suspected, ReasonSilent)
	}
	if m.state != Suspected {
		return
	}
	if d.isFailureWithheld(m) {
		m.suspectedAt = now
		return
	}
	if now-m.suspectedAt >= d.suspicionTimeout(now, m) {
		d.counts.Failures++
		d.transition(now, m, Failed, ReasonSuspicionTimeout)
	}
}

// isFailureWithheld reports whether a suspected member must not be declared failed for now. There are two reasons. The
// member may be the leader with a live session, which shows that the member was alive within the session's TTL. Or this
// node may be isolated, and then it cannot tell the failure of other members from its own.
func (d *Detector) isFailureWithheld(m *member) bool {
	return d.environment.Leader == m.name || d.isIsolated()
}

// isIsolated reports whether this node does not reach the state service, and has no other member in the state Alive.
func (d *Detector) isIsolated() bool {
	if d.environment.StateServiceReachable {
		return false
	}
	for _, m := range d.members {
		if m.state == Alive {
			return false
		}
	}
	return true
}

// suspicionTimeout returns how long a suspicion of a member lasts until the member is declared failed.
func (d *Detector) suspicionTimeout(now micros.Micros, m *member) micros.Micros {
	possible := 0
	for _, other := range d.members {
		if other != m && other.state == Alive {
			possible++
		}
	}
	timeout := timeoutForConfirmations(&d.config, len(d.confirmedBy(m)), possible)
	if d.isSlow(now) {
		timeout *= slowTimeoutFactor
	}
	return timeout
}

// confirmedBy returns the names of the live members that suspect a member's current incarnation as well, or have
// declared it failed.
func (d *Detector) confirmedBy(m *member) (names []string) {
	for _, name := range d.names {
		other := d.members[name]
		view, known := other.views[m.name]
		if known && other.state == Alive && view.State.isSuspicion() && view.Incarnation == m.incarnation {
			names = append(names, name)
		}
	}
	return names
}

// transition moves a member to another state. It does nothing if the member is already in that state.
func (d *Detector) transition(now micros.Micros, m *member, to State, reason Reason) {
	if m.state == to {
		return
	}
	d.recordTransition(now, m, to, reason)
	m.state, m.stateSince = to, now
}

// recordTransition records a transition for the next call of TakeTransitions. It does not change the member's state.
func (d *Detector) recordTransition(now micros.Micros, m *member, to State, reason Reason) {
	t := Transition{Member: m.name, From: m.state, To: to, Reason: reason, Silence: m.silence(now)}
	if to.isSuspicion() {
		t.ConfirmedBy = d.confirmedBy(m)
	}
	d.transitions = append(d.transitions, t)
}

// TakeTransitions returns the transitions since its previous call.
func (d *Detector) TakeTransitions() []Transition {
	out := d.transitions
	d.transitions = nil
	return out
}

package standby

import (
	"log/slog"
	"sync"

	"caperlatch/internal/micros"
)

// Phase is where a node is on the way to lead.
type Phase int

// The phases, in the order in which a take-over passes them.
const (
	Following   Phase = iota // the leader answers
	Suspecting               // the leader has not answered for a while: a hint, nothing follows but haste
	Campaigning              // the leader key is free, and this node tries to take it
	Confirming               // it has taken the key, and reads what earlier terms have stored
	Adopting                 // it knows all of that, and compares what machines hold with it
	Active                   // the tasks of all machines that may hold any are known
)

var phaseNames = [...]string{"following", "suspecting", "campaigning", "confirming", "adopting", "active"}

// String is the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// CanDecide tells whether starts, stops, rentals, returns and ends may leave the node.
func (p Phase) CanDecide() bool { return p >= Adopting }

// Evidence is what proves that the leader before has stopped deciding.
type Evidence struct {
	// FencingToken is the new term's, raised in the transaction that took the key.
	FencingToken uint64 `json:"token"`
	// Revision is that transaction's. It succeeds only while there is no leader key, so the
	// session of the leader before had ended or was released.
	Revision uint64 `json:"revision"`
	// ReadThrough is the revision of the read barrier that began after the transaction.
	ReadThrough uint64 `json:"read_through"`
	// HandoverResponse: the leader before said that it had stopped, and its view proves what
	// machines may hold.
	HandedOver bool `json:"handed_over"`
}

// provesTermOver tells whether the evidence allows to decide.
func (e Evidence) provesTermOver() bool {
	return e.FencingToken != 0 && e.Revision != 0 && e.ReadThrough >= e.Revision
}

// PhaseTime is when a phase began.
type PhaseTime struct {
	Phase string        `json:"phase"`
	At    micros.Micros `json:"at"`     // time of day
	TookS float64       `json:"took_s"` // from the phase before
}

// FailoverRecord is a take-over.
type FailoverRecord struct {
	Evidence Evidence    `json:"evidence"`
	Warm     bool        `json:"warm"` // there was a whole view of the term before
	Phases   []PhaseTime `json:"phases"`
}

// Failover follows a node through the phases of its take-overs.
type Failover struct {
	mu      sync.Mutex
	phase   Phase
	since   micros.Micros
	current FailoverRecord
	last    *FailoverRecord // that reached Active, or was given up after Confirming
}

// NewFailover is that of a node that follows.
func NewFailover() *Failover { return &Failover{since: micros.Now()} }

// Phase is the present phase.
func (t *Failover) Phase() Phase {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase
}

// LastRecord is the last take-over of this node, nil if it never led.
func (t *Failover) LastRecord() *FailoverRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last
}

// LeaderSuspected notes that the leader has not answered for a while.
func (t *Failover) LeaderSuspected() { t.enterFrom(Following, Suspecting) }

// LeaderTrusted notes that the leader answers, or that another one leads.
func (t *Failover) LeaderTrusted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == Suspecting || t.phase == Campaigning {
		t.enter(Following)
	}
}

// CampaignStarted notes that the node tries to lead.
func (t *Failover) CampaignStarted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase < Campaigning {
		t.enter(Campaigning)
	}
}

// TermWon notes that the leader key was taken with a token in a transaction.
func (t *Failover) TermWon(token, revision uint64, warm bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.Evidence = Evidence{FencingToken: token, Revision: revision}
	t.current.Warm = warm
	t.enter(Confirming)
}

// StateRead notes that all that earlier terms have stored is known through a revision. It
// tells whether the evidence is complete; if not, the phase stays.
func (t *Failover) StateRead(readThrough uint64, handedOver bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.Evidence.ReadThrough, t.current.Evidence.HandedOver = readThrough, handedOver
	if t.phase != Confirming || !t.current.Evidence.provesTermOver() {
		return false
	}
	t.enter(Adopting)
	return true
}

// TasksKnown notes that the tasks of all machines are known.
func (t *Failover) TasksKnown() { t.enterFrom(Adopting, Active) }

// TermEnded notes that the node no longer leads.
func (t *Failover) TermEnded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase >= Campaigning {
		t.enter(Following)
	}
}

// enterFrom enters a phase if the present one is the one before.
func (t *Failover) enterFrom(from, to Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == from {
		t.enter(to)
	}
}

// enter begins a phase; mu must be held.
func (t *Failover) enter(p Phase) {
	now := micros.Now()
	took := now - t.since
	slog.Info("standby", "phase", p.String(), "after", t.phase.String(), "took", took.Duration(), "token", t.current.Evidence.FencingToken)
	t.phase, t.since = p, now
	if p == Following {
		t.current = FailoverRecord{}
		return
	}
	record := t.current
	record.Phases = append(record.Phases[:len(record.Phases):len(record.Phases)], PhaseTime{p.String(), micros.Wall(), took.Seconds()})
	t.current = record
	if p >= Confirming {
		t.last = &record
	}
}

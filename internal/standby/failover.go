package standby

import (
	"log/slog"
	"sync"

	"caperlatch/internal/micros"
)

// Phase is where a node is on the way to lead.
type Phase int

// The phases, in the order in which a failover passes them.
const (
	Following   Phase = iota // the leader answers
	Suspecting               // the leader has not answered for a while: a hint, nothing follows but haste
	Campaigning              // the leader key is free, or left to this node, which tries to take it
	Confirming               // it has taken the key, and reads what earlier terms have stored
	Adopting                 // it knows all of that, and compares what machines hold with it
	Active                   // the tasks of all machines that may hold any are known
)

var phaseNames = [...]string{"following", "suspecting", "campaigning", "confirming", "adopting", "active"}

// String is the phase's name, which is shown to operators.
func (p Phase) String() string { return phaseNames[p] }

// CanDecide reports whether starts, stops, launches, terminations and ends of jobs may leave the node.
func (p Phase) CanDecide() bool { return p >= Adopting }

// Evidence is what proves that the leader before has stopped deciding.
type Evidence struct {
	// FencingToken is the new term's, raised in the transaction that took the key.
	FencingToken uint64 `json:"token"`
	// Revision is that transaction's. It succeeds only while there is no leader key, so the session of the leader
	// before had ended, or in place of the key of a leader that had handed over to this node.
	Revision uint64 `json:"revision"`
	// ReadThrough is the revision of the read barrier that began after the transaction.
	ReadThrough uint64 `json:"read_through"`
	// HandedOver: the leader before said that it had stopped, and its view proves what
	// machines may hold.
	HandedOver bool `json:"handed_over"`
}

// provesTermOver reports whether the evidence allows to decide.
func (e Evidence) provesTermOver() bool {
	return e.FencingToken != 0 && e.Revision != 0 && e.ReadThrough >= e.Revision
}

// PhaseTime is when a phase began.
type PhaseTime struct {
	Phase          string        `json:"phase"`
	EnteredAt      micros.Micros `json:"at"`     // time of day
	PreviousPhaseS float64       `json:"took_s"` // that the phase before lasted
}

// FailoverRecord is a failover, as it is shown to operators.
type FailoverRecord struct {
	Evidence Evidence    `json:"evidence"`
	Warm     bool        `json:"warm"` // there was a complete view of the term before
	Phases   []PhaseTime `json:"phases"`
}

// Failover follows a node through the phases of its failovers. Its methods note what happened, and each enters a phase
// only from one that may precede it. It is safe for concurrent use.
type Failover struct {
	mu         sync.Mutex
	phase      Phase
	phaseSince micros.Micros
	current    FailoverRecord  // zero in Following
	last       *FailoverRecord // the last that reached Confirming, never changed once set
}

// NewFailover is that of a node that follows.
func NewFailover() *Failover { return &Failover{phaseSince: micros.Now()} }

// Phase is the present phase.
func (f *Failover) Phase() Phase {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.phase
}

// LastRecord is the last failover in which this node took the leader key, nil if there was none. It must not be changed.
func (f *Failover) LastRecord() *FailoverRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

// LeaderSuspected notes that the leader has not answered for a while.
func (f *Failover) LeaderSuspected() { f.enterFrom(Following, Suspecting) }

// LeaderTrusted notes that the leader answers, or that another one leads.
func (f *Failover) LeaderTrusted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase == Suspecting || f.phase == Campaigning {
		f.enter(Following)
	}
}

// CampaignStarted notes that the node campaigns.
func (f *Failover) CampaignStarted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase < Campaigning {
		f.enter(Campaigning)
	}
}

// TermWon notes that the leader key was taken with a token, in the transaction of a revision; warm says whether there
// is a complete view of the term before.
func (f *Failover) TermWon(token, revision uint64, warm bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current.Evidence = Evidence{FencingToken: token, Revision: revision}
	f.current.Warm = warm
	f.enter(Confirming)
}

// StateRead notes that all that earlier terms have stored is known through a revision, and whether the leader before
// handed over with proof. It reports whether the evidence allows to decide; if not, the phase stays.
func (f *Failover) StateRead(readThrough uint64, handedOver bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current.Evidence.ReadThrough, f.current.Evidence.HandedOver = readThrough, handedOver
	if f.phase != Confirming || !f.current.Evidence.provesTermOver() {
		return false
	}
	f.enter(Adopting)
	return true
}

// TasksKnown notes that the tasks of all machines are known.
func (f *Failover) TasksKnown() { f.enterFrom(Adopting, Active) }

// TermEnded notes that the node no longer leads.
func (f *Failover) TermEnded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase >= Campaigning {
		f.enter(Following)
	}
}

// enterFrom enters a phase if the present one is the one before.
func (f *Failover) enterFrom(from, to Phase) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase == from {
		f.enter(to)
	}
}

// enter enters a phase; mu must be held.
func (f *Failover) enter(to Phase) {
	now := micros.Now()
	took := now - f.phaseSince
	slog.Info("failover phase entered", "from", f.phase.String(), "to", to.String(), "duration", took.Duration(), "fencing_token", f.current.Evidence.FencingToken)
	f.phase, f.phaseSince = to, now
	if to == Following {
		f.current = FailoverRecord{}
		return
	}
	record := f.current
	// The last record may be in a reader's hands: its phases are not appended to in place.
	record.Phases = append(record.Phases[:len(record.Phases):len(record.Phases)], PhaseTime{to.String(), micros.WallTime(), took.Seconds()})
	f.current = record
	if to >= Confirming {
		f.last = &record
	}
}

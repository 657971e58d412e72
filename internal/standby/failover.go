package standby

import (
	"log/slog"
	"sync"

	"caperlatch/internal/micros"
)

// Phase is a phase of a failover, from following a leader to leading.
type Phase int

// The phases, in the order in which a failover passes through them.
const (
	Following   Phase = iota // the leader answers
	Suspecting               // the leader has not answered for a while; a hint that only speeds up preparations
	Campaigning              // the node tries to take the leader key, which is free or whose holder has handed over to it
	Confirming               // the node has taken the key, and reads what earlier terms have stored
	Adopting                 // the node has read the stored state, and compares it with the tasks that the machines hold
	Active                   // the tasks of all machines that may hold any are known
)

var phaseNames = [...]string{"following", "suspecting", "campaigning", "confirming", "adopting", "active"}

// String returns the phase's name, which is shown to operators.
func (p Phase) String() string { return phaseNames[p] }

// CanDecide reports whether the node may send starts, stops, launches and terminations, and may end jobs.
func (p Phase) CanDecide() bool { return p >= Adopting }

// Evidence is the proof that the previous leader no longer makes decisions.
type Evidence struct {
	// FencingToken is the fencing token of the new term. The transaction that took the leader key increased it.
	FencingToken uint64 `json:"token"`
	// Revision is the revision of the transaction that took the leader key. The transaction succeeds in two cases only.
	// Either there is no leader key, which means that the previous leader's session has ended; or the key is that of a
	// leader that has handed over to this node.
	Revision uint64 `json:"revision"`
	// ReadThrough is the revision of the read barrier that was started after that transaction.
	ReadThrough uint64 `json:"read_through"`
	// HandedOver is set if the previous leader has handed over, and this node's view of that leader's term proves which
	// tasks may be on machines.
	HandedOver bool `json:"handed_over"`
}

// provesPreviousTermEnded reports whether the evidence is sufficient for the node to make decisions.
func (e Evidence) provesPreviousTermEnded() bool {
	return e.FencingToken != 0 && e.Revision != 0 && e.ReadThrough >= e.Revision
}

// PhaseTime records when a phase was entered.
type PhaseTime struct {
	Phase          string        `json:"phase"`
	EnteredAt      micros.Micros `json:"at"`     // wall-clock time
	PreviousPhaseS float64       `json:"took_s"` // duration of the phase before this one, in seconds
}

// FailoverRecord describes a failover to operators.
type FailoverRecord struct {
	Evidence Evidence    `json:"evidence"`
	Warm     bool        `json:"warm"` // a complete view of the previous term was available
	Phases   []PhaseTime `json:"phases"`
}

// Failover tracks the phases of a node's failovers. The caller reports events by calling its methods.
// TermWon enters the phase Confirming from any phase; the other methods enter a phase only from one that may precede it.
// A Failover is safe for concurrent use.
type Failover struct {
	mu         sync.Mutex
	phase      Phase
	phaseSince micros.Micros
	current    FailoverRecord  // the failover in progress; cleared when the phase Following is entered
	last       *FailoverRecord // the last failover that reached Confirming; replaced at each phase, never modified
}

// NewFailover returns the Failover of a node in the phase Following.
func NewFailover() *Failover { return &Failover{phaseSince: micros.Now()} }

// Phase returns the current phase.
func (f *Failover) Phase() Phase {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.phase
}

// LastRecord returns the record of the last failover in which this node took the leader key, or nil if there was none.
// The caller must not modify it.
func (f *Failover) LastRecord() *FailoverRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

// LeaderSuspected records that the leader has not answered for a while.
func (f *Failover) LeaderSuspected() { f.enterFrom(Following, Suspecting) }

// LeaderTrusted records that the leader answers again, or that another node leads.
func (f *Failover) LeaderTrusted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase == Suspecting || f.phase == Campaigning {
		f.enter(Following)
	}
}

// CampaignStarted records that the node campaigns for the leadership.
func (f *Failover) CampaignStarted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase < Campaigning {
		f.enter(Campaigning)
	}
}

// TermWon records that the node took the leader key with the given fencing token, in the transaction that was committed
// at the given revision. warm tells whether a complete view of the previous term is available.
func (f *Failover) TermWon(token, revision uint64, warm bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current.Evidence = Evidence{FencingToken: token, Revision: revision}
	f.current.Warm = warm
	f.enter(Confirming)
}

// StateRead records that the node has read everything that earlier terms stored up to the revision readThrough, and
// whether the previous leader handed over with proof. If the node is in the phase Confirming and the evidence is
// sufficient for decisions, StateRead enters the phase Adopting and returns true. Otherwise it only records the
// evidence.
func (f *Failover) StateRead(readThrough uint64, handedOver bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current.Evidence.ReadThrough, f.current.Evidence.HandedOver = readThrough, handedOver
	if f.phase != Confirming || !f.current.Evidence.provesPreviousTermEnded() {
		return false
	}
	f.enter(Adopting)
	return true
}

// TasksKnown records that the tasks of all machines are known.
func (f *Failover) TasksKnown() { f.enterFrom(Adopting, Active) }

// TermEnded records that the node no longer leads or campaigns.
func (f *Failover) TermEnded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase >= Campaigning {
		f.enter(Following)
	}
}

// enterFrom moves from one phase to another. It does nothing if the current phase is not the first of the two.
func (f *Failover) enterFrom(from, to Phase) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase == from {
		f.enter(to)
	}
}

// enter enters a phase, and adds it to the record of the current failover. The phase Following clears the record
// instead. The caller must hold mu.
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
	// A caller of LastRecord may still be reading the previous record. The capacity limit makes append copy the phases,
	// so that the two records do not share them.
	record.Phases = append(record.Phases[:len(record.Phases):len(record.Phases)], PhaseTime{to.String(), micros.WallTime(), took.Seconds()})
	f.current = record
	if to >= Confirming {
		f.last = &record
	}
}

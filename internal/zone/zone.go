// Package zone decides on zones as a whole: whether one is disrupted, when it has recovered, and how
// much of its capacity may be used on the way back.
//
// It owns the states of a zone, the evidence that moves it between them, and the order in which
// work moves to other zones. It is pure: no I/O, and time is an argument. The leader gathers the
// evidence and carries decisions out. Nothing here proves that a task has ended: a decision orders,
// paces and launches, and must never be what allows a start elsewhere.
//
// The states are those of Kubernetes' node lifecycle controller, with the way back from a full
// disruption in two more. Operators see them by older words, which String gives.
package zone

import (
	"math"

	"caperlatch/internal/micros"
)

// State is what is known of a zone. Its numbers are stored.
type State int

// The states of a zone, with the words that operators see.
const (
	Normal            State = iota // "healthy": all of it is used
	PartialDisruption              // "suspected": many machines are late; capacity elsewhere is launched ahead
	FullDisruption                 // "lost": its work moves to other zones
	HeldDown                       // "held down": heartbeats arrive again, and must for a while before it is used
	Reopening                      // "returning": its capacity opens in steps
)

var stateNames = [...]string{"healthy", "suspected", "lost", "held down", "returning"}

// String is the word that operators see.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// isEvacuating reports whether work moves out of a zone in the state, or may not move back yet.
func (s State) isEvacuating() bool { return s >= FullDisruption }

// Reason is why a zone is in its state. Reasons are stored and shown to operators.
type Reason string

// The reasons of transitions.
const (
	ReasonHeartbeatsLate    Reason = "many machines are late with their reports"
	ReasonHeartbeatsArrive  Reason = "its machines are heard"
	ReasonMostSilent        Reason = "most machines are silent, receive no answers, or have vanished from the cloud's list"
	ReasonObserverAtFault   Reason = "no zone is left that does not look lost, or this node is cut off: the observer is taken to be at fault"
	ReasonHeartbeatsResumed Reason = "machines have reported anew"
	ReasonNoMachines        Reason = "no machine is left there that could be heard"
	ReasonHoldDownOver      Reason = "it was heard for as long as it had to be"
	ReasonStepSucceeded     Reason = "starts succeed there, and no machine falls silent anew"
	ReasonRelapse           Reason = "machines fell silent anew"
	ReasonStartsFailed      Reason = "starts there do not arrive"
	ReasonFullyOpen         Reason = "all of its capacity is open and held"
)

// Evidence is what is known of one zone's machines. Each machine counts once, in the gravest of the
// groups; Running counts all that have come up and are not being terminated.
type Evidence struct {
	Running       int `json:"up"`
	Late          int `json:"late"`     // heartbeat overdue, not yet silent
	Silent        int `json:"silent"`   // no heartbeat for more than two intervals
	LostResponses int `json:"deaf"`     // heartbeats arrive, and responses do not reach the machine
	Unlisted      int `json:"vanished"` // late, and no longer in the cloud's list
	Quarantined   int `json:"failing"`  // taken to be at fault; no sign of a disruption
	// Recovered counts the machines heard twice since the disruption: the second heartbeat was made
	// after it, by a worker that had this term's token.
	Recovered int `json:"back"`
	// The following only grow during a term.
	Relapses   int `json:"relapses"` // machines that had recovered and fell silent
	StartsSent int `json:"sent"`     // starts sent to the zone
	StartsSeen int `json:"started"`  // starts that heartbeats from the zone showed
}

// cutOff counts the machines that heartbeats do not come from, or responses do not reach.
func (e Evidence) cutOff() int { return e.Silent + e.LostResponses }

// unreachable counts the machines that are evidence of a full disruption.
func (e Evidence) unreachable() int { return e.cutOff() + e.Unlisted }

// notReady counts those that are evidence of a partial disruption.
func (e Evidence) notReady() int { return e.unreachable() + e.Late }

// Observation is all that is known at one time.
type Observation struct {
	Zones            map[string]Evidence
	ObserverIsolated bool // the observer reaches neither the state service nor most of its peers
}

// Decision is what holds for one zone.
type Decision struct {
	MaxMachines          int     // how many machines there may be that are launched, boot or run; see Unlimited
	Reachable            bool    // commands can be expected to arrive
	RetainSilentMachines bool    // silent machines are kept for as long as their leases last, and once more as long
	OpenShare            float64 // share of its machines that may start tasks which could run elsewhere
	ReplacementShare     float64 // share of its unusable machines that do not count as supply
}

// Unlimited is no limit on machines.
const Unlimited = math.MaxInt

// Transition is a change of a zone's state, step or reason.
type Transition struct {
	Zone     string
	From, To State
	Step     int // of Reopening, from 1
	Reason   Reason
	Evidence Evidence
}

// Policy decides on zones. It is not safe for concurrent use.
type Policy interface {
	// Observe takes over what is known now, and returns what has changed.
	Observe(now micros.Micros, o Observation) []Transition
	// Decide is what holds for a zone since the last observation.
	Decide(zone string) Decision
	// EvacuationRank is a job's place in the order in which work moves, 0 if none moves now.
	EvacuationRank(class string, urgent bool) int
	// Status describes all known zones; nil if the policy has nothing to show.
	Status(now micros.Micros) []Status
	// Record is what a next leader needs, nil if nothing is to be stored. wall is the time of day.
	Record(now, wall micros.Micros) *Record
	// Restore continues from a record of an earlier term.
	Restore(r *Record, now, wall micros.Micros)
}

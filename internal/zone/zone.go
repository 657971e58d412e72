// Package zone decides on zones as a whole: whether one is lost, when it has returned, and
// how much of its capacity may be used on the way back.
//
// It owns the states of a zone, the evidence that moves it between them, and the order in
// which work moves to other zones. It does no I/O and takes the time as an argument; the
// leader gathers the evidence and carries decisions out. Nothing here proves that a task has
// ended: a decision orders, paces and rents, and never allows a start elsewhere.
package zone

import (
	"math"

	"caperlatch/internal/micros"
)

// State is what is thought of a zone.
type State int

// The states of a zone.
const (
	Normal            State = iota // all of it is used
	PartialDisruption              // many machines are late: capacity elsewhere is rented ahead
	FullDisruption                 // its work moves to other zones
	HeldDown                       // it is heard again, and must stay so for a while before it is used
	Reopening                      // its capacity opens in steps
)

var stateNames = [...]string{"healthy", "suspected", "lost", "held down", "returning"}

// String names the state.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Reason says why a zone is in its state.
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

// Evidence is what is known of one zone's machines. Each machine counts once, in the gravest
// of the groups; Up counts all that have come up and are not being returned.
type Evidence struct {
	Running       int `json:"up"`
	Late          int `json:"late"`     // with their reports, not yet silent
	Silent        int `json:"silent"`   // for more than two reports
	LostResponses int `json:"deaf"`     // reports come, and answers do not arrive
	Unlisted      int `json:"vanished"` // silent, and no longer in the cloud's list
	Quarantined   int `json:"failing"`  // found faulty; no sign of a lost zone
	// Recovered counts the machines heard twice since the zone was lost: the second report was
	// made after that, by a worker that had this term's token.
	Recovered int `json:"back"`
	// Relapses, Sent and Started only grow during a term: machines that were back and fell
	// silent, starts sent to the zone, and starts that were seen there.
	Relapses   int `json:"relapses"`
	StartsSent int `json:"sent"`
	StartsSeen int `json:"started"`
}

// gone counts the machines that speak for a loss.
func (e Evidence) gone() int { return e.Silent + e.LostResponses + e.Unlisted }

// troubled counts those that speak for a suspicion.
func (e Evidence) troubled() int { return e.gone() + e.Late }

// Observation is all that is known at one moment.
type Observation struct {
	Zones            map[string]Evidence
	ObserverIsolated bool // the observer hears neither the state service nor most of its peers
}

// Decision is what holds for one zone.
type Decision struct {
	MaxMachines      int     // how many machines there may be that are booked, boot or are up; see Unlimited
	Reachable        bool    // orders can be expected to arrive
	KeepSilent       bool    // silent machines are kept for as long as their leases last, and again
	OpenShare        float64 // share of its machines that may start work which could run elsewhere
	ReplacementShare float64 // share of its unusable machines that do not count as supply
}

// Unlimited is no limit on rentals.
const Unlimited = math.MaxInt

// Transition is a change of a zone's state or step.
type Transition struct {
	Zone     string
	From, To State
	Step     int // of a return, from 1
	Reason   Reason
	Evidence Evidence
}

// Policy decides on zones. It is not safe for concurrent use.
type Policy interface {
	// Observe takes over what is known now, and tells what has changed.
	Observe(now micros.Micros, o Observation) []Transition
	// Decide tells what holds for a zone since the last observation.
	Decide(zone string) Decision
	// EvacuationRank is the place of a job in the order in which work moves, 0 if there is none now.
	EvacuationRank(class string, urgent bool) int
	// Status describes all zones that are known; nil if the policy has nothing to tell.
	Status(now micros.Micros) []Status
	// Record is what a next leader needs, nil if nothing is to be stored.
	Record(now, wall micros.Micros) *Record
	// Restore goes on from a record of an earlier term.
	Restore(r *Record, now, wall micros.Micros)
}

// Status describes a zone for operators. The leader adds what it knows of its tasks.
type Status struct {
	Zone      string     `json:"zone"`
	State     string     `json:"state"`
	Reason    Reason     `json:"reason"`
	SinceS    float64    `json:"since_s"`
	Step      int        `json:"step,omitempty"` // of a return, from 1
	Steps     int        `json:"steps,omitempty"`
	OpenShare float64    `json:"open"`
	HoldDownS float64    `json:"hold_s,omitempty"` // what is left of a hold-down
	Flaps     int        `json:"flaps"`
	Evidence  Evidence   `json:"evidence"`
	Work      WorkStatus `json:"work"`
}

// WorkStatus is what became of a zone's work in this term, in tasks by class.
type WorkStatus struct {
	Displaced map[string]int `json:"displaced,omitempty"` // lost with the zone
	Moved     map[string]int `json:"moved,omitempty"`     // of these, begun in another zone
	Restarted map[string]int `json:"restarted,omitempty"` // of these, begun in the zone itself
	// LeasedMachines whose leases are not over yet hold tasks that may not start elsewhere.
	LeasedMachines   int     `json:"machines,omitempty"`
	LeasedTasks      int     `json:"tasks,omitempty"`
	NextLeaseEndS    float64 `json:"next_end_s,omitempty"`
	LastLeaseEndS    float64 `json:"last_end_s,omitempty"`
	ClosedMachines   int     `json:"closed,omitempty"`   // machines that get no work which could run elsewhere
	ReplacedMachines int     `json:"replaced,omitempty"` // machines that do not count as supply
}

// AddLease counts a machine whose tasks have to wait for the end of its lease.
func (w *WorkStatus) AddLease(tasks int, endS float64) {
	if w.LeasedMachines == 0 || endS < w.NextLeaseEndS {
		w.NextLeaseEndS = endS
	}
	w.LastLeaseEndS = max(w.LastLeaseEndS, endS)
	w.LeasedMachines++
	w.LeasedTasks += tasks
}

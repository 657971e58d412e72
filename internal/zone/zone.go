// Package zone decides about whole zones: whether a zone is disrupted, when it has recovered, and how much of its
// capacity may be used while it reopens.
//
// The package owns the states of a zone, the evidence that causes transitions between them, and the order in which jobs
// move to other zones. It is pure: it does no I/O, and time is an argument. The leader gathers the evidence and carries
// out the decisions. No decision proves that a task has ended: decisions order and pace work and permit launches of
// machines, but must never be what allows a task to start elsewhere.
//
// The states are those of Kubernetes' node lifecycle controller, and two more for the recovery from a full disruption.
// Operators see older names of the states, which String returns.
package zone

import (
	"math"

	"caperlatch/internal/micros"
)

// State is the state of a zone. Its numeric values are stored.
type State int

// The states of a zone, with the names that operators see. A zone is held down after enough machines of a disrupted zone
// have recovered, after none is left there, or after the first step of reopening has failed. While no zone is
// usable, even held-down and fully disrupted zones are open, see LifecyclePolicy.Decide.
const (
	Normal            State = iota // "healthy": all of the zone's capacity is used
	PartialDisruption              // "suspected": many machines are late; capacity in other zones is launched ahead
	FullDisruption                 // "lost": the zone's jobs move to other zones
	HeldDown                       // "held down": the zone is not used until its hold-down ends
	Reopening                      // "returning": the zone's capacity opens in steps
)

var stateNames = [...]string{"healthy", "suspected", "lost", "held down", "returning"}

// String returns the name that operators see.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// isEvacuating reports whether jobs move out of a zone in the state, or may not fully move back yet.
func (s State) isEvacuating() bool { return s >= FullDisruption }

// Reason is the reason why a zone is in its state. Reasons are stored and shown to operators.
type Reason string

// The reasons for transitions.
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

// Evidence holds what is known about one zone's machines. Running counts all machines that have come up and are not
// being terminated. Each of them is counted in at most one of Late, Silent, LostResponses, Unlisted and Quarantined,
// the most serious that applies.
type Evidence struct {
	Running       int `json:"up"`
	Late          int `json:"late"`     // heartbeat overdue, not yet silent
	Silent        int `json:"silent"`   // no heartbeat for more than two intervals
	LostResponses int `json:"deaf"`     // heartbeats arrive, but responses do not reach the machine
	Unlisted      int `json:"vanished"` // late, and no longer in the cloud's list
	Quarantined   int `json:"failing"`  // considered faulty themselves; no sign of a zone disruption
	// Recovered counts the machines from which two heartbeats have arrived since the disruption. The second one is
	// certain to have been created after the disruption, by a worker that had this term's token.
	Recovered int `json:"back"`
	// The following counters only grow during a term.
	Relapses   int `json:"relapses"` // machines that had recovered and fell silent again
	StartsSent int `json:"sent"`     // starts sent to the zone
	StartsSeen int `json:"started"`  // starts that heartbeats from the zone have shown
}

// cutOff returns the number of machines whose heartbeats do not arrive, or which responses do not reach.
func (e Evidence) cutOff() int { return e.Silent + e.LostResponses }

// unreachable returns the number of machines that are evidence of a full disruption.
func (e Evidence) unreachable() int { return e.cutOff() + e.Unlisted }

// notReady returns the number of machines that are evidence of a partial disruption.
func (e Evidence) notReady() int { return e.unreachable() + e.Late }

// Observation holds the evidence of all zones at one time.
type Observation struct {
	Zones            map[string]Evidence
	ObserverIsolated bool // the observer reaches neither the state service nor at least half of its peers
}

// Decision is the decision of a policy about one zone.
type Decision struct {
	MaxMachines          int     // maximum number of machines being launched, booting or running; see Unlimited
	Reachable            bool    // commands can be expected to arrive at the machines
	RetainSilentMachines bool    // silent machines are retained until one lease duration after their leases have expired
	OpenShare            float64 // share of the zone's machines that may start tasks which could run elsewhere
	ReplacementShare     float64 // share of the zone's unusable machines that do not count as supply
}

// Unlimited is the value of MaxMachines for no limit.
const Unlimited = math.MaxInt

// Transition is a change of a zone's state, step or reason.
type Transition struct {
	Zone     string
	From, To State
	Step     int // step of Reopening, from 1
	Reason   Reason
	Evidence Evidence
}

// Policy decides about zones. It is not safe for concurrent use.
type Policy interface {
	// Observe processes an observation, and returns the transitions that it causes.
	Observe(now micros.Micros, o Observation) []Transition
	// Decide returns the decision for a zone according to the last observation.
	Decide(zone string) Decision
	// EvacuationRank returns a job's rank in the order in which jobs move out of zones, or 0 if no zone is evacuated.
	EvacuationRank(class string, urgent bool) int
	// Status returns the status of all known zones, or nil if the policy has nothing to show.
	Status(now micros.Micros) []Status
	// Record returns the record for the next leader, or nil if nothing is to be stored. wall is the wall-clock time.
	Record(now, wall micros.Micros) *Record
	// Restore restores the policy's state from a record of an earlier term.
	Restore(r *Record, now, wall micros.Micros)
}

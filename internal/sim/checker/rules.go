// Package checker checks whether a run of a cluster complies with the rules of the protocol (Rules), and records a
// history of what the tasks of the run did (History).
//
// Both types know only what users and workers observe: requests and their responses, launches of machines, and starts
// and exits of tasks on machines. The code that drives a run reports these observations through the Observe methods.
// The package must never query a node, a store or a fake, because it would then check the scheduler against the
// scheduler's own view.
//
// Locks: Rules and History have one lock each, which guards all their unexported fields. Rules calls OnTaskEvent, and
// History calls ClassOf and IsZoneAffected, with its lock held. A callback must therefore not call the type that calls
// it, and no caller of Rules or History may hold a lock that a callback takes.
package checker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"caperlatch/internal/wire"
)

// The names of the rules as they appear in violations. They are the protocol's names, except for ruleUnknownTask and
// ruleAcceptedInvalid, which cover requirements that the protocol does not name.
const (
	ruleConcurrentRuns  = "ran_twice"      // a task is on two machines at the same time
	ruleUnknownTask     = "ran_unknown"    // a task starts whose job was never submitted
	ruleTeamCPULimit    = "quota"          // a team uses more CPUs than its limit
	rulePlacement       = "wrong_place"    // a task starts on a machine or in a zone that its job does not allow
	ruleRanAfterCancel  = "ran_cancelled"  // a task is on a machine, or starts, too long after its job was cancelled
	ruleAcceptedJobLost = "forgotten"      // a response denies that an accepted job exists or is valid
	ruleUnsubmittedJob  = "invented"       // a response accepts or describes a job that was never submitted
	rulePrematureDone   = "not_done"       // a job is reported done before all its tasks have completed
	ruleStatusReverted  = "went_back"      // a final status changes, or a job is cancelled without a request
	ruleAcceptedInvalid = "accepted_wrong" // a job is accepted that must be rejected
)

// Rules checks observations against the rules of the protocol, and records each violation with the name of the rule.
// It is safe for concurrent use. The exported fields must be set before the first observation.
type Rules struct {
	CancellationTimeout time.Duration       // time within which the tasks of a cancelled job must exit
	TeamCPULimits       map[string]float64  // maximum number of CPUs in use, by team; 0: unlimited
	InstanceTypes       []wire.InstanceType // the instance types of the cloud
	OnTaskEvent         func(TaskEvent)     // called for each event, in order, with the lock held; may be nil

	mu                sync.Mutex
	jobs              map[string]*jobRecord
	machineByTask     map[string]string             // the machine on which a task is, by task
	usedCPUs          map[string]float64            // by team
	launches          map[string]wire.LaunchRequest // the launch request of each machine, by machine
	cancelled         []*jobRecord                  // jobs that a response to a user reported as cancelled
	startsAfterCancel int                           // number of task starts of jobs in cancelled
	violations        []string
}

// jobRecord is the state of a job as its user observed it.
type jobRecord struct {
	spec            wire.Job
	rejection       string    // why the job must be rejected; empty: it may be accepted
	acceptedAt      time.Time // when a user first received a response that accepts the job; zero: not yet
	cancelRequested bool
	finalStatus     string    // the first final status (done or cancelled) in a response; empty: none yet
	finalAt         time.Time // when the response with finalStatus was received
	doneTasks       map[string]bool
	machineTasks    map[string]bool // the tasks that are on machines
}

// TaskEventKind is the kind of a TaskEvent.
type TaskEventKind int

// The kinds of events: a task starts on a machine, completes there, or exits without completing.
const (
	TaskStarted TaskEventKind = iota
	TaskCompleted
	TaskExitedIncomplete
)

// TaskEvent is the start or the exit of a task on a machine.
type TaskEvent struct {
	Task, Machine, Zone string
	Kind                TaskEventKind
}

// NewRules returns a Rules without observations.
func NewRules(cancellationTimeout time.Duration, teamCPULimits map[string]float64, instanceTypes []wire.InstanceType) *Rules {
	return &Rules{
		CancellationTimeout: cancellationTimeout,
		TeamCPULimits:       teamCPULimits,
		InstanceTypes:       instanceTypes,
		jobs:                map[string]*jobRecord{},
		machineByTask:       map[string]string{},
		usedCPUs:            map[string]float64{},
		launches:            map[string]wire.LaunchRequest{},
	}
}

// recordViolation records a violation of a rule. The caller holds the lock.
func (r *Rules) recordViolation(rule, format string, args ...any) {
	r.violations = append(r.violations, rule+": "+fmt.Sprintf(format, args...))
}

// Violations returns the violations so far, each in the form "rule: details"; nil if there are none.
func (r *Rules) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkCancelled()
	return slices.Clone(r.violations)
}

// StartsAfterCancel returns the number of task starts after a response to a user reported the job as cancelled. This
// includes starts that the protocol allows because the command had already been sent.
func (r *Rules) StartsAfterCancel() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startsAfterCancel
}

// ZoneOf returns the zone in which a machine is or was; empty if the machine was never launched.
func (r *Rules) ZoneOf(machine string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.launches[machine].Zone
}

// Job returns a job as it was submitted; the zero value if it was not submitted.
func (r *Rules) Job(id string) wire.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	if job := r.jobs[id]; job != nil {
		return job.spec
	}
	return wire.Job{}
}

// Package checker judges whether a run kept the rules of the protocol, and keeps a history of what
// its tasks did.
//
// It owns the bookkeeping of the rules (Rules) and the history (History). It knows only what users
// and workers saw: requests and their responses, machines, and tasks that came to machines and left
// them. Whoever drives a run passes these on through the Observe methods. It must never ask a node,
// a store or a fake anything: it would then judge the scheduler by the scheduler's own view.
//
// Locks: Rules and History have one each, which guards all their unexported fields. Rules calls
// OnTaskEvent, and History calls ClassOf and Affected, with the lock held. A callback must therefore
// not call the one that calls it, and nobody may call either while holding a lock that a callback
// takes.
package checker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"caperlatch/internal/wire"
)

// The rules. All but ruleRanUnknown and ruleAcceptedInvalid have the protocol's names; these two are
// what the protocol forbids without a name: a task of a job that nobody submitted, and the acceptance
// of a job that must be rejected.
const (
	ruleRanTwice        = "ran_twice"
	ruleRanUnknown      = "ran_unknown"
	ruleQuota           = "quota"
	ruleWrongPlace      = "wrong_place"
	ruleRanCancelled    = "ran_cancelled"
	ruleForgotten       = "forgotten"
	ruleInvented        = "invented"
	ruleNotDone         = "not_done"
	ruleWentBack        = "went_back"
	ruleAcceptedInvalid = "accepted_wrong"
)

// Rules checks the rules of the protocol and records each violation under the rule's name. It is
// safe for concurrent use; the exported fields are set before the first observation.
type Rules struct {
	CancellationTimeout time.Duration       // within which tasks of a cancelled job must have left
	TeamCPULimits       map[string]float64  // CPUs that a team may use, by team; 0: no limit
	InstanceTypes       []wire.InstanceType // what the cloud has
	OnTaskEvent         func(TaskEvent)     // called for each event, in order, under the lock; may be nil

	mu                sync.Mutex
	jobs              map[string]*jobRecord
	taskMachines      map[string]string             // the machine that a task is on
	usedCPUs          map[string]float64            // by team
	launches          map[string]wire.LaunchRequest // what each machine was launched as
	cancelled         []*jobRecord                  // jobs that a user was told are cancelled
	startsAfterCancel int                           // starts of these
	violations        []string
}

// jobRecord is a job as its user knows it.
type jobRecord struct {
	spec            wire.Job
	rejection       string    // why the job must not be accepted; empty: it may be
	acceptedAt      time.Time // when a user first got a response that accepts it; zero: not yet
	cancelRequested bool
	finalStatus     string // the first status in a response that must not change any more
	finalAt         time.Time
	doneTasks       map[string]bool
	machineTasks    map[string]bool // its tasks that are on machines
}

// TaskEventKind says what a task did.
type TaskEventKind int

// The kinds of events: a task starts on a machine, completes there, or leaves it in any other way.
const (
	TaskStarted TaskEventKind = iota
	TaskCompleted
	TaskExitedIncomplete
)

// TaskEvent is a task that started on a machine, or left it.
type TaskEvent struct {
	Task, Machine, Zone string
	Kind                TaskEventKind
}

// NewRules returns a checker that has observed nothing yet.
func NewRules(cancellationTimeout time.Duration, teamCPULimits map[string]float64, instanceTypes []wire.InstanceType) *Rules {
	return &Rules{
		CancellationTimeout: cancellationTimeout,
		TeamCPULimits:       teamCPULimits,
		InstanceTypes:       instanceTypes,
		jobs:                map[string]*jobRecord{},
		taskMachines:        map[string]string{},
		usedCPUs:            map[string]float64{},
		launches:            map[string]wire.LaunchRequest{},
	}
}

// violate records a violation; the caller holds the lock.
func (r *Rules) violate(rule, format string, args ...any) {
	r.violations = append(r.violations, rule+": "+fmt.Sprintf(format, args...))
}

// Violations lists the violations so far, each as "rule: details"; nil if there is none.
func (r *Rules) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkCancelled()
	return slices.Clone(r.violations)
}

// StartsAfterCancel counts the starts after a user was told that the job is cancelled, also those
// that the protocol admits because the command was on its way.
func (r *Rules) StartsAfterCancel() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startsAfterCancel
}

// ZoneOf returns the zone that a machine is or was in, empty if there never was such a machine.
func (r *Rules) ZoneOf(machine string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.launches[machine].Zone
}

// Job returns a job as it was submitted, the zero value if it was not.
func (r *Rules) Job(id string) wire.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	if job := r.jobs[id]; job != nil {
		return job.spec
	}
	return wire.Job{}
}

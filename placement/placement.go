// Package placement decides which waiting tasks start on which machines, and which running tasks
// are preempted for them.
//
// It owns the order of the queue, the deferral of jobs that cannot be in time, bin packing,
// preemption, and the placement of gangs. It is pure and deterministic: it does no I/O, reads no
// clock, and equal input gives equal output. Its caller sends what it decides. It must never be
// what allows a task to run twice: the caller passes as waiting only tasks that may be started.
//
// Functions update the machines, jobs and teams that they are given, so that each decision sees
// the ones before it. Machines and jobs are referred to by their indexes in the input.
package placement

import "caperlatch/internal/micros"

// Machine is a machine that may start tasks.
type Machine struct {
	ID, InstanceType, Zone string
	Spot                   bool

	Free        Resources    // used by no task
	Releasing   Resources    // used by tasks that are being stopped
	Victims     []Victim     // running tasks that may be preempted
	Completions []Completion // when tasks on it should end by themselves

	StartFactors
	Restrictions
}

// StartFactors are what makes a start on a machine late or costly.
type StartFactors struct {
	CommandDelay    micros.Micros // until a command reaches it
	Images          ImageSet      // cached, or being pulled
	ImagePullGBPerS float64       // rate at which it pulls images; 0: at once
	Idle            bool          // no task is on it
	StartPenalty    micros.Micros // how much longer a task may wait elsewhere before this one is used
}

// Restrictions are which jobs may start tasks on a machine, besides the jobs' own constraints.
type Restrictions struct {
	RejectsDelayTolerant bool // it is costly, and only delay-tolerant jobs would use it
	ReservedFor          *Job // a reservation holds its room for this job; nil: for none
	GangsOnly            bool // it belongs to the gang pool
	ZoneBoundOnly        bool // its zone is disrupted: only jobs that can run nowhere else
}

// Victim is a running task that may be preempted.
type Victim struct {
	JobID           string
	Task            int
	Team            string
	Priority        int
	Need            Resources
	WithinGuarantee bool          // within its team's guarantee
	BestEffort      bool          // lowest priority, and not within a guarantee
	LostWork        micros.Micros // work that is lost if it is stopped
	Gang            bool          // all tasks of its job stop with it, and LostWork is that of all
}

// Completion is a task that should end by itself.
type Completion struct {
	Remaining micros.Micros // until then
	Need      Resources     // what it frees
}

// Job is a job with waiting tasks.
type Job struct {
	ID, Team string

	QueueKey
	Request
	Constraints
	Urgency
	GangScheduling

	TasksPerZone map[string]int // its tasks on machines, by zone
	OnlyZone     string         // the only zone where it can run now; empty if there are others
}

// QueueKey is a job's place in the queue. See CompareJobs.
type QueueKey struct {
	Aged            bool // has waited for its first start for so long that it goes before all others
	EvacuationRank  int  // in the order in which work leaves a lost zone; 0 for all without one
	WithinGuarantee bool // within its team's guarantee
	Priority        int  // a higher one goes first
	Late            bool // can meet no objective any more, or is deferred

	StartDeadline       micros.Micros   // when its last task should have started
	LaterStartDeadlines []micros.Micros // the same by objectives that can be met later, rising
}

// Request is what a job's waiting tasks need.
type Request struct {
	Need              Resources // of each task
	WaitingTasks      int       // to be started
	TotalTasks        int       // of the whole job
	WaitingCPUSeconds float64   // estimated work of the waiting tasks
	ImageIndex        int       // see ImageSet
	ImageSizeGB       float64
}

// Constraints are where the owner of a job lets it run.
type Constraints struct {
	InstanceTypes []string // empty: all
	Zone          string   // empty: all
	AllowSpot     bool
	SingleZone    bool // all tasks in one zone
	SpreadZones   bool // at most half of the tasks, rounded up, in one zone
}

// Urgency is what a job's waiting justifies.
type Urgency struct {
	AtRisk             bool // would be late if it waited until other tasks end
	PreemptsBestEffort bool // need not wait until best-effort tasks end
	DelayTolerant      bool // not worth costly machines
}

// GangScheduling is what holds for a gang alone.
type GangScheduling struct {
	Gang          bool                     // all waiting tasks start, or none does
	MaxStartDelay micros.Micros            // waits for better machines than ones that start it later; 0: any will do
	EarliestStart micros.Micros            // expected delay until a suitable machine sends a heartbeat and starts it; 0: unknown
	FailedOn      map[string]micros.Micros // IDs of machines on which its tasks failed, and when
}

// Team is the quota of a team.
type Team struct {
	Used  Resources
	Limit Resources // 0: none
}

// CountAllowed is how many tasks with a need, at most limit, the team may still start. A nil team
// has no limit.
func (t *Team) CountAllowed(need Resources, limit int) int {
	if t == nil {
		return limit
	}
	remaining := Resources{CPU: unlimited, GPU: unlimited, Memory: unlimited}
	if t.Limit.CPU > 0 {
		remaining.CPU = t.Limit.CPU - t.Used.CPU
	}
	if t.Limit.GPU > 0 {
		remaining.GPU = t.Limit.GPU - t.Used.GPU
	}
	return remaining.CountFitting(need, limit)
}

// canStartWhole reports whether the team may still start all waiting tasks of a gang.
func (t *Team) canStartWhole(j *Job) bool {
	return t.CountAllowed(j.Need, j.WaitingTasks) >= j.WaitingTasks
}

// Start is a decision to start Count tasks of a job on a machine.
type Start struct{ Job, Machine, Count int }

// Preemption is a decision to stop a running task.
type Preemption struct {
	Machine  int
	Victim   Victim
	ForJobID string // the job that needs its room
}

// Reservation is a decision to hold a machine's room for a gang.
type Reservation struct {
	Machine  int
	ForJobID string
}

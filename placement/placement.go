// Package placement decides which waiting tasks start on which machines, and which running tasks are preempted for
// them.
//
// It owns the queue order, the deferral of jobs that cannot be on time, bin packing, preemption, and the placement
// of gangs. It is pure and deterministic: it does no I/O, reads no clock, and returns equal output for equal
// input. The caller carries out the decisions. The package does not check whether a task may already be running: so
// that no task runs twice, the caller must count as waiting only tasks that may be started.
//
// Functions update the machines, jobs and teams that are passed to them, so that each decision takes the earlier
// ones into account. Results refer to machines and jobs by their indexes in the input.
package placement

import "caperlatch/internal/micros"

// Machine is a machine that may start tasks.
type Machine struct {
	ID, InstanceType, Zone string
	Spot                   bool

	Free        Resources    // not used by any task
	Releasing   Resources    // used by tasks that are being stopped
	Victims     []Victim     // running tasks that may be preempted
	Completions []Completion // expected ends of running tasks

	StartFactors
	Restrictions
}

// StartFactors determine how late or costly a start on a machine is.
type StartFactors struct {
	CommandDelay    micros.Micros // time until a command reaches the machine
	Images          ImageSet      // images that are cached or being pulled
	ImagePullGBPerS float64       // rate at which the machine pulls images; 0 means instantly
	Idle            bool          // no task is assigned to the machine
	StartPenalty    micros.Micros // extra delay that is accepted on other machines before this one is used
}

// Restrictions limit which jobs may start tasks on a machine, in addition to the jobs' own constraints.
type Restrictions struct {
	RejectsDelayTolerant bool // the machine is costly, and only delay-tolerant jobs would use it
	ReservedFor          *Job // the job for which the machine is reserved; nil if it is not
	GangsOnly            bool // the machine belongs to the gang pool
	ZoneBoundOnly        bool // the zone is disrupted, so only jobs that can run in no other zone may start
}

// Victim is a running task that may be preempted.
type Victim struct {
	JobID           string
	Task            int
	Team            string
	Priority        int
	Need            Resources
	WithinGuarantee bool          // covered by its team's guarantee
	BestEffort      bool          // lowest priority, and not covered by a guarantee
	LostWork        micros.Micros // run time that is lost if the task is stopped; for a gang, that of all its tasks
	Gang            bool          // preempting the task stops all tasks of its job
}

// Completion is the expected end of a running task.
type Completion struct {
	Remaining micros.Micros // time until the end
	Need      Resources     // resources that the task frees
}

// Job is a job with waiting tasks.
type Job struct {
	ID, Team string

	QueueKey
	Request
	Constraints
	Urgency
	GangScheduling

	TasksPerZone map[string]int // number of the job's tasks on machines, by zone
	OnlyZone     string         // the only zone where the job can currently run; empty if there are several
}

// QueueKey determines a job's position in the queue; see CompareJobs.
type QueueKey struct {
	Aged            bool // has waited so long for a start that it precedes all other jobs
	EvacuationRank  int  // order in which work is moved out of a lost zone, lowest first; 0 for all jobs while none is lost
	WithinGuarantee bool // covered by its team's guarantee
	Priority        int  // higher values come first
	Late            bool // can no longer meet any objective, or was deferred past its last start deadline

	StartDeadline       micros.Micros   // time by which the last task should have started
	LaterStartDeadlines []micros.Micros // start deadlines of objectives that can be met later, ascending
}

// Request is what a job's waiting tasks require.
type Request struct {
	Need              Resources // of each task
	WaitingTasks      int       // tasks to be started
	TotalTasks        int       // tasks of the whole job
	WaitingCPUSeconds float64   // estimated work of the waiting tasks
	ImageIndex        int       // the image as an element of ImageSet
	ImageSizeGB       float64
}

// Constraints limit where a job may run, as set by its owner.
type Constraints struct {
	InstanceTypes []string // empty means all
	Zone          string   // empty means all
	AllowSpot     bool
	SingleZone    bool // all tasks must be in one zone
	SpreadZones   bool // at most half of the tasks, rounded up, may be in one zone
}

// Urgency determines which measures a waiting job justifies.
type Urgency struct {
	AtRisk             bool // would be late if it waited for other tasks to end
	PreemptsBestEffort bool // may preempt best-effort tasks even when not at risk
	DelayTolerant      bool // does not justify costly machines
}

// GangScheduling holds the scheduling parameters of gangs.
type GangScheduling struct {
	Gang          bool                     // either all waiting tasks start or none does
	MaxStartDelay micros.Micros            // the gang is not placed if it would start later than this; 0 means no limit
	EarliestStart micros.Micros            // expected delay until the gang starts, by EarliestGangStart; 0 if unknown
	FailedOn      map[string]micros.Micros // times at which tasks failed, by machine ID
}

// Team is a team's resource usage and quota.
type Team struct {
	Used  Resources
	Limit Resources // 0 means unlimited; memory is never limited
}

// CountAllowed returns how many tasks that each need the given resources the team may still start, at most limit.
// A nil team has no quota.
func (t *Team) CountAllowed(need Resources, limit int) int {
	if t == nil {
		return limit
	}
	remaining := Resources{CPU: unlimited, GPU: unlimited, Memory: unlimited, Tasks: unlimited}
	if t.Limit.CPU > 0 {
		remaining.CPU = t.Limit.CPU - t.Used.CPU
	}
	if t.Limit.GPU > 0 {
		remaining.GPU = t.Limit.GPU - t.Used.GPU
	}
	return remaining.CountFitting(need, limit)
}

// canStartGang reports whether the team's quota allows all waiting tasks of a gang.
func (t *Team) canStartGang(j *Job) bool {
	return t.CountAllowed(j.Need, j.WaitingTasks) >= j.WaitingTasks
}

// Start is a decision to start Count tasks of a job on a machine.
type Start struct{ Job, Machine, Count int }

// Preemption is a decision to stop a running task.
type Preemption struct {
	Machine  int
	Victim   Victim
	ForJobID string // the job for which the task is stopped
}

// Reservation is a decision to reserve a machine's capacity for a gang.
type Reservation struct {
	Machine  int
	ForJobID string
}

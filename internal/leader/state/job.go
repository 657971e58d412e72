package state

import (
	"cmp"
	"fmt"
	"slices"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// ProbeTasks is the maximum number of tasks of a job that run at the same time while IsProbing is true.
const ProbeTasks = 2

// Job is the leader's record of an accepted job that has not ended, or of a cancelled job that still has tasks on
// machines.
type Job struct {
	Spec        *wire.Job
	SubmittedAt micros.Micros // wall-clock time
	SeenAt      micros.Micros // when this term created the record
	Need        placement.Resources
	Priority    int
	Image       int // index of the job's image in Machine.ImageSet
	// Offerings lists the offerings that the job's tasks may run on, cheapest first. OfferingsVersion is the version of
	// the instance types that the list was made from.
	Offerings        []Offering
	OfferingsVersion int
	// MayHaveEarlierTasks is set if an earlier term may have started tasks of the job.
	MayHaveEarlierTasks bool
	Ended               bool // the job is done or cancelled

	// Completed tasks. StoredDone is the subset that is already in the state service.
	Done       Bitset
	StoredDone Bitset
	DoneCount  int

	// Tasks on machines. An attempt is both in Attempts and in its machine's Attempts, or in neither.
	Attempts        map[int]*Attempt // by task index
	AttemptsPerZone map[string]int
	RunningCount    int // number of attempts that a heartbeat has shown running
	ProtectedTasks  int // number of attempts with Attempt.Protected set
	// Displaced maps the index of each task that was lost with a zone to the machine that the task was on.
	Displaced map[int]*Machine

	// Tasks that may wait for a start: those in requeued, and all with an index of nextUnstarted or higher. Some of
	// them may be done or on a machine; TakeWaitingTask skips those.
	requeued      []int
	nextUnstarted int
	RanBefore     map[int]bool // indexes of tasks that have run before; with checkpoints, their next run is shorter

	Gang GangAttempt // the current attempt, if the job is a gang
	// LastEndedAttempt is the highest number of a gang attempt that has ended according to the exit reason of one of
	// its tasks. A new leader may learn of the exits before it learns which tasks of the attempt are still on
	// machines.
	LastEndedAttempt uint64

	Failures      FailureRecord
	BackoffUntil  micros.Micros // no task is started before this time
	BackoffReason string
	Demand        DemandRecord

	// FirstStart and LastStart are the wall-clock times when a task of the job was first and last seen to start running
	// in this term.
	FirstStart, LastStart micros.Micros
	LongestRun            micros.Micros // longest run time of a task
}

// FailureRecord holds the failures of a job's tasks and the resulting backoff and quarantine. ByMachine is empty once
// a task of the job has succeeded.
type FailureRecord struct {
	ByMachine        map[string]micros.Micros // time of the latest failure on each machine, by machine ID
	Count            int                      // failed runs in this term
	LastMachine      string
	LongestRun       micros.Micros // longest run time of a failed task
	SoleMachineTries int           // failed tries while the job has failed on one machine only
	BackoffRounds    int           // determines the next backoff, which doubles with each round
	Quarantined      bool          // the job, not its machines, is considered faulty
}

// DemandRecord is the demand that the autoscaler counts for a job.
type DemandRecord struct {
	InstanceType string
	Machines     float64 // number of machines of that type; 0 if an earlier term counted the job
}

// NewJob returns the record of a stored job. mayHaveEarlierTasks is set if an earlier term may have started tasks of
// the job.
func NewJob(r replica.Job, mayHaveEarlierTasks bool) *Job {
	s := r.Spec
	return &Job{
		Spec:                s,
		SubmittedAt:         r.SubmittedAt,
		SeenAt:              micros.Now(),
		MayHaveEarlierTasks: mayHaveEarlierTasks,
		Need:                placement.Resources{CPU: CeilMilli(s.CPUs), GPU: CeilMilli(s.GPUs), Memory: CeilMilli(s.MemoryGB), Tasks: 1},
		Priority:            wire.PriorityRank(s.Priority),
		Done:                newBitset(s.Tasks),
		StoredDone:          newBitset(s.Tasks),
		Attempts:            map[int]*Attempt{},
		AttemptsPerZone:     map[string]int{},
		Failures:            FailureRecord{ByMachine: map[string]micros.Micros{}},
		RanBefore:           map[int]bool{},
	}
}

// WaitingTasks returns the number of tasks that are neither done nor on a machine. All tasks of a gang are marked done
// when the first one is, while the others are still on machines. These are then counted twice, which makes the
// difference negative, and 0 is returned.
func (j *Job) WaitingTasks() int { return max(0, j.Spec.Tasks-j.DoneCount-len(j.Attempts)) }

// TakeWaitingTask removes a task from the job's waiting tasks and returns its index. ok is false if no task waits.
func (j *Job) TakeWaitingTask() (index int, ok bool) {
	for n := len(j.requeued); n > 0; n = len(j.requeued) {
		t := j.requeued[n-1]
		j.requeued = j.requeued[:n-1]
		if !j.Done.Has(t) && j.Attempts[t] == nil {
			return t, true
		}
	}
	for ; j.nextUnstarted < j.Spec.Tasks; j.nextUnstarted++ {
		if t := j.nextUnstarted; !j.Done.Has(t) && j.Attempts[t] == nil {
			j.nextUnstarted++
			return t, true
		}
	}
	return 0, false
}

// requeue returns a task to the waiting tasks. A task with an index of nextUnstarted or higher is among them already.
func (j *Job) requeue(index int) {
	if index < j.nextUnstarted {
		j.requeued = append(j.requeued, index)
	}
}

// HasSucceeded reports whether any task of the job has succeeded.
func (j *Job) HasSucceeded() bool { return j.DoneCount > 0 }

// IsProbing reports whether at most ProbeTasks tasks of the job may be on machines at a time, because its tasks have
// failed and none has succeeded.
func (j *Job) IsProbing() bool {
	return !j.HasSucceeded() && (j.Failures.Quarantined || j.Failures.BackoffRounds > 0)
}

// StartableTasks returns how many of the waiting tasks may be started now.
func (j *Job) StartableTasks(now micros.Micros) int {
	switch {
	case now < j.BackoffUntil:
		return 0
	case j.IsGang():
		return j.startableGangTasks()
	case j.IsProbing():
		return min(j.WaitingTasks(), max(0, ProbeTasks-len(j.Attempts)))
	}
	return j.WaitingTasks()
}

// OutlivesFailures reports whether, according to the latest heartbeat of its machine, a task of the job has run for
// more than 3 s plus twice the longest run time of the tasks that failed.
func (j *Job) OutlivesFailures() bool {
	for _, a := range j.Attempts {
		if a.RunningSince != 0 && a.Machine.Heartbeat.ReceivedAt-a.RunningSince > 3*micros.Second+2*j.Failures.LongestRun {
			return true
		}
	}
	return false
}

// IsGang reports whether the job is a gang: its tasks run all at the same time or not at all.
func (j *Job) IsGang() bool { return j.Spec.Kind == wire.KindGang }

// startableGangTasks returns how many tasks of a gang may be started: all tasks of a new attempt, or the missing tasks
// of an attempt whose tasks have not all been running yet. It returns 0 while an attempt is being ended.
func (j *Job) startableGangTasks() int {
	if j.Gang.Started || j.Gang.Ending {
		return 0
	}
	return j.WaitingTasks()
}

// DescribeFailures describes the failures of the job's tasks for operators. It returns an empty string if none failed.
func (j *Job) DescribeFailures(now micros.Micros) string {
	if j.Failures.Count == 0 && !j.Failures.Quarantined {
		return ""
	}
	s := fmt.Sprintf("%d of its tasks' runs failed, on %d machines, lately on %s", j.Failures.Count, len(j.Failures.ByMachine), j.Failures.LastMachine)
	if j.Failures.LastMachine == "" {
		s = "its tasks failed under an earlier leader"
	}
	if j.Failures.Quarantined {
		s += "; none succeeded, so it was most likely submitted with a mistake: only a few tasks are tried"
	}
	if now < j.BackoffUntil {
		s += fmt.Sprintf(", the next in %.0f s", (j.BackoffUntil - now).Seconds())
	}
	return s
}

// Gangs returns the gangs among jobs, sorted by ID.
func Gangs(jobs map[string]*Job) (gangs []*Job) {
	for _, j := range jobs {
		if j.IsGang() {
			gangs = append(gangs, j)
		}
	}
	slices.SortFunc(gangs, func(a, b *Job) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) })
	return gangs
}

// Constraints returns where the job's tasks may run, regardless of where its other tasks are.
func (j *Job) Constraints() placement.Constraints {
	return placement.Constraints{
		InstanceTypes: j.Spec.InstanceTypes,
		Zone:          j.Spec.Zone,
		AllowSpot:     j.Spec.AllowSpot,
		SingleZone:    j.Spec.SingleZone,
		SpreadZones:   j.Spec.SpreadZones,
	}
}

// MayRunOn reports whether the job's constraints admit an offering, regardless of where its other tasks are.
func (j *Job) MayRunOn(o Offering) bool {
	constraints := j.Constraints()
	return constraints.Admit(o.Type, o.Zone, o.Spot)
}

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

// ProbeTasks is how many tasks of a quarantined job are tried at a time.
const ProbeTasks = 2

// Job is the leader's record of an accepted job that has not ended, or of a cancelled one
// that still has tasks on machines.
type Job struct {
	Spec        *wire.Job
	SubmittedAt micros.Micros // time of day
	SeenAt      micros.Micros // when this term saw it
	Need        placement.Resources
	Priority    int
	Image       int // index of its image, as machines' ImageSet has it
	// Offerings are those that its tasks may run on, the cheapest first, as of a version of the instance types.
	Offerings        []Offering
	OfferingsVersion int
	// MayHaveEarlierTasks is set if an earlier term may have started tasks of it.
	MayHaveEarlierTasks bool
	Ended               bool // done or cancelled

	// Completed tasks. StoredDone is the subset that is stored.
	Done       Bitset
	StoredDone Bitset
	DoneCount  int

	// Tasks on machines. An attempt is here and in its machine's attempts, or in neither.
	Attempts        map[int]*Attempt // by task index
	AttemptsPerZone map[string]int
	RunningCount    int // attempts that were seen running
	ProtectedTasks  int // see Attempt.Protected
	// Displaced are tasks that were lost with a zone, and where they were.
	Displaced map[int]*Machine

	// Tasks that wait: those requeued, and all from nextUnstarted on.
	requeued      []int
	nextUnstarted int
	RanBefore     map[int]bool // tasks that ran before, whose next run is shorter

	Gang GangAttempt // its present attempt, if the job is a gang
	// LastEndedAttempt is the highest number of a gang's attempt that its tasks' exits show to
	// have ended. A new leader may learn of these before it learns of what is left of the attempt.
	LastEndedAttempt uint64

	Failures      FailureRecord
	BackoffUntil  micros.Micros // no starts before
	BackoffReason string
	Demand        DemandRecord

	// When a task was first and last seen running in this term, as time of day.
	FirstStart, LastStart micros.Micros
	LongestRun            micros.Micros // of a task
}

// FailureRecord is how a job's tasks failed, and what follows from that. ByMachine is empty once a task
// of the job has succeeded.
type FailureRecord struct {
	ByMachine        map[string]micros.Micros // when a task last failed on a machine
	Count            int                      // in this term
	LastMachine      string
	LongestRun       micros.Micros // of a task that failed
	SoleMachineTries int           // on the only machine that was tried
	BackoffRounds    int
	Quarantined      bool // the job is taken to be at fault, and not its machines
}

// DemandRecord is what a job added to the autoscaler's demand.
type DemandRecord struct {
	InstanceType string
	Machines     float64 // of that type; 0 if an earlier term counted it
}

// NewJob makes the record of a stored job. mayHaveEarlierTasks is set if an earlier term may have
// started tasks of it.
func NewJob(r replica.Job, mayHaveEarlierTasks bool) *Job {
	s := r.Spec
	return &Job{
		Spec:                s,
		SubmittedAt:         r.SubmittedAt,
		SeenAt:              micros.Now(),
		MayHaveEarlierTasks: mayHaveEarlierTasks,
		Need:                placement.Resources{CPU: CeilMilli(s.CPUs), GPU: CeilMilli(s.GPUs), Memory: CeilMilli(s.MemoryGB)},
		Priority:            wire.PriorityRank(s.Priority),
		Done:                newBitset(s.Tasks),
		StoredDone:          newBitset(s.Tasks),
		Attempts:            map[int]*Attempt{},
		AttemptsPerZone:     map[string]int{},
		Failures:            FailureRecord{ByMachine: map[string]micros.Micros{}},
		RanBefore:           map[int]bool{},
	}
}

// WaitingTasks counts the tasks that are neither done nor on a machine. A gang's are all done
// when one is, while the others are still there.
func (j *Job) WaitingTasks() int { return max(0, j.Spec.Tasks-j.DoneCount-len(j.Attempts)) }

// TakeWaitingTask takes the index of a waiting task, if there is one.
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

// requeue has a task wait again.
func (j *Job) requeue(index int) {
	if index < j.nextUnstarted {
		j.requeued = append(j.requeued, index)
	}
}

// HasSucceeded reports whether any task of the job has been done.
func (j *Job) HasSucceeded() bool { return j.DoneCount > 0 }

// IsProbing reports whether only a few tasks of the job are tried at a time, as its tasks have failed.
func (j *Job) IsProbing() bool {
	return !j.HasSucceeded() && (j.Failures.Quarantined || j.Failures.BackoffRounds > 0)
}

// StartableTasks is how many of the waiting tasks may be started.
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

// OutlivesFailures reports whether a heartbeat shows a task of the job to run well beyond what failed.
func (j *Job) OutlivesFailures() bool {
	for _, a := range j.Attempts {
		if a.RunningSince != 0 && a.Machine.Heartbeat.ReceivedAt-a.RunningSince > 3*micros.Second+2*j.Failures.LongestRun {
			return true
		}
	}
	return false
}

// IsGang reports whether the job's tasks run at the same time or not at all.
func (j *Job) IsGang() bool { return j.Spec.Kind == wire.KindGang }

// startableGangTasks is how many tasks may be started: all of a new attempt, or those that are
// missing in one that has not started.
func (j *Job) startableGangTasks() int {
	if j.Gang.Started || j.Gang.Ending {
		return 0
	}
	return j.WaitingTasks()
}

// DescribeFailures describes for operators how the job's tasks fail, empty if none has.
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

// Gangs lists the gangs among jobs, by ID.
func Gangs(jobs map[string]*Job) (gangs []*Job) {
	for _, j := range jobs {
		if j.IsGang() {
			gangs = append(gangs, j)
		}
	}
	slices.SortFunc(gangs, func(a, b *Job) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) })
	return gangs
}

// Constraints are where the job's tasks may run, whatever its other tasks do.
func (j *Job) Constraints() placement.Constraints {
	return placement.Constraints{
		InstanceTypes: j.Spec.InstanceTypes,
		Zone:          j.Spec.Zone,
		AllowSpot:     j.Spec.AllowSpot,
		SingleZone:    j.Spec.SingleZone,
		SpreadZones:   j.Spec.SpreadZones,
	}
}

// MayRunOn reports whether the job's constraints admit an offering, whatever its other tasks do.
func (j *Job) MayRunOn(o Offering) bool {
	constraints := j.Constraints()
	return constraints.Admit(o.Type, o.Zone, o.Spot)
}

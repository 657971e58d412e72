package leader

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// job is the leader's record of an accepted job that has not ended, or of a cancelled one
// that still has tasks on machines.
type job struct {
	spec        *wire.Job
	submittedAt micros.Micros // time of day
	seenAt      micros.Micros // when this term saw it
	need        placement.Resources
	priority    int
	image       int // index of its image; see Leader.imageIndex
	// offerings that its tasks may run on, of the instance types with that version; see offeringsFor.
	offerings        []offering
	offeringsVersion int
	// mayHaveEarlierTasks says that an earlier term may have started tasks of it.
	mayHaveEarlierTasks bool
	ended               bool // done or cancelled

	// Completed tasks. storedDone is what of done is stored, and a subset of it.
	done       bitset
	storedDone bitset
	doneCount  int

	// Tasks on machines. An attempt is here and in its machine's attempts, or in neither.
	attempts        map[int]*attempt // by task index
	attemptsPerZone map[string]int
	runningCount    int // attempts that were seen running
	protectedTasks  int // see attempt.protected
	// displaced are tasks that were lost with a zone, and where they were; see recordMoved.
	displaced map[int]*machine

	// Tasks that wait: those requeued, and all from nextUnstarted on.
	requeued      []int
	nextUnstarted int
	ranBefore     map[int]bool // tasks that ran before, whose next run is shorter

	gang gangAttempt // its present attempt, if the job is a gang
	// lastEndedAttempt is the highest number of a gang's attempt that its tasks' exits show to
	// have ended. A new leader may hear of these before it hears of what is left of the attempt.
	lastEndedAttempt uint64

	failures      failureRecord
	backoffUntil  micros.Micros // no starts before
	backoffReason string
	demand        demandRecord

	// When a task was first and last seen running in this term, as time of day.
	firstStart, lastStart micros.Micros
	longestRun            micros.Micros // of a task
}

// failureRecord is how a job's tasks failed; see faults.go. byMachine is empty once a task
// of the job has succeeded.
type failureRecord struct {
	byMachine        map[string]micros.Micros // when a task last failed on a machine
	count            int                      // in this term
	lastMachine      string
	longestRun       micros.Micros // of a task that failed
	soleMachineTries int           // on the only machine that was tried
	backoffRounds    int
	quarantined      bool // the job is taken to be at fault, and not its machines
}

// demandRecord is what a job added to the autoscaler's demand.
type demandRecord struct {
	instanceType *scaledType
	machines     float64 // 0 if an earlier term counted it
}

// attempt is a task that may be on a machine, or has its place there.
type attempt struct {
	job             *job
	index           int
	number          uint64
	machine         *machine
	reportedState   string // as last reported; empty: start sent, not yet reported
	startSequence   uint64 // seq of the report whose answer carried the start
	startedAt       micros.Micros
	runningSince    micros.Micros // since when it is seen running
	stopRequestedAt micros.Micros // when first told to stop, 0 if not
	gracePeriod     micros.Micros
	stopReason      string
	protected       bool // of the part of a job that is left alone until it has begun
	// A gang's task that has its place, and whose start its machine's next answer carries.
	reserved bool
}

func newJob(r replica.Job, old bool) *job {
	s := r.Spec
	return &job{
		spec:                s,
		submittedAt:         r.SubmittedAt,
		seenAt:              micros.Now(),
		mayHaveEarlierTasks: old,
		need:                placement.Resources{CPU: ceil(s.CPUs), GPU: ceil(s.GPUs), Memory: ceil(s.MemoryGB)},
		priority:            wire.PriorityRank(s.Priority),
		done:                newBitset(s.Tasks),
		storedDone:          newBitset(s.Tasks),
		attempts:            map[int]*attempt{},
		attemptsPerZone:     map[string]int{},
		failures:            failureRecord{byMachine: map[string]micros.Micros{}},
		ranBefore:           map[int]bool{},
	}
}

// waiting counts the tasks that are neither done nor on a machine. A gang's are all done
// when one is, while the others are still there.
func (j *job) waiting() int { return max(0, j.spec.Tasks-j.doneCount-len(j.attempts)) }

// takeWaitingTask picks a waiting task.
func (j *job) takeWaitingTask() (int, bool) {
	for n := len(j.requeued); n > 0; n = len(j.requeued) {
		t := j.requeued[n-1]
		j.requeued = j.requeued[:n-1]
		if !j.done.has(t) && j.attempts[t] == nil {
			return t, true
		}
	}
	for ; j.nextUnstarted < j.spec.Tasks; j.nextUnstarted++ {
		if t := j.nextUnstarted; !j.done.has(t) && j.attempts[t] == nil {
			j.nextUnstarted++
			return t, true
		}
	}
	return 0, false
}

// requeue makes a task wait again.
func (j *job) requeue(t int) {
	if t < j.nextUnstarted {
		j.requeued = append(j.requeued, t)
	}
}

func taskID(id string, t int) string { return id + "/" + strconv.Itoa(t) }

func parseTaskID(name string) (id string, t int, err error) {
	id, n, ok := strings.Cut(name, "/")
	if !ok {
		return "", 0, fmt.Errorf("task %q has no number", name)
	}
	t, err = strconv.Atoi(n)
	if err != nil || t < 0 {
		return "", 0, fmt.Errorf("task %q has no number", name)
	}
	return id, t, nil
}

type bitset []byte

func newBitset(n int) bitset        { return make(bitset, (n+7)/8) }
func (b bitset) has(i int) bool     { return b[i/8]&(1<<(i%8)) != 0 }
func (b bitset) set(i int)          { b[i/8] |= 1 << (i % 8) }
func (b bitset) chunk(c int) []byte { return b[c*chunkTasks/8 : min(len(b), (c+1)*chunkTasks/8)] }

// chunkTasks is how many tasks' progress is kept under one key: 8192 bits are
// 1368 characters, within the least value_kb that the settings admit.
const chunkTasks = 8192

// taskProgress is the stored content of a progress key: which tasks are done.
type taskProgress struct {
	Done string `json:"done"`
}

func (j *job) chunks() int { return (j.spec.Tasks + chunkTasks - 1) / chunkTasks }

func (j *job) progress(chunk int) taskProgress {
	return taskProgress{base64.RawStdEncoding.EncodeToString(j.done.chunk(chunk))}
}

func (j *job) restore(chunk int, p taskProgress) error {
	b, err := base64.RawStdEncoding.DecodeString(p.Done)
	if err != nil || chunk >= j.chunks() || len(b) != len(j.done.chunk(chunk)) {
		return fmt.Errorf("progress of %s does not fit the job", j.spec.ID)
	}
	copy(j.done.chunk(chunk), b)
	copy(j.storedDone.chunk(chunk), b)
	j.doneCount = 0
	for t := range j.spec.Tasks {
		if j.done.has(t) {
			j.doneCount++
		}
	}
	return nil
}

func progressKey(id string, chunk int) string {
	return replica.ProgressPrefix + id + "/" + strconv.Itoa(chunk)
}

func parseProgressKey(key string) (id string, chunk int, err error) {
	return parseTaskID(strings.TrimPrefix(key, replica.ProgressPrefix))
}

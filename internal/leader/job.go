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

// job is an accepted job that is not over.
type job struct {
	spec           *wire.Job
	submitted      micros.Micros // time of day
	seen           micros.Micros // when this term saw it
	need           placement.Resources
	image          int     // see Leader.image
	offers         []offer // see offersFor
	offersOf       int     // the catalog that they are of
	priority       int
	old            bool // an earlier term may have started tasks of it
	over           bool
	done           bitset
	stored         bitset // what of done is in the state service
	ndone          int
	on             map[int]*attempt // tasks that may be on a machine
	zones          map[string]int   // of these
	displaced      map[int]*machine // tasks that were lost with a zone, and where; see noteMoved
	protectedTasks int              // of these, see attempt.protected
	running        int              // of these, seen running
	returned       []int            // tasks to start again
	cursor         int              // tasks from here on have not been started
	resumed        map[int]bool     // tasks that ran before, whose next run is shorter
	gang           gang             // its present attempt, if it is one
	// The highest number of a gang's attempt that its tasks' exits show to be over. A new
	// leader may hear of these before it hears of what is left of the attempt.
	attemptOver uint64
	notBefore   micros.Micros
	waitsFor    string
	// How its tasks failed, see faults.go.
	errors     map[string]micros.Micros // machines where one did, when last, while none has been done
	failures   int                      // in this term
	lastFailed string                   // machine
	failTook   micros.Micros            // longest run that failed
	tries      int                      // on the only machine
	rounds     int                      // times put off
	atFault    bool                     // rather than its machines
	demandOf   *machineType             // that it was counted for, and how much
	demandWork float64
	// When a task was first and last seen running in this term, as time of day.
	firstStart, lastStart micros.Micros
	longest               micros.Micros // run of a task
}

// attempt is a task that may be on a machine, or has its place there.
type attempt struct {
	job       *job
	task      int
	n         uint64
	machine   *machine
	state     string // as last reported; empty: start sent, not yet reported
	sentAt    uint64 // seq of the report whose answer carried the start
	began     micros.Micros
	running   micros.Micros // since when it is seen running
	stopped   micros.Micros // when first told to stop, 0 if not
	grace     micros.Micros
	why       string
	protected bool // of the part of a job that is left alone until it has begun
	// A gang's task that has its place, and whose start its machine's next answer carries.
	reserved bool
}

func newJob(r replica.Job, old bool) *job {
	s := r.Spec
	return &job{
		spec:      s,
		submitted: r.SubmittedAt,
		seen:      micros.Now(),
		old:       old,
		need:      placement.Resources{CPU: ceil(s.CPUs), GPU: ceil(s.GPUs), Mem: ceil(s.MemoryGB)},
		priority:  wire.PriorityRank(s.Priority),
		done:      newBitset(s.Tasks),
		stored:    newBitset(s.Tasks),
		on:        map[int]*attempt{},
		zones:     map[string]int{},
		errors:    map[string]micros.Micros{},
		resumed:   map[int]bool{},
	}
}

// waiting counts the tasks that are neither done nor on a machine. A gang's are all done
// when one is, while the others are still there.
func (j *job) waiting() int { return max(0, j.spec.Tasks-j.ndone-len(j.on)) }

// take picks a waiting task.
func (j *job) take() (int, bool) {
	for n := len(j.returned); n > 0; n = len(j.returned) {
		t := j.returned[n-1]
		j.returned = j.returned[:n-1]
		if !j.done.has(t) && j.on[t] == nil {
			return t, true
		}
	}
	for ; j.cursor < j.spec.Tasks; j.cursor++ {
		if t := j.cursor; !j.done.has(t) && j.on[t] == nil {
			j.cursor++
			return t, true
		}
	}
	return 0, false
}

// giveBack makes a task wait again.
func (j *job) giveBack(t int) {
	if t < j.cursor {
		j.returned = append(j.returned, t)
	}
}

func taskName(id string, t int) string { return id + "/" + strconv.Itoa(t) }

func parseTask(name string) (id string, t int, err error) {
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

func newBitset(n int) bitset       { return make(bitset, (n+7)/8) }
func (b bitset) has(i int) bool    { return b[i/8]&(1<<(i%8)) != 0 }
func (b bitset) set(i int)         { b[i/8] |= 1 << (i % 8) }
func (b bitset) part(c int) []byte { return b[c*chunkTasks/8 : min(len(b), (c+1)*chunkTasks/8)] }

// chunkTasks is how many tasks' progress is kept under one key: 8192 bits are
// 1368 characters, within the least value_kb that the settings admit.
const chunkTasks = 8192

// progress is the stored content of a progress key: which tasks are done.
type progress struct {
	Done string `json:"done"`
}

func (j *job) chunks() int { return (j.spec.Tasks + chunkTasks - 1) / chunkTasks }

func (j *job) progress(chunk int) progress {
	return progress{base64.RawStdEncoding.EncodeToString(j.done.part(chunk))}
}

func (j *job) restore(chunk int, p progress) error {
	b, err := base64.RawStdEncoding.DecodeString(p.Done)
	if err != nil || chunk >= j.chunks() || len(b) != len(j.done.part(chunk)) {
		return fmt.Errorf("progress of %s does not fit the job", j.spec.ID)
	}
	copy(j.done.part(chunk), b)
	copy(j.stored.part(chunk), b)
	j.ndone = 0
	for t := range j.spec.Tasks {
		if j.done.has(t) {
			j.ndone++
		}
	}
	return nil
}

func progressKey(id string, chunk int) string {
	return replica.ProgressPrefix + id + "/" + strconv.Itoa(chunk)
}

func parseProgressKey(key string) (id string, chunk int, err error) {
	return parseTask(strings.TrimPrefix(key, replica.ProgressPrefix))
}

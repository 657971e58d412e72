package lab

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"caperlatch/deploy"
	"caperlatch/internal/settings"
	"caperlatch/internal/sim/harness"
	"caperlatch/internal/wire"
)

// class is a class of jobs in the sample workload. Its jobs are submitted continuously.
type class struct {
	name      string
	kind      wire.JobKind
	priority  wire.Priority
	interval  time.Duration // mean interval between submissions
	tasks     int
	runtimeS  float64
	deadlineS float64 // seconds from the submission
}

// classes are the classes of the sample workload. Together, they use about 40 CPUs.
var classes = []class{
	{"interactive", wire.KindArray, wire.PriorityUrgent, time.Second, 4, 1, 5},
	{"batch", wire.KindArray, "normal", 2 * time.Second, 12, 3, 15},
	{"training", wire.KindGang, "normal", 6 * time.Second, 3, 4, 20},
	{"nightly", wire.KindArray, "idle", 4 * time.Second, 10, 4, 60},
}

// idsPerClass is the number of job numbers that are reserved for each class.
const idsPerClass = 1_000_000

// jobID returns the ID of the nth job of the class with the given index.
func jobID(class, n int) string { return fmt.Sprintf("j-%d", (class+1)*idsPerClass+n) }

// classOf returns the name of the class for which a task's job number is reserved, or "" if there is none.
func classOf(task string) string {
	var n int
	if _, err := fmt.Sscanf(task, "j-%d", &n); err != nil || n < idsPerClass || n >= (len(classes)+1)*idsPerClass {
		return ""
	}
	return classes[n/idsPerClass-1].name
}

// newJob returns a job of the class with the given ID.
func (c *class) newJob(id string) wire.Job {
	return wire.Job{
		ID:                id,
		Class:             c.name,
		Team:              "blue",
		Kind:              c.kind,
		Priority:          c.priority,
		Tasks:             c.tasks,
		CPUs:              1,
		MemoryGB:          1,
		Image:             c.name,
		ImageSizeGB:       1,
		AllowSpot:         true,
		EstimatedRuntimeS: c.runtimeS,
		DeadlineS:         &c.deadlineS,
	}
}

// nodeSettings returns the example settings adapted to a node in a cluster with the given number of nodes. The caller
// replaces the addresses.
func nodeSettings(node, nodes int) (*settings.Settings, error) {
	s, err := settings.Parse(deploy.ExampleSettings)
	if err != nil {
		return nil, err
	}
	s.Member = fmt.Sprintf(harness.MemberFormat, node)
	s.Zone = s.Params.Zones[node%len(s.Params.Zones)]
	s.Params.Nodes = nodes
	return s, nil
}

// runtimeOf returns the runtime of a task in seconds, which is its job's estimated runtime.
func (l *Lab) runtimeOf(task string) float64 {
	id, _, _ := strings.Cut(task, "/")
	return l.cluster.Rules.Job(id).EstimatedRuntimeS
}

// submitJobs submits jobs of the class with the given index for the duration SubmitFor, starting at a random node each
// time. The intervals between submissions vary randomly by up to half of the class's interval in either direction.
func (l *Lab) submitJobs(index int) {
	c := &classes[index]
	random := rand.New(rand.NewPCG(l.options.Seed, uint64(index)))
	for n := 1; l.history.Elapsed() < l.options.SubmitFor; n++ {
		job := c.newJob(jobID(index, n))
		if !l.cluster.SubmitWithRetries(random.IntN(l.options.Nodes), submitRetryInterval, job) {
			l.reportFailure(fmt.Errorf("%s: %w", job.ID, ErrNotAccepted))
			return
		}
		l.recordAccepted(&job)
		time.Sleep(time.Duration((0.5 + random.Float64()) * float64(c.interval)))
	}
}

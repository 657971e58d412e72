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

// class is a class of the sample's jobs, which are submitted all the time.
type class struct {
	name      string
	kind      wire.JobKind
	priority  wire.Priority
	interval  time.Duration // between two jobs, on average
	tasks     int
	runtimeS  float64
	deadlineS float64 // from the submission
}

// classes use some 40 CPUs together.
var classes = []class{
	{"interactive", wire.KindArray, wire.PriorityUrgent, time.Second, 4, 1, 5},
	{"batch", wire.KindArray, "normal", 2 * time.Second, 12, 3, 15},
	{"training", wire.KindGang, "normal", 6 * time.Second, 3, 4, 20},
	{"nightly", wire.KindArray, "idle", 4 * time.Second, 10, 4, 60},
}

// classIDs is how many job numbers each class has.
const classIDs = 1_000_000

// jobID returns the ID of a class's nth job.
func jobID(class, n int) string { return fmt.Sprintf("j-%d", (class+1)*classIDs+n) }

// classOf returns the class of a task by its job's number; empty if the sample has none like it.
func classOf(task string) string {
	var n int
	if _, err := fmt.Sscanf(task, "j-%d", &n); err != nil || n < classIDs || n >= (len(classes)+1)*classIDs {
		return ""
	}
	return classes[n/classIDs-1].name
}

// job returns a job of the class.
func (c *class) job(id string) wire.Job {
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

// nodeSettings returns the settings of a node of the sample deployment, but for addresses.
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

// runtimeOf returns how long a task of a job runs, in seconds.
func (l *Lab) runtimeOf(task string) float64 {
	id, _, _ := strings.Cut(task, "/")
	return l.cluster.Rules.Job(id).EstimatedRuntimeS
}

// submitClass submits a class's jobs until the time for submissions is over.
func (l *Lab) submitClass(index int) {
	c := &classes[index]
	random := rand.New(rand.NewPCG(l.options.Seed, uint64(index)))
	for n := 1; l.history.Elapsed() < l.options.SubmitFor; n++ {
		job := c.job(jobID(index, n))
		if !l.cluster.SubmitWithRetries(random.IntN(l.options.Nodes), submitPause, job) {
			l.fail(fmt.Errorf("%s: %w", job.ID, ErrNotAccepted))
			return
		}
		l.recordAccepted(&job)
		time.Sleep(time.Duration((0.5 + random.Float64()) * float64(c.interval)))
	}
}

package cluster

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/sim/measure/failover"
)

// Environment variables of TestFailoverTimes, which takes minutes of real time: the total number of failovers to
// measure (the test is skipped if it is not set), the number of machines, the number of clusters that run at the same
// time, and the path of the history file.
const (
	failoverVariable         = "CAPERLATCH_FAILOVER"
	failoverMachinesVariable = "CAPERLATCH_FAILOVER_MACHINES"
	failoverClustersVariable = "CAPERLATCH_FAILOVER_CLUSTERS"
	failoverOutVariable      = "CAPERLATCH_FAILOVER_OUT"
)

// Defaults of the environment variables.
const (
	failoverMachines = 200
	failoverClusters = 4
)

// failoverTimeout is how long a failover is observed; what has not happened by then is recorded as failover.Missing.
const failoverTimeout = 60 * time.Second

// TestFailoverTimes measures failovers of clusters whose nodes are processes on loopback. At random times it ends the
// leader by SIGKILL, by SIGSTOP with a later SIGCONT, or by SIGTERM, with the warm standby alternately off and on. It
// measures the time until the next node leads, until a new job starts, and until an old job continues. The rule checker
// observes all runs.
func TestFailoverTimes(t *testing.T) {
	failovers := envInt(t, failoverVariable, 0)
	if failovers == 0 {
		t.Skip(failoverVariable + " is not set")
	}
	machines := envInt(t, failoverMachinesVariable, failoverMachines)
	clusters := envInt(t, failoverClustersVariable, failoverClusters)
	program := filepath.Join(t.TempDir(), "now")
	runScript(t, `go build -ldflags=-linkmode=external -o "$1" ./cmd/caperlatch`, program)
	var mu sync.Mutex
	var history []failover.Change
	var costs []nodeCost
	t.Run("changes", func(t *testing.T) {
		for i := range clusters {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				f := &failoverMeasurement{t: t, program: program, machines: machines, random: rand.New(rand.NewPCG(uint64(i), uint64(machines)))}
				changes := f.measure(fmt.Sprint(i), (failovers+clusters-1)/clusters)
				mu.Lock()
				defer mu.Unlock()
				history = append(history, changes...)
				costs = append(costs, f.costs...)
			})
		}
	})
	if out := os.Getenv(failoverOutVariable); out != "" {
		if err := failover.Write(out, history); err != nil {
			t.Error(err)
		}
	}
	logHistory(t, history)
	reportCosts(t, costs)
}

// envInt returns the positive integer in an environment variable, or a default if the variable is not set.
func envInt(t *testing.T, name string, defaultValue int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("%s is %q, want a positive integer", name, text)
	}
	return n
}

// failoverMeasurement measures failovers with one cluster at a time.
type failoverMeasurement struct {
	t        *testing.T
	program  string
	machines int
	random   *rand.Rand
	lastJob  int // number of the last job that got an ID; 0 if none did
	costs    []nodeCost
}

// failoversPerMode is the maximum number of failovers that are measured before the standby is switched on or off.
const failoversPerMode = 15

// measure measures failovers, with the standby alternately off and on.
func (f *failoverMeasurement) measure(run string, changes int) (history []failover.Change) {
	batchSize := min(failoversPerMode, max(1, changes/2))
	for len(history) < changes {
		mode := failover.Cold
		if len(history)/batchSize%2 == 1 {
			mode = failover.Warm
		}
		batch := f.measureMode(mode, min(batchSize, changes-len(history)))
		for i := range batch {
			batch[i].Run, batch[i].Number = run, int64(len(history)+i+1)
		}
		history = append(history, batch...)
		if f.t.Failed() {
			return history
		}
	}
	return history
}

// largeFleetMachines is the number of machines from which workers get the heartbeat interval and lease duration of a
// large fleet.
const largeFleetMachines = 1000

// measureMode measures failovers in one mode with a new cluster.
func (f *failoverMeasurement) measureMode(mode failover.Mode, changes int) (history []failover.Change) {
	scale := clusterScale{heartbeatIntervalS: 2, leaseDurationS: 12, cancellationTimeoutS: 30, sockets: 2000}
	runtimeS := 4.0
	if f.machines >= largeFleetMachines {
		scale = clusterScale{heartbeatIntervalS: 8, leaseDurationS: 45, cancellationTimeoutS: 75, sockets: 8000}
		runtimeS = 16
	}
	c := newScaledProcessCluster(f.t, 3, f.t.TempDir(), scale)
	defer c.close()
	c.cloud.MaxMachines = f.machines
	c.cloud.RuntimeOf = func(string) float64 { return runtimeS }
	if mode == failover.Warm {
		c.Args = []string{"--standby", "deploy/standby.xml"}
	}
	for i := range c.size {
		c.run(i, f.program)
	}
	oldJob := f.fillMachines(c)
	for range changes {
		oldJob = f.refillMachines(c, oldJob)
		f.sampleCost(c, mode)
		// The random delay ends the leader at any phase of the heartbeats and tasks.
		time.Sleep(time.Duration(f.random.IntN(2000)) * time.Millisecond)
		change, ok := f.measureFailover(c, oldJob)
		if !ok {
			break
		}
		change.Mode, change.Machines = mode, int64(len(c.cloud.Workers()))
		history = append(history, change)
	}
	if violations := c.cloud.Violations(); violations != nil {
		f.t.Error(violations)
	}
	return history
}

// oldJobTasks is the number of tasks of a job that continues across failovers.
const oldJobTasks = 100_000

// newJobID returns the ID of the next job.
func (f *failoverMeasurement) newJobID() string {
	f.lastJob++
	return fmt.Sprintf("j-%06d", f.lastJob)
}

// wholeMachineJob returns a job whose tasks are so large that each machine has room for one.
func wholeMachineJob(id string, tasks int) map[string]any {
	job := testJob(id, tasks)
	job["vcpus"] = 3.0
	return job
}

// fillMachines submits a job with tasks for all machines, waits until 90% of the machines run one, and returns the
// job's ID.
func (f *failoverMeasurement) fillMachines(c *processCluster) string {
	id := f.newJobID()
	c.submitJob(wholeMachineJob(id, oldJobTasks))
	for startedAt := time.Now(); len(c.cloud.TasksOnMachines()) < f.machines*9/10; time.Sleep(200 * time.Millisecond) {
		if time.Since(startedAt) > 3*time.Minute {
			f.t.Fatalf("after 3 min %d tasks run on %d machines, want at least %d", len(c.cloud.TasksOnMachines()), len(c.cloud.Workers()), f.machines*9/10)
		}
	}
	return id
}

// refillMachines submits another job with tasks for all machines when 90% of the old job's tasks have started. It
// returns the ID of the job that continues.
func (f *failoverMeasurement) refillMachines(c *processCluster, oldJob string) string {
	if c.cloud.StartsOf(oldJob) < oldJobTasks*9/10 {
		return oldJob
	}
	id := f.newJobID()
	c.submitJob(wholeMachineJob(id, oldJobTasks))
	for c.cloud.StartsOf(id) == 0 {
		time.Sleep(100 * time.Millisecond)
	}
	return id
}

// measureFailover ends the leader once, measures the failover, and starts or resumes the node afterwards. It reports
// whether the test has not failed so far.
func (f *failoverMeasurement) measureFailover(c *processCluster, oldJob string) (failover.Change, bool) {
	leader, token := c.leader(), c.fencingToken()
	change := failover.Change{LeaderElected: failover.Missing, FirstNewJobStarted: failover.Missing, FirstOldJobResumed: failover.Missing}
	process := c.Process(leader)
	endedAt := time.Now()
	switch f.random.IntN(3) {
	case 0:
		change.Cause = failover.Killed
		c.kill(leader)
	case 1:
		change.Cause = failover.Frozen
		f.signal(process, syscall.SIGSTOP)
	default:
		change.Cause = failover.Planned
		c.ExpectExit(leader)
		f.signal(process, syscall.SIGTERM)
	}
	f.observe(c, oldJob, token, endedAt, &change)
	switch change.Cause {
	case failover.Frozen:
		// The old leader stays frozen until after another node leads, sometimes for longer than a lease.
		time.Sleep(time.Duration(f.random.IntN(6000)) * time.Millisecond)
		change.OldLeaderFrozen = microsSince(endedAt)
		f.signal(process, syscall.SIGCONT)
		time.Sleep(2 * time.Second)
	default:
		c.kill(leader)
		c.run(leader, f.program)
		time.Sleep(3 * time.Second)
	}
	return change, !f.t.Failed()
}

// signal sends a signal to a process.
func (f *failoverMeasurement) signal(p *os.Process, s syscall.Signal) {
	if err := p.Signal(s); err != nil {
		f.t.Errorf("signal %v: %v", s, err)
	}
}

// microsSince returns the time since an instant.
func microsSince(t time.Time) micros.Micros { return micros.Micros(time.Since(t) / time.Microsecond) }

// Intervals at which observe polls, and at which it submits new jobs.
const (
	observeInterval = 5 * time.Millisecond
	newJobInterval  = 250 * time.Millisecond
)

// observe records in change when another node leads, when a job starts that was submitted after the leader ended, and
// when the old job continues.
func (f *failoverMeasurement) observe(c *processCluster, oldJob string, token uint64, endedAt time.Time, change *failover.Change) {
	stop := make(chan struct{})
	var submitting sync.WaitGroup
	defer submitting.Wait()
	defer close(stop)
	var mu sync.Mutex
	var newJobs []string
	submitting.Go(func() {
		for n := 0; ; n++ {
			mu.Lock()
			id := f.newJobID()
			newJobs = append(newJobs, id)
			mu.Unlock()
			job := testJob(id, 1)
			job["rank"], job["vcpus"] = "urgent", 1.0
			// The request runs in its own goroutine, so that a frozen node does not delay the next submission.
			submitting.Go(func() { c.request(http.MethodPost, n%3, "/v1/jobs", job) })
			select {
			case <-stop:
				return
			case <-time.After(newJobInterval):
			}
		}
	})
	oldStarts := 0
	for time.Since(endedAt) < failoverTimeout && (change.FirstNewJobStarted < 0 || change.FirstOldJobResumed < 0) {
		time.Sleep(observeInterval)
		if change.LeaderElected < 0 {
			if c.fencingToken() == token {
				continue
			}
			change.LeaderElected, oldStarts = microsSince(endedAt), c.cloud.StartsOf(oldJob)
		}
		if change.FirstOldJobResumed < 0 && c.cloud.StartsOf(oldJob) > oldStarts {
			change.FirstOldJobResumed = microsSince(endedAt)
		}
		mu.Lock()
		for _, id := range newJobs {
			if change.FirstNewJobStarted < 0 && c.cloud.StartsOf(id) > 0 {
				change.FirstNewJobStarted = microsSince(endedAt)
			}
		}
		mu.Unlock()
	}
}

// logHistory logs summaries of the measured times by mode, cause and number of machines, and the ratio of the times
// with a warm standby to those without.
func logHistory(t *testing.T, history []failover.Change) {
	t.Helper()
	measures := []struct {
		name string
		of   func(failover.Change) micros.Micros
	}{
		{"another node leads", func(c failover.Change) micros.Micros { return c.LeaderElected }},
		{"a new job starts", func(c failover.Change) micros.Micros { return c.FirstNewJobStarted }},
		{"an old job continues", func(c failover.Change) micros.Micros { return c.FirstOldJobResumed }},
	}
	groups, order := failover.GroupChanges(history)
	for _, m := range measures {
		byMode := map[failover.Cause]map[failover.Mode][]micros.Micros{}
		for _, g := range order {
			var times []micros.Micros
			for _, c := range groups[g] {
				times = append(times, m.of(c))
			}
			s := failover.Summarize(times)
			t.Logf("%-19s %-4s %-7s %4d machines: %3d (missing %d), median %.2f, 95%% %.2f, 99%% %.2f, most %.2f s; mean %.2f (%.2f to %.2f)",
				m.name, g.Mode, g.Cause, g.Machines, s.Count, s.Missing, s.Median.Seconds(), s.P95.Seconds(), s.P99.Seconds(), s.Max.Seconds(), s.Mean.Value, s.Mean.Low, s.Mean.High)
			if byMode[g.Cause] == nil {
				byMode[g.Cause] = map[failover.Mode][]micros.Micros{}
			}
			byMode[g.Cause][g.Mode] = append(byMode[g.Cause][g.Mode], times...)
		}
		for _, cause := range []failover.Cause{failover.Killed, failover.Frozen, failover.Planned} {
			ratio := failover.Ratio(byMode[cause][failover.Warm], byMode[cause][failover.Cold])
			t.Logf("%-19s %-7s warm/cold %.2f (%.2f to %.2f)", m.name, cause, ratio.Value, ratio.Low, ratio.High)
		}
	}
}

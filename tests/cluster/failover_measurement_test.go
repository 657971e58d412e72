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

// Variables of TestFailoverTimes, which takes minutes of real time: how many failovers it measures
// in all (without it, it is skipped), over how many machines, by how many clusters at a time, and
// where the history is written.
const (
	failoverVariable         = "CAPERLATCH_FAILOVER"
	failoverMachinesVariable = "CAPERLATCH_FAILOVER_MACHINES"
	failoverClustersVariable = "CAPERLATCH_FAILOVER_CLUSTERS"
	failoverOutVariable      = "CAPERLATCH_FAILOVER_OUT"
)

// Defaults of the variables.
const (
	failoverMachines = 200
	failoverClusters = 4
)

// failoverTimeout is how long a failover may take before it counts as not happened.
const failoverTimeout = 60 * time.Second

// TestFailoverTimes ends the leader of real processes on loopback, by SIGKILL, by SIGSTOP with
// SIGCONT later, and by SIGTERM, at random times, with the standby on and off in turn, and measures
// until the next node leads, until a new job starts, and until an old one continues. All of it runs
// under the checker of the rules.
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
				f := &failoverRun{t: t, program: program, machines: machines, random: rand.New(rand.NewPCG(uint64(i), uint64(machines)))}
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

// envInt returns a number from the environment, or a default.
func envInt(t *testing.T, name string, defaultValue int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("%s is no number: %q", name, text)
	}
	return n
}

// failoverRun measures with one cluster at a time.
type failoverRun struct {
	t        *testing.T
	program  string
	machines int
	random   *rand.Rand
	next     int // number of the next job
	costs    []nodeCost
}

// changesPerMode is how many failovers are measured at most before the standby is switched on or
// off.
const changesPerMode = 15

// measure measures failovers, with the standby off and on in turn.
func (f *failoverRun) measure(run string, changes int) (history []failover.Change) {
	inTurn := min(changesPerMode, max(1, changes/2))
	for len(history) < changes {
		mode := failover.Cold
		if len(history)/inTurn%2 == 1 {
			mode = failover.Warm
		}
		part := f.measureMode(mode, min(inTurn, changes-len(history)))
		for i := range part {
			part[i].Run, part[i].Number = run, int64(len(history)+i+1)
		}
		history = append(history, part...)
		if f.t.Failed() {
			return history
		}
	}
	return history
}

// largeFleetMachines is from how many machines on workers have the heartbeats and leases of a large
// fleet.
const largeFleetMachines = 1000

// measureMode measures failovers with a new cluster.
func (f *failoverRun) measureMode(mode failover.Mode, changes int) (history []failover.Change) {
	scale := clusterScale{heartbeatIntervalS: 2, leaseDurationS: 12, cancellationTimeoutS: 30, sockets: 2000}
	runS := 4.0
	if f.machines >= largeFleetMachines {
		scale = clusterScale{heartbeatIntervalS: 8, leaseDurationS: 45, cancellationTimeoutS: 75, sockets: 8000}
		runS = 16
	}
	c := newScaledProcessCluster(f.t, 3, f.t.TempDir(), scale)
	defer c.close()
	c.cloud.MaxMachines = f.machines
	c.cloud.RuntimeOf = func(string) float64 { return runS }
	if mode == failover.Warm {
		c.Args = []string{"--standby", "deploy/standby.xml"}
	}
	for i := range c.size {
		c.run(i, f.program)
	}
	old := f.fill(c)
	for range changes {
		old = f.refill(c, old)
		f.sampleCost(c, mode)
		// At any phase of the heartbeats and tasks.
		time.Sleep(time.Duration(f.random.IntN(2000)) * time.Millisecond)
		change, ok := f.change(c, old)
		if !ok {
			break
		}
		change.Mode, change.Machines = mode, int64(len(c.cloud.Workers()))
		history = append(history, change)
	}
	if broken := c.cloud.Violations(); broken != nil {
		f.t.Error(broken)
	}
	return history
}

// oldJobTasks is how many tasks the job has that continues across failovers.
const oldJobTasks = 100_000

// newID returns the ID of the next job.
func (f *failoverRun) newID() string {
	f.next++
	return fmt.Sprintf("j-%06d", f.next)
}

// wholeMachineJob returns a job of which each machine has room for one task.
func wholeMachineJob(id string, tasks int) map[string]any {
	job := testJob(id, tasks)
	job["vcpus"] = 3.0
	return job
}

// fill submits a job for all machines, and waits until they run it.
func (f *failoverRun) fill(c *processCluster) string {
	id := f.newID()
	c.submitJob(wholeMachineJob(id, oldJobTasks))
	for startedAt := time.Now(); len(c.cloud.TasksOnMachines()) < f.machines*9/10; time.Sleep(200 * time.Millisecond) {
		if time.Since(startedAt) > 3*time.Minute {
			f.t.Fatalf("%d tasks run on %d machines", len(c.cloud.TasksOnMachines()), len(c.cloud.Workers()))
		}
	}
	return id
}

// refill submits another job for all machines when the one before is nearly done.
func (f *failoverRun) refill(c *processCluster, old string) string {
	if c.cloud.StartsOf(old) < oldJobTasks*9/10 {
		return old
	}
	id := f.newID()
	c.submitJob(wholeMachineJob(id, oldJobTasks))
	for c.cloud.StartsOf(id) == 0 {
		time.Sleep(100 * time.Millisecond)
	}
	return id
}

// change ends the leader once and measures; the node comes back afterwards.
func (f *failoverRun) change(c *processCluster, old string) (failover.Change, bool) {
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
	f.observe(c, old, token, endedAt, &change)
	switch change.Cause {
	case failover.Frozen:
		// Until after another node leads, and at times for longer than a lease.
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

func (f *failoverRun) signal(p *os.Process, s syscall.Signal) {
	if err := p.Signal(s); err != nil {
		f.t.Errorf("signal %v: %v", s, err)
	}
}

// microsSince returns the time since an instant.
func microsSince(t time.Time) micros.Micros { return micros.Micros(time.Since(t) / time.Microsecond) }

// Intervals of observe.
const (
	observeInterval = 5 * time.Millisecond
	newJobInterval  = 250 * time.Millisecond
)

// observe records when another node leads, when a job starts that was submitted afterwards, and
// when the old one continues.
func (f *failoverRun) observe(c *processCluster, old string, token uint64, endedAt time.Time, change *failover.Change) {
	stop := make(chan struct{})
	var submitting sync.WaitGroup
	defer submitting.Wait()
	defer close(stop)
	var mu sync.Mutex
	var newJobs []string
	submitting.Go(func() {
		for n := 0; ; n++ {
			mu.Lock()
			id := f.newID()
			newJobs = append(newJobs, id)
			mu.Unlock()
			job := testJob(id, 1)
			job["rank"], job["vcpus"] = "urgent", 1.0
			// A frozen node must not delay the next submission.
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
			change.LeaderElected, oldStarts = microsSince(endedAt), c.cloud.StartsOf(old)
		}
		if change.FirstOldJobResumed < 0 && c.cloud.StartsOf(old) > oldStarts {
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

// logHistory logs what was measured, by kind, and how warm compares with cold.
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

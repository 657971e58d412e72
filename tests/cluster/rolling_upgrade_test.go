package cluster

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/harness"
	"caperlatch/internal/wire"
)

// upgradeEnv names the environment variable that makes TestRollingUpgrade run. The test is off by default because it
// builds the earlier versions and takes minutes of real time.
const upgradeEnv = "CAPERLATCH_UPGRADE"

// TestRollingUpgrade upgrades a cluster from each earlier version to this one. The nodes are processes on loopback that
// run against the fakes; the earlier versions are built from the repository's history. The nodes with the old version are
// killed one after the other and restarted with this version. One of them is first restarted with the old version, and
// one is downgraded again. The state service has an outage during the upgrade, and lowers its limits afterwards. Gangs
// are submitted as soon as all serving nodes support them. Each submission is repeated at every node. The checker of the
// rules observes the whole run.
func TestRollingUpgrade(t *testing.T) {
	if os.Getenv(upgradeEnv) == "" {
		t.Skip(upgradeEnv + " is not set")
	}
	now := filepath.Join(t.TempDir(), "now")
	runScript(t, `go build -ldflags=-linkmode=external -o "$1" ./cmd/caperlatch`, now)
	for _, v := range oldVersions {
		t.Run(v.name, func(t *testing.T) {
			old := filepath.Join(t.TempDir(), "old")
			runScript(t, `mkdir "$1.src"; git archive "$2" | tar -x -C "$1.src"; cd "$1.src"
				go build -ldflags=-linkmode=external -o "$1" ./cmd/caperlatch`, old, v.commit(t))
			runRollout(t, old, now, v)
		})
	}
}

// runScript runs a script with bash, and fails the test if the script fails.
func runScript(t *testing.T, script string, args ...string) {
	t.Helper()
	cmd := exec.Command("bash", append([]string{"-euo", "pipefail", "-c", script, "bash"}, args...)...)
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", script, err, out)
	}
}

// runRollout upgrades three nodes from the old program to the new one.
func runRollout(t *testing.T, old, now string, v oldVersion) {
	gangs := v.gangs
	r := &rollout{processCluster: newProcessCluster(t, 3, t.TempDir()), startedAt: time.Now(), gangsSupported: gangs, newArgs: v.args, finalStatuses: map[string]string{},
		programs: make([]string, 3), acceptedGangs: map[string]int{}}
	defer r.close()
	for i := range r.size {
		r.startNode(i, old)
	}
	r.leader()
	r.submit(3)
	time.Sleep(3 * time.Second)
	r.cancel(r.jobs[1])
	if gangs {
		r.interruptGang()
	}
	leader := r.leader()
	r.replaceProgram(leader, old, time.Second) // restarts with the old version first
	r.replaceProgram((leader+1)%3, now, time.Second)
	r.submit(2)
	if gangs {
		r.forceLeaderWith(old)
		r.interruptGang()
		r.forceLeaderWith(now)
		r.interruptGang()
	}
	r.replaceProgram(r.leader(), now, time.Second) // whichever version it runs
	r.submit(2)
	r.state.SetOutage(true) // while both versions serve
	time.Sleep(4 * time.Second)
	r.state.SetOutage(false)
	r.replaceProgram((leader+1)%3, old, 300*time.Millisecond) // downgraded to the old version
	r.submit(1)
	for i := range r.size { // every node, also one that already runs the new version
		r.replaceProgram(i, now, 500*time.Millisecond)
	}
	r.gangsSupported = true
	r.submit(2)
	r.interruptGang()
	r.state.SetLimits(loweredLimits)
	r.replaceProgram(r.leader(), now, 300*time.Millisecond)
	r.submit(2)
	r.cancel(r.jobs[len(r.jobs)-1])
	r.awaitFinalStatuses()
	t.Logf("%v: all jobs have ended", time.Since(r.startedAt).Round(time.Second))
	t.Logf("gangs accepted by nodes of each program: %v", r.acceptedGangs)
	if gangs && (r.acceptedGangs["old"] == 0 || r.acceptedGangs["now"] == 0) {
		t.Errorf("gangs accepted by nodes of each program: %v, want some by each program", r.acceptedGangs)
	}
	if n := r.state.RejectedTxns(); n != 0 {
		t.Errorf("%d transactions were rejected for their size, want 0", n)
	}
	if violations := r.cloud.Violations(); violations != nil {
		t.Error(violations)
	}
}

// rollout is a cluster whose nodes are processes of two versions, with the jobs that were submitted to it.
type rollout struct {
	*processCluster
	startedAt      time.Time
	gangsSupported bool     // whether all serving nodes support gangs
	newArgs        []string // arguments of processes of the new version
	programs       []string // path of each node's program
	jobs           []map[string]any
	finalStatuses  map[string]string // the final status that each job must reach, by job ID
	acceptedGangs  map[string]int    // number of accepted gangs, by the program (old, now) of the node that accepted them
}

// startNode starts a new incarnation of a node with a program.
func (r *rollout) startNode(i int, program string) {
	r.programs[i], r.Args = program, nil
	if filepath.Base(program) == "now" {
		r.Args = r.newArgs
	}
	r.run(i, program)
}

// replaceProgram kills a node, and after the given downtime starts it with the given program.
func (r *rollout) replaceProgram(i int, program string, down time.Duration) {
	r.kill(i)
	time.Sleep(down)
	r.startNode(i, program)
	time.Sleep(2500 * time.Millisecond)
	r.t.Logf("%v: node %d was restarted with program %s", time.Since(r.startedAt).Round(time.Second), i, filepath.Base(program))
}

// forceLeaderWith makes a node with the given program the leader, by killing all nodes with another program until one
// leads.
func (r *rollout) forceLeaderWith(program string) {
	for i, p := range r.programs {
		if p != program {
			r.kill(i)
		}
	}
	for try := 0; r.programs[r.leader()] != program; try++ {
		if try == 100 {
			r.t.Fatalf("no node with program %s became leader", program)
		}
		time.Sleep(200 * time.Millisecond)
	}
	for i, p := range r.programs {
		if p != program {
			r.startNode(i, p)
		}
	}
	time.Sleep(2500 * time.Millisecond)
}

// submit submits n jobs of independent tasks and, if all serving nodes support gangs, as many gangs.
func (r *rollout) submit(n int) {
	for range n {
		if r.gangsSupported {
			r.submitGang()
		}
		r.submitAndResubmit(testJob(r.nextID(), 8))
	}
}

// submitGang submits a gang for three machines, and returns its ID.
func (r *rollout) submitGang() string {
	id := r.nextID()
	node := r.submitAndResubmit(gangJob(id, 3, 3, nil))
	r.acceptedGangs[filepath.Base(r.programs[node])]++
	return id
}

// nextID returns the ID of the next job.
func (r *rollout) nextID() string { return fmt.Sprintf("j-%06d", len(r.jobs)+1) }

// submitAndResubmit submits a job, each time to the next node, until one accepts it. It then repeats the submission at all
// nodes, and returns the index of the node that accepted the job.
func (r *rollout) submitAndResubmit(job map[string]any) (node int) {
	r.t.Helper()
	id := job["id"].(string)
	for try := range 60 {
		node = (len(r.jobs) + try) % r.size
		if code, _ := r.request(http.MethodPost, node, "/v1/jobs", job); code == http.StatusCreated || code == http.StatusOK {
			r.jobs, r.finalStatuses[id] = append(r.jobs, job), wire.JobDone
			r.resubmit(job)
			return node
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.t.Fatalf("%s was not accepted", id)
	return -1
}

// resubmit repeats the submission of an accepted job at each node until the node answers, and returns the job's status in
// each node's response. The checker of the rules checks that no status is older than one that was reported before.
func (r *rollout) resubmit(job map[string]any) (statuses []string) {
	r.t.Helper()
	for node := range r.size {
		code, status := 0, wire.JobStatus{}
		for try := 0; try < 40 && (code == 0 || code == http.StatusBadGateway || code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests); try++ {
			if try > 0 {
				time.Sleep(250 * time.Millisecond)
			}
			code, status = r.request(http.MethodPost, node, "/v1/jobs", job)
		}
		if code != http.StatusOK || status.State == "" {
			r.t.Errorf("%s submitted again at node %d: got code %d, status %q, want 200 and a status", job["id"], node, code, status.State)
		}
		statuses = append(statuses, status.State)
	}
	return statuses
}

// cancel requests the cancellation of a job, each time from the next node, until it is confirmed.
func (r *rollout) cancel(job map[string]any) {
	id := job["id"].(string)
	r.finalStatuses[id] = wire.JobCancelled
	for try := range 30 {
		if code, _ := r.request(http.MethodPost, try%3, "/v1/jobs/"+id+"/abort", nil); code == http.StatusOK {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.t.Errorf("%s could not be cancelled", id)
}

// interruptGang submits a gang and makes the cloud interrupt one of its machines, with enough notice to stop the gang
// with a checkpoint. The gang must then run again and complete.
func (r *rollout) interruptGang() {
	r.t.Helper()
	leader, startedAt := r.programs[r.leader()], time.Now()
	id := r.submitGang()
	r.awaitTaskStates(id, map[string]int{wire.TaskRunning: 3})
	time.Sleep(time.Second)
	r.cloud.WorkersOf(id)[0].Interrupt(5 * time.Second)
	r.awaitStatus(id, wire.JobDone, time.Minute)
	if runs := r.cloud.GangRuns(id); runs < 2 {
		r.t.Errorf("all tasks of %s ran together %d times, want at least 2 after the loss of a machine", id, runs)
	}
	r.t.Logf("%s, with a leader of program %s: %d full runs, progress kept %v, done after %v",
		id, filepath.Base(leader), r.cloud.GangRuns(id), r.cloud.GangProgress(id), time.Since(startedAt).Round(time.Second))
}

// awaitFinalStatuses waits until all jobs have their final statuses. A submission that is repeated then must be answered
// with the job's final status.
func (r *rollout) awaitFinalStatuses() {
	for _, job := range r.jobs {
		id := job["id"].(string)
		r.awaitStatus(id, r.finalStatuses[id], 30*time.Second)
	}
	for _, job := range r.jobs {
		id := job["id"].(string)
		for node, status := range r.resubmit(job) {
			if status != r.finalStatuses[id] {
				r.t.Errorf("%s submitted again at node %d: got status %q, want %q", id, node, status, r.finalStatuses[id])
			}
		}
	}
}

// processCluster is a cluster whose nodes are processes on loopback.
type processCluster struct {
	*cluster
	*harness.ProcessCluster
}

// clusterScale holds the settings of a deployment that depend on its size.
type clusterScale struct {
	heartbeatIntervalS, leaseDurationS, cancellationTimeoutS float64 // of the workers, in seconds
	sockets                                                  int     // limit of open sockets of a node
}

// smallFleetScale returns the scale of a deployment with few machines.
func smallFleetScale() clusterScale {
	return clusterScale{heartbeatIntervalS, leaseDurationS, cancellationTimeoutS, 1000}
}

// settings returns the settings of a node in a deployment of this scale.
func (sc clusterScale) settings(node, nodes int) *settings.Settings {
	s := nodeSettings(node, nodes)
	announceLimits(s)
	s.Zone = "a"
	s.Params.Nodes, s.Params.ClockErrorMS = nodes, 5
	s.Params.Teams = []settings.Team{{Name: "blue"}}
	s.Params.Workers.HeartbeatIntervalS, s.Params.Workers.LeaseDurationS, s.Params.Workers.CancellationTimeoutS = sc.heartbeatIntervalS, sc.leaseDurationS, sc.cancellationTimeoutS
	s.Params.State.WriteRPS = 60
	s.Params.Limits = settings.Limits{CPU: 1, MemoryMB: 500, MaxSockets: sc.sockets}
	return s
}

// newProcessCluster prepares a cluster of processes for a deployment with few machines. It starts no node.
func newProcessCluster(t *testing.T, nodes int, dir string) *processCluster {
	return newScaledProcessCluster(t, nodes, dir, smallFleetScale())
}

// newScaledProcessCluster prepares a cluster of processes for a deployment of the given scale. It starts no node.
func newScaledProcessCluster(t *testing.T, nodes int, dir string, scale clusterScale) *processCluster {
	return newConfiguredProcessCluster(t, nodes, dir, scale, func(*harness.ProcessConfig) {})
}

// newConfiguredProcessCluster prepares a cluster of processes like newScaledProcessCluster, after configure has changed its
// configuration.
func newConfiguredProcessCluster(t *testing.T, nodes int, dir string, scale clusterScale, configure func(*harness.ProcessConfig)) *processCluster {
	c := &cluster{t: t, size: nodes}
	var p *harness.ProcessCluster
	config := harness.ProcessConfig{
		Settings: func(node int) *settings.Settings { return scale.settings(node, nodes) },
		Nodes:    nodes,
		Dir:      dir,
		RuntimeOf: func(task string) float64 {
			if id, _, _ := strings.Cut(task, "/"); p.Rules.Job(id).Kind == wire.KindGang {
				return 8
			}
			return 3
		},
		OnUnexpectedExit: func(_ int, log string, err error) {
			t.Errorf("the process with log %s exited unexpectedly: %v", log, err)
		},
	}
	configure(&config)
	p, err := harness.NewProcessCluster(config)
	if err != nil {
		t.Fatal(err)
	}
	c.net, c.state, c.cloud, c.rules, c.userClient = p.Net, p.State, p.Cloud, p.Rules, p.Client
	return &processCluster{c, p}
}

// kill ends a node's process.
func (c *processCluster) kill(i int) { c.ProcessCluster.Kill(i) }

// run starts a new incarnation of a node with the given program.
func (c *processCluster) run(i int, program string) {
	c.t.Helper()
	c.must(c.StartNode(i, program))
}

// close ends all processes and, if the test failed, copies their logs to the test's log.
func (c *processCluster) close() {
	c.Close()
	if !c.t.Failed() {
		return
	}
	logs, err := filepath.Glob(filepath.Join(c.Dir, "*.log"))
	if err != nil {
		c.t.Fatal(err)
	}
	slices.SortFunc(logs, cmp.Compare)
	for _, name := range logs {
		b, err := os.ReadFile(name)
		c.t.Logf("%s: %v\n%s", filepath.Base(name), err, b)
	}
}

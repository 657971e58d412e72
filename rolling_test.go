package caperlatch

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"caperlatch/internal/standin"
	"caperlatch/internal/wire"
)

// upgradeVariable has TestRollingUpgrade run: it builds the earlier versions and takes
// minutes of real time.
const upgradeVariable = "CAPERLATCH_UPGRADE"

// TestRollingUpgrade runs processes of each earlier version, built from the repository's
// history, and of this version side by side on loopback, against the stand-ins: the old
// ones are killed one after the other and come back with this version; one comes back old
// first, and one goes back to the old one; meanwhile the state service is down for a
// while. Then it lowers its limits. Gangs are submitted as soon as all nodes that serve
// know them. Each submission is repeated at every node. All under the checker of rules.
func TestRollingUpgrade(t *testing.T) {
	if os.Getenv(upgradeVariable) == "" {
		t.Skip(upgradeVariable + " is not set")
	}
	now := filepath.Join(t.TempDir(), "now")
	shell(t, `go build -ldflags=-linkmode=external -o "$1" ./cmd/caperlatch`, now)
	for _, v := range oldVersions {
		t.Run(v.name, func(t *testing.T) {
			old := filepath.Join(t.TempDir(), "old")
			shell(t, `mkdir "$1.src"; git archive "$2" | tar -x -C "$1.src"; cd "$1.src"
				go build -ldflags=-linkmode=external -o "$1" ./cmd/caperlatch`, old, v.commit(t))
			rollOut(t, old, now, v)
		})
	}
}

func shell(t *testing.T, script string, args ...string) {
	t.Helper()
	cmd := exec.Command("bash", append([]string{"-euo", "pipefail", "-c", script, "bash"}, args...)...)
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", script, err, out)
	}
}

// rollOut upgrades three nodes from the old program to the one of now.
func rollOut(t *testing.T, old, now string, v oldVersion) {
	gangs := v.gangs
	r := &rollout{processes: newProcesses(t, 3, t.TempDir()), begun: time.Now(), gangs: gangs, newArgs: v.args, ends: map[string]string{},
		programs: make([]string, 3), accepted: map[string]int{}}
	defer r.end()
	for i := range r.stops {
		r.begin(i, old)
	}
	r.leader()
	r.submit(3)
	time.Sleep(3 * time.Second)
	r.cancel(r.jobs[1])
	if gangs {
		r.stopGang()
	}
	leader := r.leader()
	r.swap(leader, old, time.Second) // comes back old before its turn
	r.swap((leader+1)%3, now, time.Second)
	r.submit(2)
	if gangs {
		r.lead(old)
		r.stopGang()
		r.lead(now)
		r.stopGang()
	}
	r.swap(r.leader(), now, time.Second) // old or new, it ends
	r.submit(2)
	r.state.SetDown(true) // while both serve
	time.Sleep(4 * time.Second)
	r.state.SetDown(false)
	r.swap((leader+1)%3, old, 300*time.Millisecond) // and back
	r.submit(1)
	for i := range r.stops { // now all
		r.swap(i, now, 500*time.Millisecond)
	}
	r.gangs = true
	r.submit(2)
	r.stopGang()
	r.state.SetLimits(lowered)
	r.swap(r.leader(), now, 300*time.Millisecond)
	r.submit(2)
	r.cancel(r.jobs[len(r.jobs)-1])
	r.awaitAll()
	t.Logf("%v: all jobs are over", time.Since(r.begun).Round(time.Second))
	t.Logf("gangs accepted by nodes of each program: %v", r.accepted)
	if gangs && (r.accepted["old"] == 0 || r.accepted["now"] == 0) {
		t.Errorf("not every version has accepted gangs: %v", r.accepted)
	}
	if n := r.state.Refused(); n != 0 {
		t.Errorf("%d transactions were refused for their size", n)
	}
	if broken := r.cloud.Broken(); broken != nil {
		t.Error(broken)
	}
}

// rollout is processes of two versions with the jobs that they were given.
type rollout struct {
	*processes
	begun    time.Time
	gangs    bool     // all that serve know gangs
	newArgs  []string // of new processes
	programs []string
	jobs     []map[string]any
	ends     map[string]string // the state that each job must end in
	accepted map[string]int    // gangs, by the program (old, now) of the node that accepted them
}

// begin begins a life of a node with a program.
func (r *rollout) begin(i int, program string) {
	r.programs[i], r.args = program, nil
	if filepath.Base(program) == "now" {
		r.args = r.newArgs
	}
	r.run(i, program)
}

// swap ends a node and has it come back with a program.
func (r *rollout) swap(i int, program string, down time.Duration) {
	r.kill(i)
	time.Sleep(down)
	r.begin(i, program)
	time.Sleep(2500 * time.Millisecond)
	r.t.Logf("%v: node %d is back with %s", time.Since(r.begun).Round(time.Second), i, filepath.Base(program))
}

// lead has a node of a program lead, by ending all others for a while.
func (r *rollout) lead(program string) {
	for i, p := range r.programs {
		if p != program {
			r.kill(i)
		}
	}
	for try := 0; r.programs[r.leader()] != program; try++ {
		if try == 100 {
			r.t.Fatalf("no node with %s leads", program)
		}
		time.Sleep(200 * time.Millisecond)
	}
	for i, p := range r.programs {
		if p != program {
			r.begin(i, p)
		}
	}
	time.Sleep(2500 * time.Millisecond)
}

// submit gives jobs of independent tasks and, if all know them, as many gangs.
func (r *rollout) submit(n int) {
	for range n {
		if r.gangs {
			r.submitGang()
		}
		r.give(testJob(r.nextID(), 8))
	}
}

// submitGang gives a gang on three machines, and returns its name.
func (r *rollout) submitGang() string {
	id := r.nextID()
	node := r.give(gangJob(id, 3, 3, nil))
	r.accepted[filepath.Base(r.programs[node])]++
	return id
}

func (r *rollout) nextID() string { return fmt.Sprintf("j-%06d", len(r.jobs)+1) }

// give submits a job, first at one node and then at the next, until one accepts it, which
// it returns; and repeats the submission at all.
func (r *rollout) give(job map[string]any) (node int) {
	r.t.Helper()
	id := job["id"].(string)
	for try := range 60 {
		node = (len(r.jobs) + try) % len(r.stops)
		if code, _ := r.request(http.MethodPost, node, "/v1/jobs", job); code == http.StatusCreated || code == http.StatusOK {
			r.jobs, r.ends[id] = append(r.jobs, job), wire.JobDone
			r.repeat(job)
			return node
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.t.Fatalf("%s was not accepted", id)
	return -1
}

// repeat submits a job that was accepted again, at each node until it answers, and returns
// the statuses told. That none goes back the checker of rules sees to.
func (r *rollout) repeat(job map[string]any) (told []string) {
	r.t.Helper()
	for node := range r.stops {
		code, status := 0, wire.JobStatus{}
		for try := 0; try < 40 && (code == 0 || code == http.StatusBadGateway || code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests); try++ {
			if try > 0 {
				time.Sleep(250 * time.Millisecond)
			}
			code, status = r.request(http.MethodPost, node, "/v1/jobs", job)
		}
		if code != http.StatusOK || status.Status == "" {
			r.t.Errorf("%s submitted again at node %d: %d, %q", job["id"], node, code, status.Status)
		}
		told = append(told, status.Status)
	}
	return told
}

// cancel cancels a job.
func (r *rollout) cancel(job map[string]any) {
	id := job["id"].(string)
	r.ends[id] = wire.JobCancelled
	for try := range 30 {
		if code, _ := r.request(http.MethodPost, try%3, "/v1/jobs/"+id+"/abort", nil); code == http.StatusOK {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.t.Errorf("%s could not be cancelled", id)
}

// stopGang has the cloud take a machine from a gang that runs, with enough time to stop it
// and save. It must run again.
func (r *rollout) stopGang() {
	r.t.Helper()
	leader, begun := r.programs[r.leader()], time.Now()
	id := r.submitGang()
	r.until(id, map[string]int{wire.TaskRunning: 3})
	time.Sleep(time.Second)
	r.cloud.With(id)[0].Take(5 * time.Second)
	r.await(id, wire.JobDone, time.Minute)
	if runs := r.cloud.GangRuns(id); runs < 2 {
		r.t.Errorf("%s ran %d times, although it lost a machine", id, runs)
	}
	r.t.Logf("%s, led by %s: attempts that ran %d, progress saved %v, done after %v",
		id, filepath.Base(leader), r.cloud.GangRuns(id), r.cloud.GangSaved(id), time.Since(begun).Round(time.Second))
}

// awaitAll awaits the ends of all jobs. A submission that is repeated then is told of them.
func (r *rollout) awaitAll() {
	for _, job := range r.jobs {
		id := job["id"].(string)
		r.await(id, r.ends[id], 30*time.Second)
	}
	for _, job := range r.jobs {
		id := job["id"].(string)
		for node, told := range r.repeat(job) {
			if told != r.ends[id] {
				r.t.Errorf("%s submitted again at node %d: %s, want %s", id, node, told, r.ends[id])
			}
		}
	}
}

// processes is a cluster whose nodes are processes on loopback.
type processes struct {
	*cluster
	scale    processScale
	args     []string      // of each process, before those that name its settings
	commands []*exec.Cmd   // of the nodes' present lives
	ending   []atomic.Bool // nodes that may end by themselves
	dir      string
	addrs    [][2]string // of each node, for users and for peers
	servers  []*httptest.Server
}

// processScale is how large the world of the processes is.
type processScale struct {
	reportS, leaseS, cancelS float64 // of the workers
	sockets                  int     // of a node
}

// smallScale is that of few machines.
func smallScale() processScale { return processScale{reportS, leaseS, cancelS, 1000} }

func newProcesses(t *testing.T, nodes int, dir string) *processes {
	return newScaledProcesses(t, nodes, dir, smallScale())
}

// newScaledProcesses prepares processes for a world of a scale.
func newScaledProcesses(t *testing.T, nodes int, dir string, scale processScale) *processes {
	c := &processes{dir: dir, scale: scale, commands: make([]*exec.Cmd, nodes), ending: make([]atomic.Bool, nodes), cluster: &cluster{t: t, net: standin.NewNet(), state: standin.NewState(),
		stops: make([]func(), nodes), lives: make([]int, nodes)}}
	free := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		return l.Addr().String()
	}
	var hosts []string
	for i := range nodes {
		host := fmt.Sprintf("host-%d:8080", i)
		hosts = append(hosts, host)
		c.addrs = append(c.addrs, [2]string{free(), free()})
		proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: c.addrs[i][0]})
		proxy.Transport = &http.Transport{MaxIdleConnsPerHost: idleProxyConns, DisableCompression: true}
		proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
		c.net.Handle(host, proxy)
		c.stops[i] = func() {}
	}
	s := nodeSettings(0, nodes)
	limits := map[string]float64{}
	for _, t := range s.Params.Teams {
		limits[t.Name] = t.CPUsMax
	}
	c.rules = standin.NewRules(time.Duration(scale.cancelS*float64(time.Second)), limits)
	c.cloud = standin.NewCloud(c.net, c.rules, hosts, scale.reportS, scale.leaseS, func(task string) float64 {
		if id, _, _ := strings.Cut(task, "/"); c.rules.Job(id).Shape == wire.ShapeGang {
			return 8
		}
		return 3
	})
	c.cloud.Serve = func(h http.Handler) string { return c.serve(h) }
	c.user = &http.Client{Transport: c.net.From("user")}
	return c
}

// idleProxyConns is how many connections to a node stay open for its next requests.
const idleProxyConns = 256

// serve serves a handler on loopback. Workers are served under the cloud's lock, the
// others before.
func (c *processes) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	c.servers = append(c.servers, server)
	return strings.TrimPrefix(server.URL, "http://")
}

// run begins a new life of a node with a program.
func (c *processes) run(i int, program string) {
	if c.lives[0] == 0 && len(c.servers) == 0 {
		c.serve(c.state)
		c.serve(c.cloud)
	}
	c.lives[i]++
	var peers strings.Builder
	for p, a := range c.addrs {
		if p != i {
			fmt.Fprintf(&peers, "[[seeds]]\nmember = \"host-%d\"\nzone = \"a\"\naddr = %q\n", p, a[1])
		}
	}
	file := filepath.Join(c.dir, fmt.Sprintf("host-%d.toml", i))
	address := func(n int) string { return strings.TrimPrefix(c.servers[n].URL, "http://") }
	text := fmt.Sprintf(`member = "host-%d"
zone = "a"
client_listen = %q
peer_bind = %q
%s[external]
state = %q
cloud = %q
[params]
initial_size = 3
zones = ["a"]
clock_error_ms = 5.0
[[params.teams]]
name = "blue"
[params.workers]
report_s = %v
lease_s = %v
gang_wait_s = %v
gang_peer_s = %v
cancel_s = %v
[params.state]
rps = 200.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 12
[params.state.next]
write_rps = %.1f
value_kb = %.1f
txn_ops = %d
[params.cloud]
rps = 20.0
list_lag_s = 1.0
[params.limits]
cpu = 1.0
mem_mb = 500.0
max_sockets = %d
`, i, c.addrs[i][0], c.addrs[i][1], peers.String(), address(0), address(1), c.scale.reportS, c.scale.leaseS,
		standin.GangWaitS, standin.GangPeerS, c.scale.cancelS, lowered.WriteRPS, lowered.ValueKB, lowered.TxnOps, c.scale.sockets)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		c.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(c.dir, fmt.Sprintf("host-%d-%d-%s.log", i, c.lives[i], filepath.Base(program))))
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cmd := exec.CommandContext(ctx, program, append(slices.Clone(c.args), "--config", file)...)
	c.commands[i] = cmd
	c.ending[i].Store(false)
	cmd.Stderr, cmd.Env = log, append(os.Environ(), "LOG_LEVEL=info")
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := cmd.Wait(); ctx.Err() == nil && !c.ending[i].Load() {
			c.t.Errorf("%s ended by itself: %v", log.Name(), err)
		}
		log.Close()
	}()
	c.stops[i] = func() {
		cancel()
		<-ended
	}
}

// expectEnd says that a node's process is about to be told to end.
func (c *processes) expectEnd(i int) { c.ending[i].Store(true) }

// end ends all and, of a test that failed, shows what the processes logged.
func (c *processes) end() {
	for i := range c.stops {
		c.kill(i)
	}
	c.cloud.Close()
	for _, s := range c.servers {
		s.CloseClientConnections()
		s.Close()
	}
	c.state.Close()
	if !c.t.Failed() {
		return
	}
	logs, err := filepath.Glob(filepath.Join(c.dir, "*.log"))
	if err != nil {
		c.t.Fatal(err)
	}
	slices.SortFunc(logs, cmp.Compare)
	for _, name := range logs {
		b, err := os.ReadFile(name)
		c.t.Logf("%s: %v\n%s", filepath.Base(name), err, b)
	}
}

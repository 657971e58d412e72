package caperlatch

import (
	"cmp"
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/replica"
	"caperlatch/internal/standin"
	"caperlatch/internal/wire"
)

// oldVersion is an earlier version that may serve beside this one, and be upgraded from.
type oldVersion struct {
	name  string // first digits of its commit, and its directory in testdata/versions
	gangs bool   // it runs gangs
}

var oldVersions = []oldVersion{{"3a714ab", false}, {"5fd93d5", true}}

func (v oldVersion) path(file string) string {
	return filepath.Join("testdata", "versions", v.name, file)
}

// commit is the whole hash of the version.
func (v oldVersion) commit(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(v.path("COMMIT"))
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(b))
}

// captured is what was captured from a version (testdata/versions/capture), by moment.
type captured struct {
	stored   map[string]map[string]wire.Raw // by key
	machines map[string][]wire.Report
}

func (v oldVersion) captured(t *testing.T) (c captured) {
	t.Helper()
	for file, into := range map[string]any{"stored.cbor": &c.stored, "machines.cbor": &c.machines} {
		b, err := os.ReadFile(v.path(file))
		if err == nil {
			err = wire.Unmarshal(b, into)
		}
		if err != nil {
			t.Fatalf("%s: %v", v.path(file), err)
		}
	}
	return c
}

// TestProductionIsCaptured sees to it that the version in production is one of those that
// the tests of upgrades know, and that each of them was captured from its own commit.
func TestProductionIsCaptured(t *testing.T) {
	b, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindSubmatch(b)
	known := false
	for _, v := range oldVersions {
		commit := v.commit(t)
		if !strings.HasPrefix(commit, v.name) || len(commit) != 40 {
			t.Errorf("%s was captured from %s", v.name, commit)
		}
		known = known || found != nil && commit == string(found[1])
	}
	if found != nil && !known {
		t.Errorf("production is %s, which is not in testdata/versions", found[1])
	}
}

// goOn has the checker of rules know what was so before a stored moment, and returns
// the jobs stored and the state that each must end in.
func (c *cluster) goOn(stored map[string]wire.Raw) map[string]string {
	const before = "before"
	c.rules.Rented(before, wire.Rental{Type: "m4", Zone: "a"})
	done := func(task string) {
		c.rules.Started(task, before)
		c.rules.Left(task, before, true)
	}
	ends := map[string]string{}
	for key, value := range stored {
		id, ok := strings.CutPrefix(key, replica.JobPrefix)
		if !ok {
			continue
		}
		var j replica.Job
		if err := wire.Unmarshal(value, &j); err != nil {
			c.t.Fatal(err)
		}
		ends[id] = wire.JobDone
		if !j.Final() {
			c.rules.Submits(*j.Spec)
			continue
		}
		ends[id] = j.State
		// Of a job that is over the capture alone tells what it was.
		c.rules.Submits(wire.Job{ID: id, Team: "blue", Tasks: 2})
		if j.State == wire.JobCancelled {
			c.rules.Asks("/v1/jobs/" + id + "/abort")
		} else {
			done(id + "/0")
			done(id + "/1")
		}
	}
	for key, value := range stored {
		name, ok := strings.CutPrefix(key, replica.ProgressPrefix)
		if !ok {
			continue
		}
		var p struct {
			Done string `json:"done"`
		}
		if err := wire.Unmarshal(value, &p); err != nil {
			c.t.Fatal(err)
		}
		bits, err := base64.RawStdEncoding.DecodeString(p.Done)
		if err != nil {
			c.t.Fatal(err)
		}
		id, _, _ := strings.Cut(name, "/")
		for i := range 8 * len(bits) {
			if bits[i/8]&(1<<(i%8)) != 0 {
				done(fmt.Sprintf("%s/%d", id, i))
			}
		}
	}
	return ends
}

// capturedGang is the gang of the moments that gangRuns names.
const capturedGang = "j-000002"

// gangRuns is how often a gang's attempt comes to run after the take-over, if its machines
// are still there: what runs, or is done, must not begin anew, and what waits or was
// stopped runs once.
var gangRuns = map[string]int{
	"a gang waits for a machine that hangs": 1,
	"a gang runs":                           0,
	"a gang is being stopped":               1,
	"a gang is done, which is not stored":   0,
	"a list is being divided, a gang runs":  0,
	"a list was divided, a gang runs":       0,
}

// takeOver is a way to take over from an earlier version.
type takeOver struct {
	name  string
	there bool          // the machines of then are there, with their tasks
	lower time.Duration // when the limits are lowered, negative: never
	kill  bool          // the first leader ends
}

// TestTakeOverFromOldVersions has this version take over what earlier ones stored, with
// the limits of then or with lower ones, while the machines of then are gone or still
// there. What was over stays so, what ran is done, and nodes that end meanwhile change
// nothing of that.
func TestTakeOverFromOldVersions(t *testing.T) {
	cases := []takeOver{
		{"the limits stay", false, -1, false},
		{"the limits are lower", false, 0, false},
		{"the limits are lowered as the leader ends", false, 3 * time.Second, true},
		{"the machines are there, the limits stay", true, -1, false},
		{"the machines are there, the limits are lower", true, 0, false},
		{"the machines are there, the limits are lowered as the leader ends", true, 3 * time.Second, true},
	}
	for _, v := range oldVersions {
		old := v.captured(t)
		for moment, stored := range old.stored {
			for _, tc := range cases {
				t.Run(v.name+", "+moment+", "+tc.name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := newTunedCluster(t, 3, tellNext)
						defer c.close()
						c.takeOver(tc, stored, old.machines[moment])
						if runs, known := gangRuns[moment]; known && tc.there && c.cloud.GangRuns(capturedGang) != runs {
							t.Errorf("%d attempts of the gang ran, want %d", c.cloud.GangRuns(capturedGang), runs)
						}
						if n := c.state.Refused(); n != 0 {
							t.Errorf("%d transactions were refused for their size", n)
						}
						if broken := c.cloud.Broken(); broken != nil {
							t.Error(broken)
						}
					})
				})
			}
		}
	}
}

// takeOver has a cluster begin with what was stored, and awaits the ends of all jobs.
func (c *cluster) takeOver(how takeOver, stored map[string]wire.Raw, machines []wire.Report) {
	for i := range c.stops {
		c.kill(i)
	}
	c.cloud.RunFor = func(task string) float64 {
		id, _, _ := strings.Cut(task, "/")
		if c.rules.Job(id).Shape == wire.ShapeGang {
			return 12 // beyond the take-over
		}
		return 3
	}
	for key, value := range stored {
		if key != replica.LeaderKey { // its hold has ended
			c.state.Put(key, value)
		}
	}
	ends := c.goOn(stored)
	if how.there {
		if err := c.cloud.Restore(machines); err != nil {
			c.t.Fatal(err)
		}
	}
	if how.lower == 0 {
		c.state.SetLimits(lowered)
	}
	for i := range c.stops {
		c.start(i)
	}
	if i := c.leader(); how.kill {
		time.Sleep(how.lower)
		c.state.SetLimits(lowered)
		c.kill(i)
		time.Sleep(time.Second)
		c.start(i)
	}
	for id, end := range ends {
		c.await(id, end, 4*time.Minute)
	}
}

// upgradeVariable has TestRollingUpgrade run: it builds production and takes a minute of
// real time.
const upgradeVariable = "CAPERLATCH_UPGRADE"

// TestRollingUpgrade runs processes of production, built from the repository's history,
// and of this version side by side on loopback, against the stand-ins: production's are
// killed one after the other and come back with this version; one comes back old first,
// and one goes back to the old one; meanwhile the state service is down for a while. Then
// it lowers its limits. All under the checker of rules.
func TestRollingUpgrade(t *testing.T) {
	if os.Getenv(upgradeVariable) == "" {
		t.Skip(upgradeVariable + " is not set")
	}
	dir := t.TempDir()
	shell := func(script string, args ...string) {
		t.Helper()
		cmd := exec.Command("bash", append([]string{"-euo", "pipefail", "-c", script, "bash"}, args...)...)
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", script, err, out)
		}
	}
	old, now := filepath.Join(dir, "old"), filepath.Join(dir, "now")
	shell(`commit=$(.ci/production); commit=${commit:-$(cat testdata/versions/3a714ab/COMMIT)}
		mkdir "$1.src"; git archive "$commit" | tar -x -C "$1.src"; cd "$1.src"
		go build -ldflags=-linkmode=external -o "$1" ./cmd/caperlatch`, old)
	shell(`go build -ldflags=-linkmode=external -o "$1" ./cmd/caperlatch`, now)

	c := newProcesses(t, 3, dir)
	defer c.end()
	for i := range c.stops {
		c.run(i, old)
	}
	c.leader()
	var ids []string
	submit := func(n int) {
		for range n {
			id := fmt.Sprintf("j-%06d", len(ids)+1)
			ids = append(ids, id)
			c.submit(id, 8)
		}
	}
	cancel := func(id string) {
		for try := range 30 {
			if code, _ := c.request(http.MethodPost, try%3, "/v1/jobs/"+id+"/abort", nil); code == http.StatusOK {
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
		t.Errorf("%s could not be cancelled", id)
	}
	swap := func(i int, program string, down time.Duration) {
		c.kill(i)
		time.Sleep(down)
		c.run(i, program)
		time.Sleep(2500 * time.Millisecond)
	}
	submit(3)
	time.Sleep(3 * time.Second)
	cancel(ids[1])
	leader := c.leader()
	swap(leader, old, time.Second) // comes back old before its turn
	swap((leader+1)%3, now, time.Second)
	submit(2)
	swap(c.leader(), now, time.Second) // old or new, it ends
	submit(2)
	c.state.SetDown(true) // while both serve
	time.Sleep(4 * time.Second)
	c.state.SetDown(false)
	swap((leader+1)%3, old, 300*time.Millisecond) // and back
	submit(1)
	for i := range c.stops { // now all
		swap(i, now, 500*time.Millisecond)
	}
	submit(2)
	c.state.SetLimits(lowered)
	swap(c.leader(), now, 300*time.Millisecond)
	submit(2)
	cancel(ids[len(ids)-1])
	for i, id := range ids {
		end := wire.JobDone
		if i == 1 || i == len(ids)-1 {
			end = wire.JobCancelled
		}
		c.await(id, end, 30*time.Second)
	}
	if n := c.state.Refused(); n != 0 {
		t.Errorf("%d transactions were refused for their size", n)
	}
	if broken := c.cloud.Broken(); broken != nil {
		t.Error(broken)
	}
}

// processes is a cluster whose nodes are processes on loopback.
type processes struct {
	*cluster
	dir     string
	addrs   [][2]string // of each node, for users and for peers
	servers []*httptest.Server
}

func newProcesses(t *testing.T, nodes int, dir string) *processes {
	c := &processes{dir: dir, cluster: &cluster{t: t, net: standin.NewNet(), state: standin.NewState(),
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
		proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
		c.net.Handle(host, proxy)
		c.stops[i] = func() {}
	}
	s := nodeSettings(0, nodes)
	limits := map[string]float64{}
	for _, t := range s.Params.Teams {
		limits[t.Name] = t.CPUsMax
	}
	c.rules = standin.NewRules(time.Duration(cancelS*float64(time.Second)), limits)
	c.cloud = standin.NewCloud(c.net, c.rules, hosts, reportS, leaseS, func(string) float64 { return 3 })
	c.cloud.Serve = func(h http.Handler) string { return c.serve(h) }
	c.user = &http.Client{Transport: c.net.From("user")}
	return c
}

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
gang_wait_s = 40.0
gang_peer_s = 4.0
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
max_sockets = 1000
`, i, c.addrs[i][0], c.addrs[i][1], peers.String(), address(0), address(1), reportS, leaseS, cancelS, lowered.WriteRPS, lowered.ValueKB, lowered.TxnOps)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		c.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(c.dir, fmt.Sprintf("host-%d-%d-%s.log", i, c.lives[i], filepath.Base(program))))
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cmd := exec.CommandContext(ctx, program, "--config", file)
	cmd.Stderr, cmd.Env = log, append(os.Environ(), "LOG_LEVEL=info")
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := cmd.Wait(); ctx.Err() == nil {
			c.t.Errorf("%s ended by itself: %v", log.Name(), err)
		}
		log.Close()
	}()
	c.stops[i] = func() {
		cancel()
		<-ended
	}
}

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

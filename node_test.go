package caperlatch

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/standin"
	"caperlatch/internal/wire"
)

const (
	reportS = 1.0
	leaseS  = 8.0
	cancelS = 25.0
)

// cluster is some nodes with stand-ins for all around them.
type cluster struct {
	t     *testing.T
	net   *standin.Net
	pipes *standin.Pipes
	state *standin.State
	cloud *standin.Cloud
	rules *standin.Rules
	user  *http.Client

	mu    sync.Mutex
	dead  map[string]bool // senders that are no more
	tune  func(*settings.Settings)
	fault func(from string, r *http.Request) standin.Fault
	// faults counts the messages that met one, so that a test can show that it happened.
	faults int
	stops  []func()
	lives  []int
}

func nodeSettings(i, nodes int) *settings.Settings {
	s := &settings.Settings{Member: fmt.Sprintf("host-%d", i), ClientListen: "unused"}
	s.External.State, s.External.Cloud = "state", "cloud"
	s.Params = settings.Params{
		Zones:   []string{"a"},
		Teams:   []settings.Team{{Name: "blue"}, {Name: "small", CPUs: 2, CPUsMax: 4}},
		Workers: settings.Workers{ReportS: reportS, LeaseS: leaseS, CancelS: cancelS, GangWaitS: standin.GangWaitS, GangPeerS: standin.GangPeerS},
		State:   settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 6},
		Cloud:   settings.Cloud{RPS: 20, ListLagS: 1},
		Limits:  settings.Limits{CPU: 1, MemoryMB: 1000, MaxSockets: 1000},
	}
	for p := range nodes {
		if p != i {
			s.Peers = append(s.Peers, settings.Peer{Member: fmt.Sprintf("host-%d", p), Addr: fmt.Sprintf("host-%d", p)})
		}
	}
	return s
}

func newCluster(t *testing.T) *cluster { return newClusterOf(t, 3) }

func newClusterOf(t *testing.T, size int) *cluster {
	return newTunedCluster(t, size, func(*settings.Settings) {})
}

func newTunedCluster(t *testing.T, size int, tune func(*settings.Settings)) *cluster {
	c := &cluster{t: t, tune: tune, net: standin.NewNet(), pipes: standin.NewPipes(), state: standin.NewState(), dead: map[string]bool{},
		stops: make([]func(), size), lives: make([]int, size)}
	c.net.SetFault(func(from string, r *http.Request) standin.Fault {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.dead[from] {
			return standin.LostRequest
		}
		if c.fault != nil {
			f := c.fault(from, r)
			if f != standin.Pass {
				c.faults++
			}
			return f
		}
		return standin.Pass
	})
	nodes := make([]string, size)
	for i := range nodes {
		nodes[i] = fmt.Sprintf("host-%d:8080", i)
	}
	s := nodeSettings(0, size)
	tune(s)
	limits := map[string]float64{}
	for _, t := range s.Params.Teams {
		limits[t.Name] = t.CPUsMax
	}
	c.rules = standin.NewRules(time.Duration(s.Params.Workers.CancelS*float64(time.Second)), limits)
	c.cloud = standin.NewCloud(c.net, c.rules, nodes, s.Params.Workers.ReportS, s.Params.Workers.LeaseS, func(string) float64 { return 5 })
	c.state.Check = c.conditioned
	c.net.Handle("state", c.state)
	c.net.Handle("cloud", c.cloud)
	c.user = &http.Client{Transport: c.net.From("user")}
	for i := range size {
		c.start(i)
	}
	return c
}

// start begins a new life of a node.
func (c *cluster) start(i int) {
	c.lives[i]++
	member := fmt.Sprintf("host-%d", i)
	name := fmt.Sprintf("%s/%d", member, c.lives[i])
	s := nodeSettings(i, len(c.stops))
	c.tune(s)
	n := newNode(s, settings.DefaultTuning(), outside{
		services: c.net.From(name), workers: c.net.From(name),
		dial:   func(ctx context.Context, addr string) (net.Conn, error) { return c.pipes.Dial(ctx, member, addr) },
		listen: func() (net.Listener, error) { return c.pipes.Listen(member), nil },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.work(ctx)
	}()
	host := fmt.Sprintf("host-%d:8080", i)
	c.net.Handle(host, n.handler())
	c.stops[i] = func() {
		c.net.Handle(host, nil)
		c.mu.Lock()
		c.dead[name] = true
		c.mu.Unlock()
		cancel()
		<-done
	}
}

// kill ends a node as a crash would: nothing that it sends arrives any more.
func (c *cluster) kill(i int) { c.stops[i]() }

func (c *cluster) setFault(f func(from string, r *http.Request) standin.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// troubled counts what went wrong so far: messages that met a fault, and lives of nodes
// beyond the first.
func (c *cluster) troubled() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = c.faults
	for _, lives := range c.lives {
		n += lives - 1
	}
	return n
}

func (c *cluster) close() {
	c.setFault(nil)
	for i := range c.stops {
		c.kill(i)
	}
	c.cloud.Close()
	c.state.Close()
	c.net.WaitLate()
	time.Sleep(time.Minute) // all that still waits for an answer gives up
}

// leader is the index of the node that the state service names.
func (c *cluster) leader() int {
	for range 100 {
		var l struct {
			Member string `json:"member"`
		}
		if e, ok := c.state.Get("c/leader"); ok && wire.Unmarshal(e.Value, &l) == nil {
			var i int
			if _, err := fmt.Sscanf(l.Member, "host-%d", &i); err == nil {
				return i
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.t.Fatal("nobody leads")
	return -1
}

// token is the highest token given out, as stored.
func (c *cluster) token() uint64 {
	c.t.Helper()
	var n replica.Token
	if e, ok := c.state.Get(replica.TokenKey); !ok || wire.Unmarshal(e.Value, &n) != nil {
		c.t.Fatal("no token is stored")
	}
	return n.Token
}

// conditioned checks that no write can be carried out late to harm: each is conditioned
// on its key's version, and the leader's on its leader key.
func (c *cluster) conditioned(conditions []wire.Condition, keys []string) {
	has := func(key string, none bool) bool {
		return slices.ContainsFunc(conditions, func(x wire.Condition) bool { return x.Key == key && (none || x.Stamp != 0) })
	}
	for _, key := range keys {
		if !has(key, true) {
			c.t.Errorf("%s is written whatever its version", key)
		}
		of := func(prefix string) bool { return strings.HasPrefix(key, prefix) }
		if (of(replica.ProgressPrefix) || of(replica.BookingPrefix) || of(replica.UpPrefix) || key == replica.StaffingKey || key == replica.CatalogKey) &&
			!has(replica.LeaderKey, false) {
			c.t.Errorf("%s is written whoever leads", key)
		}
	}
}

func (c *cluster) request(method string, node int, path string, body any) (int, wire.JobStatus) {
	var r io.Reader
	submitted := ""
	if body != nil {
		b, err := wire.Marshal(body)
		if err != nil {
			panic(err)
		}
		r = bytes.NewReader(b)
		if spec, err := wire.ParseJob(b); err == nil {
			c.rules.Submits(spec)
		} else if id := wire.SubmittedID(b); id != "" {
			c.rules.SubmitsMalformed(id)
		}
		submitted = wire.SubmittedID(b)
	}
	id := cmp.Or(submitted, c.rules.Asks(path))
	sent := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://host-%d:8080%s", node, path), r)
	if err != nil {
		panic(err)
	}
	resp, err := c.user.Do(req)
	if err != nil {
		return 0, wire.JobStatus{}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, wire.JobStatus{}
	}
	var s wire.JobStatus
	if len(b) > 0 {
		_ = wire.Unmarshal(b, &s) // an error body has no status, which the callers see
	}
	if strings.HasPrefix(path, "/v1/jobs") {
		c.rules.Told(method, path, id, sent, resp.StatusCode, s)
	}
	return resp.StatusCode, s
}

func testJob(id string, tasks int) map[string]any {
	return map[string]any{
		"id": id, "lane": "l", "desk": "blue", "shape": "sweep", "rank": "normal", "pieces": tasks, "vcpus": 1.0, "cards": 0.0,
		"memory_gb": 1.0, "bundle": "img", "pull_gb": 1.0, "builds": nil, "hall": nil, "together": false, "scatter": false,
		"standby": true, "expect_s": 5.0, "save_every_s": 0.0, "store_s": 0.0,
	}
}

// submit repeats a submission, each time at the next node, until it is taken.
func (c *cluster) submit(id string, tasks int) { c.submitJob(testJob(id, tasks)) }

func (c *cluster) submitJob(job map[string]any) {
	c.t.Helper()
	for try := range 60 {
		if code, _ := c.request(http.MethodPost, try%len(c.stops), "/v1/jobs", job); code == http.StatusCreated || code == http.StatusOK {
			return
		}
		time.Sleep(time.Second)
	}
	c.t.Fatalf("%s was not accepted", job["id"])
}

// await polls, each time at the next node, until a job has a status.
func (c *cluster) await(id, status string, within time.Duration) {
	c.t.Helper()
	var last wire.JobStatus
	code := 0
	for begun, try := time.Now(), 0; time.Since(begun) < within; try++ {
		code, last = c.request(http.MethodGet, try%len(c.stops), "/v1/jobs/"+id, nil)
		if code == http.StatusNotFound {
			c.t.Fatalf("%s was forgotten", id)
		}
		if last.Status == status {
			return
		}
		time.Sleep(time.Second)
	}
	c.t.Fatalf("%s is %q (%d) after %v, want %s", id, last.Status, code, within, status)
}

func isState(r *http.Request) bool { return r.URL.Host == "state" }

// nth lets every nth request of a kind meet a fault.
func nth(n int, fault standin.Fault, match func(*http.Request) bool) func(string, *http.Request) standin.Fault {
	count := 0
	return func(from string, r *http.Request) standin.Fault {
		if strings.HasPrefix(from, "host") && match(r) {
			if count++; count%n == 0 {
				return fault
			}
		}
		return standin.Pass
	}
}

// TestNodes runs whole clusters through failures. In each case three jobs of
// five tasks are accepted before or during the trouble and must be done after
// it, with no task on two machines at a time.
func TestNodes(t *testing.T) {
	cases := []struct {
		name    string
		trouble func(c *cluster)
	}{
		{"quiet", func(*cluster) {}},
		{"the leader crashes", func(c *cluster) {
			i := c.leader()
			time.Sleep(2 * time.Second)
			c.kill(i)
			time.Sleep(10 * time.Second)
			c.start(i)
		}},
		// A restart within the hold's life must not wait for its end, and the
		// old life's token must not be used again.
		{"the leader restarts at once", func(c *cluster) {
			i := c.leader()
			time.Sleep(2 * time.Second)
			c.kill(i)
			c.start(i)
		}},
		{"all nodes crash", func(c *cluster) {
			time.Sleep(2 * time.Second)
			for i := range 3 {
				c.kill(i)
			}
			time.Sleep(5 * time.Second)
			for i := range 3 {
				c.start(i)
			}
		}},
		// What gets no answer may have been done.
		{"answers of the state service are lost", func(c *cluster) {
			c.setFault(nth(4, standin.LostAnswer, isState))
			time.Sleep(20 * time.Second)
		}},
		// What got no answer may be done later, after newer writes.
		{"transactions are applied late", func(c *cluster) {
			c.setFault(nth(3, standin.Late, func(r *http.Request) bool { return isState(r) && r.URL.Path == "/txn" }))
			time.Sleep(25 * time.Second)
		}},
		{"rentals are answered late", func(c *cluster) {
			c.setFault(nth(2, standin.Late, func(r *http.Request) bool { return r.URL.Path == "/hosts" && r.Method == http.MethodPost }))
			time.Sleep(20 * time.Second)
		}},
		{"the state service is down", func(c *cluster) {
			time.Sleep(time.Second)
			c.state.SetDown(true)
			time.Sleep(8 * time.Second)
			c.state.SetDown(false)
		}},
		// Not an outage: the holds run out meanwhile.
		{"the state service refuses every node", func(c *cluster) {
			time.Sleep(4 * time.Second)
			c.setFault(nth(1, standin.Refused, isState))
			time.Sleep(20 * time.Second)
		}},
		// The old leader is cut off while the others elect a new one.
		{"the leader is cut off from the state service", func(c *cluster) {
			prefix := fmt.Sprintf("host-%d/", c.leader())
			time.Sleep(2 * time.Second)
			c.setFault(func(from string, r *http.Request) standin.Fault {
				if strings.HasPrefix(from, prefix) && isState(r) {
					return standin.Refused
				}
				return standin.Pass
			})
			time.Sleep(15 * time.Second)
		}},
		// Longer than RenewFor: the peers' word keeps leases and placing alive.
		{"the state service is down for long", func(c *cluster) {
			time.Sleep(4 * time.Second)
			c.state.SetDown(true)
			time.Sleep(40 * time.Second)
			c.state.SetDown(false)
		}},
		{"the leader crashes while the state service is down", func(c *cluster) {
			i := c.leader()
			time.Sleep(4 * time.Second)
			c.state.SetDown(true)
			time.Sleep(3 * time.Second)
			c.kill(i)
			c.start(i)
			time.Sleep(12 * time.Second)
			c.state.SetDown(false)
		}},
		// The others pass the workers' reports on.
		{"no worker reaches the leader", func(c *cluster) {
			host := fmt.Sprintf("host-%d:8080", c.leader())
			c.setFault(func(from string, r *http.Request) standin.Fault {
				if strings.HasPrefix(from, "i-") && r.URL.Host == host {
					return standin.LostRequest
				}
				return standin.Pass
			})
			for i := 1; i <= 3; i++ {
				c.await(fmt.Sprintf("j-%06d", min(i, 2)), wire.JobDone, 90*time.Second)
			}
		}},
		{"a machine's reports are lost", func(c *cluster) {
			time.Sleep(3 * time.Second)
			if ws := c.cloud.Workers(); len(ws) > 0 {
				id := ws[0].ID
				c.setFault(func(from string, _ *http.Request) standin.Fault {
					if from == id {
						return standin.LostRequest
					}
					return standin.Pass
				})
			}
			time.Sleep(30 * time.Second)
		}},
		{"answers to reports are lost", func(c *cluster) {
			count := 0
			c.setFault(func(from string, _ *http.Request) standin.Fault {
				if strings.HasPrefix(from, "i-") {
					if count++; count%3 == 0 {
						return standin.LostAnswer
					}
				}
				return standin.Pass
			})
			time.Sleep(20 * time.Second)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { throughTrouble(t, 3, tc.trouble) })
	}
}

// throughTrouble has three jobs of five tasks accepted before and after a trouble.
func throughTrouble(t *testing.T, nodes int, trouble func(*cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, nodes)
		defer c.close()
		ids := []string{"j-000001", "j-000002", "j-000003"}
		c.submit(ids[0], 5)
		c.submit(ids[1], 5)
		trouble(c)
		c.setFault(nil)
		c.submit(ids[2], 5)
		for _, id := range ids {
			c.await(id, wire.JobDone, 90*time.Second)
		}
		c.answersAll(ids)
		if broken := c.cloud.Broken(); broken != nil {
			t.Error(broken)
		}
		if starts := c.cloud.Starts(); starts < 15 {
			t.Errorf("%d tasks were started for 15 that are done", starts)
		}
	})
}

// answersAll asks every node that calls itself ready about every job. A job about
// which no question is answered for 75 s counts as forgotten.
func (c *cluster) answersAll(ids []string) {
	c.t.Helper()
	for i := range c.stops {
		if code, _ := c.request(http.MethodGet, i, "/ready", nil); code != http.StatusOK {
			continue
		}
		for _, id := range ids {
			for begun, code := time.Now(), 0; code != http.StatusOK; time.Sleep(time.Second) {
				if code, _ = c.request(http.MethodGet, i, "/v1/jobs/"+id, nil); time.Since(begun) > 30*time.Second {
					c.t.Errorf("node %d does not answer about %s (%d)", i, id, code)
					break
				}
			}
		}
	}
}

// back restarts nodes within a fraction of a second.
func (c *cluster) back(nodes ...int) {
	for _, i := range nodes {
		c.kill(i)
	}
	time.Sleep(100 * time.Millisecond)
	for _, i := range nodes {
		c.start(i)
	}
}

// TestFiveNodes has troubles of a grown deployment: several of five nodes at once,
// elections broken off, copies of messages that come well over a lease late.
func TestFiveNodes(t *testing.T) {
	copies := func(c *cluster, every int, match func(from string, r *http.Request) bool) {
		count := 0
		c.setFault(func(from string, r *http.Request) standin.Fault {
			if match(from, r) {
				if count++; count%every == 0 {
					return standin.Copied
				}
			}
			return standin.Pass
		})
	}
	isReport := func(_ string, r *http.Request) bool { return r.URL.Path == "/hello" }
	cases := []struct {
		name    string
		trouble func(c *cluster)
	}{
		{"four of five crash", func(c *cluster) {
			i := c.leader()
			time.Sleep(2 * time.Second)
			for k := range 4 {
				c.kill((i + k) % 5)
			}
			time.Sleep(12 * time.Second)
			for k := range 4 {
				c.start((i + k) % 5)
			}
		}},
		// What a restarted node promised or held in its earlier life still binds.
		{"nodes are back at once, also in the midst of elections", func(c *cluster) {
			time.Sleep(2 * time.Second)
			for range 6 {
				i := c.leader()
				c.back(i, (i+1)%5)
				time.Sleep(700 * time.Millisecond)
				c.back((i+2)%5, (i+3)%5)
				time.Sleep(time.Second)
			}
		}},
		{"the same, with late copies of what they sent", func(c *cluster) {
			copies(c, 2, func(from string, r *http.Request) bool {
				return strings.HasPrefix(from, "host") && (r.URL.Path == "/txn" || r.Host != "state" && r.Method == http.MethodPost)
			})
			time.Sleep(2 * time.Second)
			for range 4 {
				i := c.leader()
				c.back(i, (i+1)%5)
				time.Sleep(1500 * time.Millisecond)
			}
			time.Sleep(20 * time.Second)
		}},
		{"late copies of reports", func(c *cluster) {
			copies(c, 2, isReport)
			time.Sleep(30 * time.Second)
		}},
		{"late copies of reports reach the next leader", func(c *cluster) {
			copies(c, 1, isReport)
			time.Sleep(6 * time.Second)
			i := c.leader()
			c.kill(i)
			time.Sleep(15 * time.Second)
			c.start(i)
		}},
		// What it holds must not start elsewhere while nobody knows.
		{"a machine is silent while another node takes over", func(c *cluster) {
			c.cloud.RunFor = func(string) float64 { return 25 }
			job := testJob("j-000004", 9)
			job["expect_s"] = 90.0 // for a fleet that has room
			c.request(http.MethodPost, 0, "/v1/jobs", job)
			for i := 0; i < 80 && c.cloud.Starts() < 19; i++ {
				time.Sleep(500 * time.Millisecond)
			}
			ws := c.cloud.Workers()
			if len(ws) < 4 {
				c.t.Fatalf("%d machines", len(ws))
			}
			silent := ws[0].ID
			c.setFault(func(from string, r *http.Request) standin.Fault {
				if from == silent || r.URL.Host == "cloud" {
					return standin.LostRequest
				}
				return standin.Pass
			})
			i := c.leader()
			c.kill(i)
			time.Sleep(7 * time.Second)
			c.setFault(nil)
			time.Sleep(10 * time.Second)
			c.start(i)
		}},
		// Its reports keep it looking healthy; its lease runs out all the same.
		{"answers and commands don't reach a machine", func(c *cluster) {
			time.Sleep(3 * time.Second)
			deaf := ""
			if ws := c.cloud.Workers(); len(ws) > 0 {
				deaf = ws[0].ID
			}
			c.setFault(func(from string, r *http.Request) standin.Fault {
				switch {
				case from == deaf && r.URL.Path == "/hello":
					return standin.LostAnswer
				case strings.HasPrefix(r.URL.Host, deaf+":"):
					return standin.LostRequest
				}
				return standin.Pass
			})
			for i := 1; i <= 2; i++ { // served by others while it lasts
				c.await(fmt.Sprintf("j-%06d", i), wire.JobDone, 90*time.Second)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { throughTrouble(t, 5, tc.trouble) })
	}
}

// TestCutLeader has the leader, or a follower, lose the state service and all other
// nodes but not its workers. A job is cancelled elsewhere: its tasks are gone in
// time although the node cannot know, and the workers find another node.
func TestCutLeader(t *testing.T) {
	for _, who := range []string{"leader", "follower", "leader, and no worker reaches another node"} {
		t.Run(who, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				size := 5
				if strings.HasSuffix(who, "another node") {
					size = 3 // or the lease would end while the worker asks the others
				}
				c := newClusterOf(t, size)
				defer c.close()
				c.cloud.RunFor = func(task string) float64 {
					if strings.HasPrefix(task, "j-000001/") {
						return 300
					}
					return 5
				}
				c.submit("j-000001", 4)
				for i := 0; i < 80 && c.cloud.Starts() < 4; i++ {
					time.Sleep(500 * time.Millisecond)
				}
				cut := c.leader()
				if who == "follower" {
					cut = (cut + 1) % size
				}
				member := fmt.Sprintf("host-%d", cut)
				c.pipes.Cut(func(from, to string) bool { return from == member || to == member })
				c.setFault(func(from string, r *http.Request) standin.Fault {
					switch {
					case strings.HasPrefix(from, member+"/") && isState(r), r.URL.Host == "cloud": // no return helps either
						return standin.LostRequest
					case strings.HasPrefix(from, "i-") && r.URL.Host != member+":8080" && strings.HasSuffix(who, "another node"):
						return standin.Refused
					}
					return standin.Pass
				})
				time.Sleep(12 * time.Second) // until no watch that was open before is left
				code := 0
				for i := 0; i < 20 && code != http.StatusOK; i++ {
					code, _ = c.request(http.MethodPost, (cut+2)%size, "/v1/jobs/j-000001/abort", nil)
					time.Sleep(500 * time.Millisecond)
				}
				if code != http.StatusOK {
					t.Fatalf("abort answered %d", code)
				}
				time.Sleep(time.Duration(cancelS) * time.Second)
				if on := c.cloud.OnMachines(); len(on) > 0 {
					t.Errorf("still on machines: %v", on)
				}
				// Its users are to go elsewhere, too.
				for i := range size {
					if code, _ := c.request(http.MethodGet, i, "/ready", nil); (code == http.StatusOK) != (i != cut) {
						t.Errorf("node %d says %d to whether it is ready; %d is cut off", i, code, cut)
					}
				}
				// The cut lasts; others serve the workers.
				c.setFault(func(from string, r *http.Request) standin.Fault {
					if strings.HasPrefix(from, member+"/") && isState(r) {
						return standin.LostRequest
					}
					return standin.Pass
				})
				if code, _ := c.request(http.MethodPost, (cut+2)%size, "/v1/jobs", testJob("j-000002", 3)); code != http.StatusCreated {
					t.Fatalf("submission answered %d", code)
				}
				for i := 0; i < 90; i++ {
					if _, s := c.request(http.MethodGet, (cut+1)%size, "/v1/jobs/j-000002", nil); s.Status == wire.JobDone {
						break
					}
					time.Sleep(time.Second)
				}
				if _, s := c.request(http.MethodGet, (cut+1)%size, "/v1/jobs/j-000002", nil); s.Status != wire.JobDone {
					t.Errorf("a job submitted during the cut is %q", s.Status)
				}
				if broken := c.cloud.Broken(); broken != nil {
					t.Error(broken)
				}
			})
		})
	}
}

// TestDoubleSubmission has one job submitted at two nodes at once: it is one
// job, each of whose tasks runs once.
func TestDoubleSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.submit("j-000009", 1) // the catalog is known from here on
		// At the nodes that follow a little later: until then they may answer 503.
		time.Sleep(2 * time.Second)
		codes := make([]int, 2)
		var wg sync.WaitGroup
		for i := range codes {
			wg.Go(func() { codes[i], _ = c.request(http.MethodPost, i, "/v1/jobs", testJob("j-000001", 4)) })
		}
		wg.Wait()
		if codes[0]+codes[1] != http.StatusCreated+http.StatusOK {
			t.Errorf("answers %v, want one 201 and one 200", codes)
		}
		c.await("j-000001", wire.JobDone, time.Minute)
		if n := c.cloud.Starts(); n != 5 {
			t.Errorf("%d starts for 5 tasks", n)
		}
		// A repeat gets 200 whatever else it says, also after the end.
		if code, s := c.request(http.MethodPost, 2, "/v1/jobs", map[string]any{"id": "j-000001"}); code != http.StatusOK || s.Status != wire.JobDone {
			t.Errorf("repeat answered %d %q", code, s.Status)
		}
		if code, _ := c.request(http.MethodGet, 1, "/v1/jobs/j-777777", nil); code != http.StatusNotFound {
			t.Errorf("unknown job answered %d", code)
		}
	})
}

// TestAbort cancels a job whose tasks run and whose starts are on their way:
// they are gone within cancel_s, and the job stays cancelled everywhere.
func TestAbort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.cloud.RunFor = func(string) float64 { return 300 }
		c.submit("j-000001", 12)
		for i := 0; i < 60 && c.cloud.Starts() == 0; i++ {
			time.Sleep(500 * time.Millisecond)
		}
		if c.cloud.Starts() == 0 {
			t.Fatal("nothing was started")
		}
		if code, s := c.request(http.MethodPost, 1, "/v1/jobs/j-000001/abort", nil); code != http.StatusOK || s.Status != wire.JobCancelled {
			t.Fatalf("abort answered %d %q", code, s.Status)
		}
		for i := range 3 {
			if _, s := c.request(http.MethodGet, i, "/v1/jobs/j-000001", nil); s.Status != wire.JobCancelled {
				t.Errorf("node %d says %q right after the abort", i, s.Status)
			}
		}
		time.Sleep(time.Duration(cancelS) * time.Second)
		if on := c.cloud.OnMachines(); len(on) > 0 {
			t.Errorf("still on machines: %v", on)
		}
		c.await("j-000001", wire.JobCancelled, 5*time.Second)
	})
}

// TestUnseenAbort cancels a job while the leader's hold lives but its watch hangs
// and no peer can tell it: it must stop renewing leases in time.
func TestUnseenAbort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		for i := range 3 { // a new life has no streams yet
			c.kill(i)
		}
		c.pipes.Cut(func(string, string) bool { return true })
		for i := range 3 {
			c.start(i)
		}
		c.cloud.RunFor = func(string) float64 { return 300 }
		c.submit("j-000001", 2)
		for i := 0; i < 60 && c.cloud.Starts() < 2; i++ {
			time.Sleep(500 * time.Millisecond)
		}
		leading := c.leader()
		prefix := fmt.Sprintf("host-%d/", leading)
		c.setFault(func(from string, r *http.Request) standin.Fault {
			if strings.HasPrefix(from, prefix) && r.URL.Path == "/watch" {
				return standin.LostRequest
			}
			return standin.Pass
		})
		time.Sleep(12 * time.Second) // until no watch that was open before is left
		if code, _ := c.request(http.MethodPost, (leading+1)%3, "/v1/jobs/j-000001/abort", nil); code != http.StatusOK {
			t.Fatalf("abort answered %d", code)
		}
		if on := c.cloud.OnMachines(); len(on) != 2 {
			t.Fatalf("on machines before the test begins: %v", on)
		}
		time.Sleep(time.Duration(cancelS) * time.Second)
		if on := c.cloud.OnMachines(); len(on) > 0 {
			t.Errorf("still on machines: %v", on)
		}
	})
}

// TestOutagePlacing has the state service away for everyone: on the peers' word
// the leader goes on placing tasks of known jobs.
func TestOutagePlacing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.submit("j-000001", 60)
		for i := 0; i < 60 && c.cloud.Starts() == 0; i++ {
			time.Sleep(500 * time.Millisecond)
		}
		c.state.SetDown(true)
		time.Sleep(10 * time.Second) // the leader can no longer count on its hold
		before := c.cloud.Starts()
		time.Sleep(15 * time.Second)
		if after := c.cloud.Starts(); after <= before {
			t.Errorf("%d tasks were started before and %d after", before, after)
		}
		c.state.SetDown(false)
		c.await("j-000001", wire.JobDone, 3*time.Minute)
		if broken := c.cloud.Broken(); broken != nil {
			t.Error(broken)
		}
	})
}

// TestManyQuestions has users ask very often while the state service refuses every other
// read for its rate limit: questions share reads, each is answered, and the followers'
// watches leave room for them.
func TestManyQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, 5)
		defer c.close()
		c.cloud.RunFor = func(string) float64 { return 60 }
		c.submit("j-000001", 4)
		time.Sleep(5 * time.Second)
		var mu sync.Mutex
		reads, watches, answers := 0, 0, map[int]int{}
		readsOf := map[string]int{}
		c.setFault(func(from string, r *http.Request) standin.Fault {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.URL.Path == "/watch" && strings.Contains(r.URL.RawQuery, "wait_ms=0"):
				reads++
				if readsOf[from]++; readsOf[from]%2 == 0 {
					return standin.TooMany
				}
			case r.URL.Path == "/watch":
				watches++
			}
			return standin.Pass
		})
		var wg sync.WaitGroup
		for n := range 1000 { // in 20 s
			if n%10 == 0 { // changes for the watches
				go c.request(http.MethodPost, n/10%5, "/v1/jobs", testJob(fmt.Sprintf("j-1%05d", n), 1))
			}
			wg.Go(func() {
				code, _ := c.request(http.MethodGet, n%5, "/v1/jobs/j-000001", nil)
				mu.Lock()
				defer mu.Unlock()
				answers[code]++
			})
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
		if answers[http.StatusOK] < 990 {
			t.Errorf("answers: %v", answers)
		}
		if reads > 800 || watches > 400 {
			t.Errorf("%d reads and %d watches for 1000 questions and 100 jobs in 20 s", reads, watches)
		}
	})
}

// TestOrdinaryOnly has a job that may not use spot machines come to a fleet of
// idle spot machines: it must get an ordinary one, not starve beside them.
func TestOrdinaryOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.submit("j-000001", 4)
		c.await("j-000001", wire.JobDone, time.Minute)
		job := testJob("j-000002", 2)
		job["standby"] = false
		if code, _ := c.request(http.MethodPost, 0, "/v1/jobs", job); code != http.StatusCreated {
			t.Fatalf("submission answered %d", code)
		}
		c.await("j-000002", wire.JobDone, 2*time.Minute)
	})
}

// TestZoneBound has jobs whose tasks bind each other to zones, or keep each other out, run
// where the other zone has room: machines must be rented in the zone where the next task may
// start. Once they came up in the other one, one after the other, for up to 150 s.
func TestZoneBound(t *testing.T) {
	for _, bind := range []string{"together", "scatter"} {
		synctest.Test(t, func(t *testing.T) {
			c := newTunedCluster(t, 3, func(s *settings.Settings) { s.Params.Zones = []string{"a", "b"} })
			defer c.close()
			c.cloud.Zones = []string{"a", "b"}
			c.rules.Offers[0].Zones = c.cloud.Zones
			c.cloud.RunFor = func(string) float64 { return 400 }
			first, second := testJob("j-000001", 6), testJob("j-000002", 6)
			first["together"], second[bind] = true, true
			first["expect_s"], second["expect_s"] = 200.0, 200.0 // for a fleet with room
			c.submitJob(first)
			time.Sleep(5 * time.Second)
			c.submitJob(second)
			begun := time.Now()
			for len(c.on("j-000002/")) < 6 && time.Since(begun) < 2*time.Minute {
				time.Sleep(200 * time.Millisecond)
			}
			if took := time.Since(begun); took > 30*time.Second {
				t.Errorf("%s: %d of 6 tasks run after %v", bind, len(c.on("j-000002/")), took)
			}
			if broken := c.cloud.Broken(); broken != nil {
				t.Error(broken)
			}
		})
	}
}

// TestTeamLimit has a team with room for four CPUs and a job of more.
func TestTeamLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.submit("j-000009", 1)
		time.Sleep(time.Second) // until every node knows the catalog
		job := testJob("j-000001", 12)
		job["desk"] = "small"
		if code, _ := c.request(http.MethodPost, 0, "/v1/jobs", job); code != http.StatusCreated {
			t.Fatalf("submission answered %d", code)
		}
		most := 0
		for range 240 { // a minute
			time.Sleep(250 * time.Millisecond)
			own := slices.DeleteFunc(c.cloud.OnMachines(), func(task string) bool { return !strings.HasPrefix(task, "j-000001/") })
			most = max(most, len(own))
		}
		c.await("j-000001", wire.JobDone, time.Minute)
		if most > 4 {
			t.Errorf("%d tasks of a team with a limit of 4 at once", most)
		}
	})
}

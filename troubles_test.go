package caperlatch

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
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

// from tells whether a sender is a node, in any of its lives.
func fromNode(from string, node int) bool {
	return strings.HasPrefix(from, fmt.Sprintf("host-%d/", node))
}

// tally counts what happened by name, so that a test can show that its troubles met.
type tally struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *tally) add(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]int{}
	}
	c.n[name]++
	return c.n[name]
}

func (c *tally) of(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[name]
}

// broken reports the rules that were broken.
func (c *cluster) broken() {
	c.t.Helper()
	for _, rule := range c.rules.Broken() {
		c.t.Error(rule)
	}
}

// lookClosely asks all nodes about a job again and again within milliseconds, and
// repeats its submission and, if it is to be cancelled, its cancellation.
func (c *cluster) lookClosely(job map[string]any, cancel bool, for_ time.Duration, seen *tally) {
	id := job["id"].(string)
	var wg sync.WaitGroup
	for begun, n := time.Now(), 0; time.Since(begun) < for_; n++ {
		for node := range c.stops {
			wg.Go(func() {
				code := 0
				switch {
				case n%4 == 3:
					code, _ = c.request(http.MethodPost, node, "/v1/jobs", job)
				case n%4 == 1 && cancel:
					code, _ = c.request(http.MethodPost, node, "/v1/jobs/"+id+"/abort", nil)
				default:
					code, _ = c.request(http.MethodGet, node, "/v1/jobs/"+id, nil)
				}
				seen.add(fmt.Sprintf("node %d: %d", node, code))
			})
		}
		time.Sleep(7 * time.Millisecond)
	}
	wg.Wait()
}

// TestCloseLooks has users ask at all nodes, repeat submissions and cancel, within
// milliseconds of what another node told: no node may answer something older, also one
// that is behind.
func TestCloseLooks(t *testing.T) {
	const odd = 2 // the node that is in trouble
	watches := func(r *http.Request) bool {
		return r.URL.Path == "/watch" && !strings.Contains(r.URL.RawQuery, "wait_ms=0")
	}
	cases := []struct {
		name    string
		trouble func(c *cluster, held *tally) // before each look
		refuses bool                          // the odd node cannot know
	}{
		{"no other trouble", func(*cluster, *tally) {}, false},
		{"a node's watch is held", func(c *cluster, held *tally) {
			c.setFault(func(from string, r *http.Request) standin.Fault {
				if fromNode(from, odd) && watches(r) {
					held.add("held")
					return standin.LostRequest
				}
				return standin.Pass
			})
		}, false},
		{"a node has just started", func(c *cluster, held *tally) {
			held.add("held")
			c.kill(odd)
			c.start(odd)
		}, false},
		{"a node is cut from the state service", func(c *cluster, held *tally) {
			c.setFault(func(from string, r *http.Request) standin.Fault {
				if fromNode(from, odd) && isState(r) {
					held.add("held")
					return standin.Refused
				}
				return standin.Pass
			})
		}, true},
		{"every other answer to a transaction is lost", func(c *cluster, held *tally) {
			c.setFault(func(_ string, r *http.Request) standin.Fault {
				if r.URL.Path == "/txn" && held.add("held")%2 == 1 {
					return standin.LostAnswer
				}
				return standin.Pass
			})
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RunFor = func(task string) float64 {
					if strings.HasPrefix(task, "j-00000") {
						return 4
					}
					return 100
				}
				c.submit("j-000009", 1) // the catalog is known, and there are machines
				if c.leader() == odd {
					c.back(odd)
					time.Sleep(5 * time.Second)
				}
				c.await("j-000009", wire.JobDone, time.Minute)
				var held, seen tally
				tc.trouble(c, &held)
				time.Sleep(12 * time.Second) // until no watch that was open before is left
				for n := range 4 {
					tc.trouble(c, &held)
					ends, doomed := testJob(fmt.Sprintf("j-00000%d", n+1), 1), testJob(fmt.Sprintf("j-10000%d", n+1), 1)
					for i, job := range []map[string]any{ends, doomed} {
						for range 20 {
							if code, _ := c.request(http.MethodPost, n%2, "/v1/jobs", job); code == http.StatusCreated || code == http.StatusOK {
								break
							}
						}
						c.lookClosely(job, i == 1 && n%2 == 1, 400*time.Millisecond, &seen)
					}
					time.Sleep(time.Duration(n) * 300 * time.Millisecond)
					for range 20 {
						if code, _ := c.request(http.MethodPost, (n+1)%2, "/v1/jobs/"+doomed["id"].(string)+"/abort", nil); code == http.StatusOK {
							break
						}
					}
					c.lookClosely(doomed, false, 300*time.Millisecond, &seen)
					// Until it ends, and well after; half of them are called off then.
					c.lookClosely(ends, false, 3*time.Second, &seen)
					c.lookClosely(ends, n%2 == 0, 4*time.Second, &seen)
					for code, s := 0, (wire.JobStatus{}); s.Status != wire.JobDone && s.Status != wire.JobCancelled; time.Sleep(200 * time.Millisecond) {
						if code, s = c.request(http.MethodGet, 0, "/v1/jobs/"+ends["id"].(string), nil); code == http.StatusNotFound {
							break
						}
					}
					c.lookClosely(ends, true, 300*time.Millisecond, &seen)
				}
				if tc.name != cases[0].name && held.of("held") == 0 {
					t.Error("nothing was held")
				}
				ok, refused := seen.of(fmt.Sprintf("node %d: 200", odd)), seen.of(fmt.Sprintf("node %d: 503", odd))
				if !tc.refuses && ok < 1000 || tc.refuses && refused < 1000 {
					t.Errorf("the odd node answered 200 %d times and 503 %d times: %v", ok, refused, seen.n)
				}
				c.setFault(nil)
				c.broken()
			})
		})
	}
}

// TestCancelAtEnd has users cancel, ask and repeat submissions at the very moment at which
// a job's last task ends, at different nodes: whichever is decided, all say the same.
func TestCancelAtEnd(t *testing.T) {
	for _, nodes := range []int{3, 5} {
		synctest.Test(t, func(t *testing.T) {
			c := newClusterOf(t, nodes)
			defer c.close()
			c.cloud.RunFor = func(string) float64 { return 3 }
			c.submit("j-000009", 1)
			c.await("j-000009", wire.JobDone, time.Minute)
			results := map[string]int{}
			var seen tally
			for n := range 30 {
				job := testJob(fmt.Sprintf("j-%06d", 100+n), 1)
				c.runJob(job)
				id := job["id"].(string)
				for c.running(id) > 0 {
					time.Sleep(10 * time.Millisecond)
				}
				// Its end is reported half a second later at most, and stored after that.
				time.Sleep(time.Duration(n) * 40 * time.Millisecond)
				var wg sync.WaitGroup
				wg.Go(func() { c.lookClosely(job, false, 600*time.Millisecond, &seen) })
				for node := range nodes {
					wg.Go(func() { c.cancelJob(id, node) })
				}
				wg.Wait()
				_, s := c.request(http.MethodGet, n%nodes, "/v1/jobs/"+id, nil)
				results[s.Status]++
			}
			if results[wire.JobDone] < 3 || results[wire.JobCancelled] < 3 {
				t.Errorf("%d nodes: ended as %v, want some of both", nodes, results)
			}
			c.broken()
		})
	}
}

// TestZones has jobs that are bound to one zone, or spread over zones, lose machines as a
// zone with a node is cut off for longer than lease_s, and the leader is in it or not.
func TestZones(t *testing.T) {
	cases := []struct {
		name    string
		leads   bool // the leader is in the zone that is cut off
		returns bool // the cloud takes machines back meanwhile
	}{
		{"the leader is cut off with its zone", true, true},
		{"a follower is cut off with its zone", false, true},
		{"a follower is cut off with its zone, and no return is answered", false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTunedCluster(t, 5, func(s *settings.Settings) { s.Params.Zones = []string{"a", "b"} })
				defer c.close()
				c.cloud.Zones = []string{"a", "b"}
				c.rules.Offers[0].Zones = c.cloud.Zones
				c.cloud.FetchS = 1
				c.cloud.RunFor = func(string) float64 { return 40 }
				time.Sleep(3 * time.Second)
				for n, bind := range []map[string]any{{"together": true}, {"scatter": true}, {"hall": "a"}, {"hall": "b"}, {}} {
					job := testJob(fmt.Sprintf("j-00000%d", n+1), 6)
					job["expect_s"] = 200.0
					for k, v := range bind {
						job[k] = v
					}
					c.submitJob(job)
				}
				time.Sleep(15 * time.Second)
				inside := c.leader()
				if !tc.leads {
					inside = (inside + 1) % 5
				}
				zones := map[string]string{}
				for _, w := range c.cloud.Workers() {
					zones[w.ID] = w.Zone()
				}
				host := fmt.Sprintf("host-%d", inside)
				// Where a name is; the services and users are in no zone.
				cutOff := func(name string) bool {
					return zones[machineOf(name)] == "a" || strings.HasPrefix(name, host+"/") || strings.HasPrefix(name, host+":")
				}
				var cut tally
				c.pipes.Cut(func(from, to string) bool { return (from == host) != (to == host) })
				c.setFault(func(from string, r *http.Request) standin.Fault {
					if cutOff(from) != cutOff(r.URL.Host) {
						cut.add("cut")
						return standin.LostRequest
					}
					if r.URL.Path == "/hosts/return" && !tc.returns {
						return standin.Refused
					}
					return standin.Pass
				})
				held := 0
				for i := 0; i < int(leaseS)+10; i++ {
					time.Sleep(time.Second)
					for _, w := range c.cloud.Workers() {
						if zones[w.ID] == "a" {
							held += len(w.Tasks())
						}
					}
				}
				c.setFault(nil)
				c.pipes.Cut(func(string, string) bool { return false })
				if cut.of("cut") == 0 || held == 0 {
					t.Errorf("%d messages were cut, %d tasks seen in the zone", cut.of("cut"), held)
				}
				for n := range 5 {
					c.await(fmt.Sprintf("j-00000%d", n+1), wire.JobDone, 5*time.Minute)
				}
				c.broken()
			})
		})
	}
}

// TestOddRequests has users send what cannot be, at every node: also at one that has just
// started, and at nodes that know the machine types from the store alone.
func TestOddRequests(t *testing.T) {
	with := func(field string, value any) func(map[string]any) {
		return func(job map[string]any) { job[field] = value }
	}
	without := func(field string) func(map[string]any) {
		return func(job map[string]any) { delete(job, field) }
	}
	odd := []struct {
		name string
		edit func(map[string]any)
		want int
	}{
		{"no image", without("bundle"), http.StatusBadRequest},
		{"no number of tasks", without("pieces"), http.StatusBadRequest},
		{"no estimate", without("expect_s"), http.StatusBadRequest},
		{"too many tasks", with("pieces", 100001), http.StatusBadRequest},
		{"an unknown priority", with("rank", "high"), http.StatusBadRequest},
		{"an unknown team", with("desk", "nobody's"), http.StatusUnprocessableEntity},
		{"more than any machine has", with("vcpus", 5.0), http.StatusUnprocessableEntity},
		{"cards where no machine has any", with("cards", 1.0), http.StatusUnprocessableEntity},
		{"a zone that there is not", with("hall", "z"), http.StatusUnprocessableEntity},
		{"a type that there is not", with("builds", []string{"m5"}), http.StatusUnprocessableEntity},
		{"more than its team may use", func(job map[string]any) { job["desk"], job["vcpus"] = "small", 4.5 }, http.StatusUnprocessableEntity},
		{"an unknown shape", with("shape", "band"), http.StatusBadRequest},
		{"a shape that is a number", with("shape", 7), http.StatusBadRequest},
		{"a gang of half a task", func(job map[string]any) { job["shape"], job["pieces"] = "gang", 0.5 }, http.StatusBadRequest},
		{"a gang whose flag is a number", func(job map[string]any) { job["shape"], job["together"] = "gang", 1 }, http.StatusBadRequest},
		{"a gang whose number of tasks is text", func(job map[string]any) { job["shape"], job["pieces"] = "gang", "3" }, http.StatusBadRequest},
		{"a gang without a number of tasks", func(job map[string]any) { job["shape"] = "gang"; delete(job, "pieces") }, http.StatusBadRequest},
		{"a gang that needs more than its team may use, each task less", func(job map[string]any) {
			job["shape"], job["desk"], job["pieces"], job["vcpus"] = "gang", "small", 5, 1.0
		}, http.StatusUnprocessableEntity},
		{"a gang of which a task fits no machine", func(job map[string]any) { job["shape"], job["vcpus"] = "gang", 5.0 }, http.StatusUnprocessableEntity},
	}
	cases := []struct {
		name    string
		trouble func(c *cluster)
		refuses bool // the catalog is not known
	}{
		{"no trouble", func(*cluster) {}, false},
		{"all have just started, and the cloud is away", func(c *cluster) {
			c.setFault(func(_ string, r *http.Request) standin.Fault {
				if r.URL.Host == "cloud" {
					return standin.Refused
				}
				return standin.Pass
			})
			c.back(0, 1, 2)
			time.Sleep(2 * time.Second)
		}, false},
		{"nobody knows the catalog", func(c *cluster) {
			c.setFault(func(_ string, r *http.Request) standin.Fault {
				if r.URL.Host == "cloud" {
					return standin.Refused
				}
				return standin.Pass
			})
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				if tc.refuses {
					tc.trouble(c)
					time.Sleep(5 * time.Second)
				} else {
					c.submit("j-000001", 1)
					c.await("j-000001", wire.JobDone, time.Minute)
					tc.trouble(c)
				}
				for i, o := range odd {
					for node := range c.stops {
						job := testJob(fmt.Sprintf("j-%06d", 100+i), 1)
						o.edit(job)
						want := o.want
						if tc.refuses && want == http.StatusUnprocessableEntity {
							want = http.StatusServiceUnavailable
						}
						if code, _ := c.request(http.MethodPost, node, "/v1/jobs", job); code != want {
							t.Errorf("%s: node %d answers %d, want %d", o.name, node, code, want)
						}
						if code, _ := c.request(http.MethodGet, node, "/v1/jobs/"+job["id"].(string), nil); code != http.StatusNotFound {
							t.Errorf("%s: node %d answers %d about what it refused", o.name, node, code)
						}
						if code, _ := c.request(http.MethodPost, node, "/v1/jobs/"+job["id"].(string)+"/abort", nil); code != http.StatusNotFound {
							t.Errorf("%s: node %d answers %d to cancelling what it refused", o.name, node, code)
						}
						if tc.refuses {
							continue
						}
						// The repeat of an accepted job is answered whatever it says.
						job["id"] = "j-000001"
						if code, s := c.request(http.MethodPost, node, "/v1/jobs", job); code != http.StatusOK || s.Status != wire.JobDone {
							t.Errorf("%s: node %d answers %d %q to the repeat of a job that is done", o.name, node, code, s.Status)
						}
						if code, s := c.request(http.MethodPost, node, "/v1/jobs/j-000001/abort", nil); code != http.StatusOK || s.Status != wire.JobDone {
							t.Errorf("node %d answers %d %q to cancelling a job that is done", node, code, s.Status)
						}
					}
				}
				c.broken()
			})
		})
	}
}

// TestLostAnswers has each kind of write carried out at once and only its answer lost,
// while all nodes read what it wrote: a repeat that fails for its condition may mean that
// the first one was carried out.
func TestLostAnswers(t *testing.T) {
	kinds := []struct {
		name  string
		match func(r *http.Request) bool
	}{
		{"intake", func(r *http.Request) bool { return contains(r, "c/j/") && contains(r, "pieces") }},
		{"cancellations", func(r *http.Request) bool { return contains(r, "cancelled by its user") }},
		{"ends", func(r *http.Request) bool { return contains(r, "all tasks done") }},
		{"progress", func(r *http.Request) bool { return contains(r, "c/p/") }},
		{"bookings", func(r *http.Request) bool { return contains(r, "c/b/") }},
		{"lists of machines", func(r *http.Request) bool { return contains(r, "c/u/") }},
		{"the leader key and the token", func(r *http.Request) bool { return contains(r, "c/token") }},
		{"holds", func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/holds") }},
	}
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			meet(t, 3, func(c *cluster, cancel func()) {
				var lost, seen tally
				fault := func(from string, r *http.Request) standin.Fault {
					if isState(r) && k.match(r) && lost.add("lost")%3 != 0 {
						return standin.LostAnswer
					}
					return standin.Pass
				}
				c.setFault(fault)
				look := func() {
					var wg sync.WaitGroup
					for id := range meetingTasks {
						if id != "j-000004" {
							job := testJob(id, len(meetingTasks[id]))
							job["expect_s"] = 200.0
							wg.Go(func() { c.lookClosely(job, false, 100*time.Millisecond, &seen) })
						}
					}
					wg.Wait()
				}
				c.submit("j-000010", 2) // after the fault was set
				time.Sleep(6 * time.Second)
				look()
				c.back(c.leader()) // so that a leader key and holds are among the writes
				time.Sleep(time.Second)
				cancel()
				for range 8 {
					look()
					time.Sleep(100 * time.Millisecond)
				}
				c.back(c.leader())
				for range 10 {
					time.Sleep(900 * time.Millisecond)
					look()
				}
				if n := lost.of("lost"); n < 2 {
					c.t.Errorf("only %d such writes were seen", n)
				}
			})
		})
	}
}

// held keeps bodies of reports that were sent, to be sent again later.
type heldReports struct {
	mu     sync.Mutex
	bodies [][]byte
}

func (h *heldReports) keep(r *http.Request) {
	body, err := r.GetBody()
	if err != nil {
		return
	}
	b, err := io.ReadAll(body)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bodies = append(h.bodies, b)
}

// all decodes the reports that a test wants.
func (h *heldReports) all(want func(*wire.Report) bool) (bodies [][]byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.bodies {
		var r wire.Report
		if wire.Unmarshal(b, &r) == nil && want(&r) {
			bodies = append(bodies, b)
		}
	}
	return bodies
}

// deliver sends reports to every node.
func (c *cluster) deliver(bodies [][]byte) (answered int) {
	for _, b := range bodies {
		for node := range c.stops {
			resp, err := c.user.Post(fmt.Sprintf("http://host-%d:8080/hello", node), wire.ContentType, bytes.NewReader(b))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					answered++
				}
			}
		}
	}
	return answered
}

// machineOf is the machine's name in a sender or a host, empty if it is none.
func machineOf(name string) string {
	id, _, _ := strings.Cut(name, ":")
	if strings.HasPrefix(id, "i-") {
		return id
	}
	return ""
}

// ledAfter waits until another leader leads than the one with this token.
func (c *cluster) ledAfter(token uint64) {
	c.t.Helper()
	for range 200 {
		if _, ok := c.state.Get(replica.LeaderKey); ok && c.token() > token {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatal("nobody leads")
}

// runJob submits a job of long tasks to the cluster until all of them run.
func (c *cluster) runJob(job map[string]any) {
	c.t.Helper()
	for try := range 60 {
		if code, _ := c.request(http.MethodPost, try%len(c.stops), "/v1/jobs", job); code == http.StatusCreated || code == http.StatusOK {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	for range 120 {
		if c.running(job["id"].(string)) == job["pieces"] {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	c.t.Fatalf("%s does not run: %v", job["id"], c.cloud.OnMachines())
}

// running counts the tasks of a job that are on machines.
func (c *cluster) running(id string) (n int) {
	for _, task := range c.cloud.OnMachines() {
		if strings.HasPrefix(task, id+"/") {
			n++
		}
	}
	return n
}

// holders are the machines that have tasks of a job.
func (c *cluster) holders(id string) (ws []*standin.Worker) {
	for _, w := range c.cloud.Workers() {
		if slices.ContainsFunc(w.Tasks(), func(task string) bool { return strings.HasPrefix(task, id+"/") }) {
			ws = append(ws, w)
		}
	}
	slices.SortFunc(ws, func(a, b *standin.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return ws
}

// cancelJob repeats a cancellation until it is confirmed.
func (c *cluster) cancelJob(id string, first int) {
	c.t.Helper()
	for try := range 200 {
		code, _ := c.request(http.MethodPost, (first+try)%len(c.stops), "/v1/jobs/"+id+"/abort", nil)
		if code == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("%s could not be cancelled", id)
}

// cutMachines has nothing pass between these machines and the nodes; the cloud takes
// nothing back, or its answer would prove the machines gone.
func cutMachines(ids map[string]bool, cut *tally) func(string, *http.Request) standin.Fault {
	return func(from string, r *http.Request) standin.Fault {
		if ids[machineOf(from)] || ids[machineOf(r.URL.Host)] {
			cut.add("cut")
			return standin.LostRequest
		}
		if r.URL.Path == "/hosts/return" {
			return standin.Refused
		}
		return standin.Pass
	}
}

// TestFullTeams has a team at its limit whose job is cancelled while its machines cannot
// be reached, or hang, and the leader changes, once and again. The team's next job waits
// until what may still run there is surely gone.
func TestFullTeams(t *testing.T) {
	cases := []struct {
		name    string
		hang    bool // else cut off
		changes []time.Duration
		before  bool // cancelled before the first change
	}{
		{"cut off, one change", false, []time.Duration{0}, true},
		{"cut off, two changes", false, []time.Duration{0, 2 * time.Second}, true},
		{"cut off, cancelled after the change", false, []time.Duration{0, 3 * time.Second}, false},
		{"hang, one change", true, []time.Duration{0}, true},
		{"hang, two changes", true, []time.Duration{0, 300 * time.Millisecond}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClusterOf(t, 5)
				defer c.close()
				c.cloud.RunFor = func(task string) float64 {
					if strings.HasPrefix(task, "j-000009/") {
						return 30
					}
					return 300
				}
				idle := testJob("j-000009", 8) // machines that stay in reach
				idle["expect_s"] = 200.0
				c.runJob(idle)
				full := testJob("j-000001", 4)
				full["desk"], full["expect_s"] = "small", 200.0
				c.runJob(full)
				time.Sleep(2 * time.Second)
				ids := map[string]bool{}
				for _, w := range c.holders("j-000001") {
					ids[w.ID] = true
				}
				var cut tally
				stillOn := 0
				if tc.hang {
					c.setFault(cutMachines(nil, &cut))
					for _, w := range c.holders("j-000001") {
						w.Hang(7 * time.Second)
					}
				} else {
					c.setFault(cutMachines(ids, &cut))
				}
				if tc.before {
					c.cancelJob("j-000001", 0)
				}
				for i, pause := range tc.changes {
					time.Sleep(pause)
					before := c.token()
					c.back(c.leader())
					if i == 0 && !tc.before {
						c.cancelJob("j-000001", 1)
					}
					next := testJob(fmt.Sprintf("j-00000%d", 2+i), 4)
					next["desk"] = "small"
					for try := range 40 {
						if code, _ := c.request(http.MethodPost, try%5, "/v1/jobs", next); code == http.StatusCreated || code == http.StatusOK {
							break
						}
						time.Sleep(100 * time.Millisecond)
					}
					c.ledAfter(before)
					stillOn += c.running("j-000001")
				}
				time.Sleep(4 * time.Second)
				c.setFault(nil)
				if stillOn < 4*len(tc.changes) {
					t.Errorf("only %d tasks still ran under the new leaders", stillOn)
				}
				if !tc.hang && cut.of("cut") == 0 {
					t.Error("nothing was cut")
				}
				for range 120 {
					if c.running("j-000002") == 4 {
						break
					}
					time.Sleep(time.Second)
				}
				if c.running("j-000002") != 4 {
					t.Errorf("the team's next job does not run: %v", c.cloud.OnMachines())
				}
				c.broken()
			})
		})
	}
}

// TestHandOvers has jobs cancelled in the seconds in which one leader's work changes
// hands, at every stage of that; nothing of them starts once its user was told, but for
// starts that were on their way.
func TestHandOvers(t *testing.T) {
	cases := []struct {
		name string
		over func(c *cluster) // ends the leader
	}{
		{"the leader crashes", func(c *cluster) { c.kill(c.leader()) }},
		{"the leader restarts", func(c *cluster) { c.back(c.leader()) }},
		{"the leader loses the state service", func(c *cluster) {
			i := c.leader()
			c.setFault(func(from string, r *http.Request) standin.Fault {
				if fromNode(from, i) && isState(r) {
					return standin.Refused
				}
				return standin.Pass
			})
		}},
		{"the leader loses the state service and its peers", func(c *cluster) {
			i := c.leader()
			host := fmt.Sprintf("host-%d", i)
			c.pipes.Cut(func(from, to string) bool { return from == host || to == host })
			c.setFault(func(from string, r *http.Request) standin.Fault {
				if fromNode(from, i) && isState(r) {
					return standin.Refused
				}
				return standin.Pass
			})
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClusterOf(t, 5)
				defer c.close()
				c.cloud.RunFor = func(string) float64 { return 300 }
				const jobs = 12
				var ids []string
				for n := range jobs {
					ids = append(ids, fmt.Sprintf("j-%06d", n+1))
				}
				for i, id := range ids {
					job := testJob(id, 2)
					job["expect_s"] = 200.0
					if i%2 == 0 {
						c.runJob(job)
					} else { // it is being started as the leader ends
						time.AfterFunc(time.Duration(i)*200*time.Millisecond, func() { c.submit(id, 2) })
					}
				}
				led, token := c.leader(), c.token()
				time.AfterFunc(400*time.Millisecond, func() { tc.over(c) })
				before, after := 0, 0 // the next leader led
				for i, id := range ids {
					time.Sleep(150 * time.Millisecond)
					if i%2 == 1 {
						time.Sleep(400 * time.Millisecond)
					}
					if code, _ := c.request(http.MethodGet, (led+1)%5, "/v1/jobs/"+id, nil); code != http.StatusOK {
						continue // not accepted yet
					}
					c.cancelJob(id, (led+1+i)%5)
					if c.token() == token {
						before++
					} else {
						after++
					}
				}
				time.Sleep(time.Duration(cancelS) * time.Second)
				c.setFault(nil)
				c.pipes.Cut(func(string, string) bool { return false })
				for _, id := range ids {
					c.submit(id, 2)
					c.cancelJob(id, 0)
				}
				time.Sleep(time.Duration(cancelS) * time.Second)
				if on := c.cloud.OnMachines(); len(on) > 0 {
					t.Errorf("still on machines: %v", on)
				}
				if before < 2 || after < 2 {
					t.Errorf("%d were cancelled before the next leader led, %d after", before, after)
				}
				// What was on its way as its user was told may start; here nothing was.
				if n := c.rules.StartsAfterCancel(); n > 0 {
					t.Errorf("%d starts after a cancellation", n)
				}
				c.broken()
			})
		})
	}
}

// TestUpAtOnce has machines that are up at once get work while the writes that name them
// lag, and the leader end. The machines that have work then are out of the next leader's
// reach: it must know of them all the same, or it starts their tasks elsewhere.
func TestUpAtOnce(t *testing.T) {
	cases := []struct {
		name string
		key  string
		lag  standin.Fault
	}{
		{"lists of machines are carried out late", "c/u/", standin.Late},
		{"bookings are carried out late", "c/b/", standin.Late},
		{"lists of machines are refused", "c/u/", standin.Refused},
		{"bookings are lost", "c/b/", standin.LostRequest},
		{"answers to lists of machines are lost", "c/u/", standin.LostAnswer},
	}
	for _, tc := range cases {
		for _, after := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 5 * time.Second, 10 * time.Second} {
			t.Run(fmt.Sprintf("%s, the leader ends %v later", tc.name, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t)
					defer c.close()
					c.cloud.RunFor = func(string) float64 { return 60 }
					c.submit("j-000009", 1) // the catalog is known
					time.Sleep(3 * time.Second)
					var lag tally
					held := func(r *http.Request) bool {
						// The first write of each booking passes, or nothing is rented.
						return r.URL.Path == "/txn" && contains(r, tc.key) && (tc.key != "c/b/" || contains(r, "i-0"))
					}
					c.setFault(func(_ string, r *http.Request) standin.Fault {
						if held(r) {
							lag.add("lag")
							return tc.lag
						}
						return standin.Pass
					})
					job := testJob("j-000001", 12)
					job["expect_s"] = 200.0
					for try := range 40 {
						if code, _ := c.request(http.MethodPost, try%3, "/v1/jobs", job); code == http.StatusCreated || code == http.StatusOK {
							break
						}
						time.Sleep(100 * time.Millisecond)
					}
					for i := 0; lag.of("lag") == 0; i++ {
						if i == 200 {
							t.Fatal("no such write lagged")
						}
						time.Sleep(50 * time.Millisecond)
					}
					time.Sleep(after)
					ids := map[string]bool{}
					for _, w := range c.holders("j-000001") {
						ids[w.ID] = true
					}
					var cut tally
					cutThem := cutMachines(ids, &cut)
					c.setFault(func(from string, r *http.Request) standin.Fault {
						if held(r) {
							return tc.lag
						}
						return cutThem(from, r)
					})
					before, ran := c.token(), c.running("j-000001")
					c.back(c.leader())
					c.ledAfter(before)
					time.Sleep(2 * time.Second)
					c.setFault(cutThem)
					time.Sleep(1500 * time.Millisecond)
					if on := c.running("j-000001"); on < ran {
						t.Errorf("%d of %d tasks still ran", on, ran)
					}
					c.setFault(nil)
					c.await("j-000001", wire.JobDone, 4*time.Minute)
					c.broken()
				})
			})
		}
	}
}

// TestOldReports has old reports reach every node just as a new leader begins, and while
// it leads: of machines that are out of reach for the moment, made before they got the
// tasks that they now run; of earlier sessions; and in any order.
func TestOldReports(t *testing.T) {
	cases := []struct {
		name string
		want func(*wire.Report) bool // reports that are delivered again
		mute bool                    // the machines' own reports are lost, and calls to them
	}{
		{"made before the tasks began, of machines out of reach", func(r *wire.Report) bool { return len(r.Tasks) == 0 }, true},
		{"made before the tasks began, beside newer ones", func(r *wire.Report) bool { return len(r.Tasks) == 0 }, false},
		{"of an earlier session", func(r *wire.Report) bool { return r.Session == 1 }, false},
		{"of an earlier session, of machines out of reach", func(r *wire.Report) bool { return r.Session == 1 }, true},
		{"all, of machines out of reach", func(*wire.Report) bool { return true }, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RunFor = func(string) float64 { return 60 }
				var held heldReports
				keep := func(from string, r *http.Request) standin.Fault {
					if machineOf(from) != "" && r.URL.Path == "/hello" {
						held.keep(r)
					}
					if r.URL.Path == "/hosts/return" {
						return standin.Refused
					}
					return standin.Pass
				}
				c.setFault(keep)
				job := testJob("j-000001", 8)
				job["expect_s"] = 200.0
				c.runJob(job)
				time.Sleep(2 * time.Second)
				// All leases end once, so that there is an earlier session, and the
				// tasks start anew on the same machines.
				c.setFault(func(from string, r *http.Request) standin.Fault {
					if machineOf(from) != "" {
						return standin.LostRequest
					}
					return keep(from, r)
				})
				time.Sleep(time.Duration(leaseS+3) * time.Second)
				c.setFault(keep)
				c.runJob(job)
				time.Sleep(2 * time.Second)
				old := held.all(tc.want)
				ids := map[string]bool{}
				for _, w := range c.holders("j-000001") {
					ids[w.ID] = tc.mute
				}
				var cut tally
				c.setFault(cutMachines(ids, &cut))
				ran, answered := c.running("j-000001"), 0
				i := c.leader()
				c.kill(i)
				for range 60 { // 6 s
					answered += c.deliver(old)
					time.Sleep(100 * time.Millisecond)
				}
				c.setFault(nil)
				// Beside newer ones the old ones get no answer once those have come.
				if len(old) == 0 || tc.mute && answered == 0 || ran != 8 || tc.mute && cut.of("cut") == 0 || c.leader() == i {
					t.Errorf("%d old reports, %d answers to them, %d tasks ran, %d messages cut", len(old), answered, ran, cut.of("cut"))
				}
				c.start(i)
				c.await("j-000001", wire.JobDone, 4*time.Minute)
				c.broken()
			})
		})
	}
}

// TestLateOverNewer has a write get no answer and be carried out 9 s later, after newer
// ones of the same leader, with something decided in between that it would undo.
func TestLateOverNewer(t *testing.T) {
	late := func(c *cluster, count int, match func(*http.Request) bool) *tally {
		var held tally
		c.setFault(func(_ string, r *http.Request) standin.Fault {
			if r.URL.Path == "/txn" && match(r) && held.add("late") <= count {
				return standin.Late
			}
			return standin.Pass
		})
		return &held
	}
	key := func(k string) func(*http.Request) bool {
		return func(r *http.Request) bool { return contains(r, k) }
	}
	// nextMustKnow ends the leader while the machines that run a job cannot be reached.
	nextMustKnow := func(c *cluster, id string) {
		ids := map[string]bool{}
		for _, w := range c.holders(id) {
			ids[w.ID] = true
		}
		var cut tally
		c.setFault(cutMachines(ids, &cut))
		before := c.token()
		c.back(c.leader())
		c.ledAfter(before)
		time.Sleep(4 * time.Second)
		if cut.of("cut") == 0 || c.running(id) == 0 {
			c.t.Errorf("%d messages were cut, %d tasks still ran", cut.of("cut"), c.running(id))
		}
		c.setFault(nil)
		c.await(id, wire.JobDone, 4*time.Minute)
	}
	long := func(id string) map[string]any {
		job := testJob(id, 4)
		job["expect_s"] = 200.0
		return job
	}
	cases := []struct {
		name string
		run  func(c *cluster) *tally
	}{
		{"a list of machines, after one that names more", func(c *cluster) *tally {
			held := late(c, 1, key("c/u/"))
			c.runJob(long("j-000001"))
			c.runJob(long("j-000002"))
			time.Sleep(10 * time.Second)
			nextMustKnow(c, "j-000002")
			return held
		}},
		{"a booking, after one that names its machines", func(c *cluster) *tally {
			held := late(c, 1, key("c/b/"))
			c.runJob(long("j-000001"))
			time.Sleep(10 * time.Second)
			nextMustKnow(c, "j-000001")
			return held
		}},
		{"progress, after newer progress", func(c *cluster) *tally {
			held := late(c, 1, key("c/p/"))
			c.runJob(long("j-000001")) // its tasks end 4 s apart
			time.Sleep(18 * time.Second)
			c.back(c.leader())
			c.await("j-000001", wire.JobDone, 2*time.Minute)
			if n := c.cloud.Starts(); n != 4 {
				c.t.Errorf("%d starts for 4 tasks", n)
			}
			return held
		}},
		{"a job's end, after its cancellation", func(c *cluster) *tally {
			held := late(c, 1000, key("all tasks done"))
			c.submit("j-000003", 1)
			for i := 0; held.of("late") == 0 && i < 600; i++ {
				time.Sleep(100 * time.Millisecond)
			}
			c.cancelJob("j-000003", 1)
			time.Sleep(15 * time.Second)
			c.answersAll([]string{"j-000003"})
			c.await("j-000003", wire.JobCancelled, time.Second)
			return held
		}},
		{"a cancellation, after the job's end", func(c *cluster) *tally {
			held := late(c, 1000, key("cancelled by its user"))
			c.runJob(testJob("j-000003", 1))
			if code, _ := c.request(http.MethodPost, 1, "/v1/jobs/j-000003/abort", nil); code == http.StatusOK {
				c.t.Error("the cancellation was confirmed")
			}
			c.await("j-000003", wire.JobDone, 8*time.Second)
			time.Sleep(15 * time.Second)
			c.answersAll([]string{"j-000003"})
			return held
		}},
		{"an intake, after its repeat and the job's end", func(c *cluster) *tally {
			held := late(c, 1, key("pieces"))
			c.submit("j-000003", 1)
			c.await("j-000003", wire.JobDone, 20*time.Second)
			time.Sleep(10 * time.Second)
			c.answersAll([]string{"j-000003"})
			return held
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RunFor = func(task string) float64 {
					switch {
					case task == "j-000003/0" || strings.HasPrefix(task, "j-000009"):
						return 2.5
					case tc.name == "progress, after newer progress":
						return 2 + 4*float64(task[len(task)-1]-'0') + 12*float64((task[len(task)-1]-'0')/3)
					}
					return 50
				}
				time.Sleep(3 * time.Second)
				if held := tc.run(c); held.of("late") == 0 {
					t.Error("no such write was late")
				}
				c.broken()
			})
		})
	}
}

// TestStartsInFlight has a leader end while its starts are on their way to machines that
// are in their second session, which the next leader does not know: it is told so by an
// answer that shows their tasks but does not carry its token. Taken for a picture, it
// would have the tasks started elsewhere before the starts arrive.
func TestStartsInFlight(t *testing.T) {
	for _, sessions := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			defer c.close()
			c.cloud.RunFor = func(string) float64 { return 120 }
			noReturns := func(_ string, r *http.Request) standin.Fault {
				if r.URL.Path == "/hosts/return" {
					return standin.Refused
				}
				return standin.Pass
			}
			c.setFault(noReturns)
			base := testJob("j-000009", 4) // a CPU of each machine is left
			base["vcpus"], base["expect_s"] = 3.0, 200.0
			c.runJob(base)
			time.Sleep(2 * time.Second)
			if sessions == 2 {
				c.setFault(func(from string, r *http.Request) standin.Fault {
					if machineOf(from) != "" {
						return standin.LostRequest
					}
					return noReturns(from, r)
				})
				time.Sleep(time.Duration(leaseS+2) * time.Second)
				c.setFault(noReturns)
				c.runJob(base)
				time.Sleep(2 * time.Second)
			}
			c.setFault(func(from string, r *http.Request) standin.Fault {
				if r.URL.Path == "/hello" {
					return standin.HeldStarts
				}
				return noReturns(from, r)
			})
			job := testJob("j-000001", 3)
			job["expect_s"] = 200.0
			if code, _ := c.request(http.MethodPost, c.leader(), "/v1/jobs", job); code != http.StatusCreated {
				t.Fatalf("submission answered %d", code)
			}
			for i := 0; c.net.StartsHeld() == 0 && i < 500; i++ {
				time.Sleep(20 * time.Millisecond)
			}
			before := c.token()
			c.back(c.leader())
			c.setFault(noReturns)
			c.ledAfter(before)
			if held, on := c.net.StartsHeld(), c.running("j-000001"); held == 0 || on > 0 {
				t.Errorf("%d answers with starts were held up, %d of the tasks ran when the next leader led", held, on)
			}
			time.Sleep(5 * time.Second)
			c.setFault(nil)
			c.await("j-000001", wire.JobDone, 4*time.Minute)
			c.broken()
		})
	}
}

// TestManyJobs has one-task jobs come four a second for two minutes, a quarter of them
// cancelled, at the least limits that a deployment has. Neither their ends nor their
// cancellations may be held up by each other.
func TestManyJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTunedCluster(t, 5, func(s *settings.Settings) {
			s.Params.State = settings.State{RPS: 60, WriteRPS: 15, ValueKB: 4, TxnOps: 12}
		})
		defer c.close()
		c.state.SetLimits(standin.StateLimits{RPS: 60, WriteRPS: 15, TxnOps: 12})
		c.cloud.RunFor = func(string) float64 { return 3 }
		c.submit("j-000009", 1)
		c.await("j-000009", wire.JobDone, time.Minute)
		var mu sync.Mutex
		var cancels, ends, intake []time.Duration
		note := func(list *[]time.Duration, since time.Time) {
			mu.Lock()
			defer mu.Unlock()
			*list = append(*list, time.Since(since))
		}
		var wg sync.WaitGroup
		for n := range 480 {
			wg.Go(func() {
				id := fmt.Sprintf("j-%06d", 1000+n)
				begun := time.Now()
				for try := range 60 {
					if code, _ := c.request(http.MethodPost, (n+try)%5, "/v1/jobs", testJob(id, 1)); code == http.StatusCreated || code == http.StatusOK {
						break
					}
					time.Sleep(time.Second)
				}
				note(&intake, begun)
				if n%4 == 0 {
					time.Sleep(time.Duration(n%16) * 200 * time.Millisecond)
					begun = time.Now()
					for try := range 60 {
						if code, _ := c.request(http.MethodPost, (n+try)%5, "/v1/jobs/"+id+"/abort", nil); code == http.StatusOK {
							break
						}
						time.Sleep(time.Second)
					}
					note(&cancels, begun)
					return
				}
				// Its task is seen to end on its machine.
				for c.running(id) == 0 && time.Since(begun) < 2*time.Minute {
					time.Sleep(100 * time.Millisecond)
				}
				for c.running(id) > 0 {
					time.Sleep(100 * time.Millisecond)
				}
				begun = time.Now()
				for try := range 120 {
					if _, s := c.request(http.MethodGet, (n+try)%5, "/v1/jobs/"+id, nil); s.Status == wire.JobDone {
						break
					}
					time.Sleep(500 * time.Millisecond)
				}
				note(&ends, begun)
			})
			time.Sleep(250 * time.Millisecond)
		}
		wg.Wait()
		for _, list := range []struct {
			name  string
			took  []time.Duration
			count int
			most  time.Duration // of 95 in 100; the rest may take as long again
		}{{"intake", intake, 480, 2 * time.Second}, {"cancellations", cancels, 120, 2 * time.Second}, {"ends", ends, 360, 3 * time.Second}} {
			slices.Sort(list.took)
			if len(list.took) != list.count {
				t.Fatalf("%s: %d of %d", list.name, len(list.took), list.count)
			}
			p95, most := list.took[len(list.took)*95/100], list.took[len(list.took)-1]
			t.Logf("%s: median %v, 95 in 100 %v, most %v", list.name, list.took[len(list.took)/2], p95, most)
			if p95 > list.most || most > 2*list.most {
				t.Errorf("%s took too long: 95 in 100 %v, most %v", list.name, p95, most)
			}
		}
		c.broken()
	})
}

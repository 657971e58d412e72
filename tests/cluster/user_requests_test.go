package cluster

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// TestConcurrentSubmission submits one job to two nodes at once: it is one job, each of whose tasks
// runs once.
func TestConcurrentSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.submit("j-000009", 1) // the instance types are known from here on
		// The followers know them a little later: until then they may answer 503.
		time.Sleep(2 * time.Second)
		codes := make([]int, 2)
		var wg sync.WaitGroup
		for i := range codes {
			wg.Go(func() { codes[i], _ = c.request(http.MethodPost, i, "/v1/jobs", testJob("j-000001", 4)) })
		}
		wg.Wait()
		if codes[0]+codes[1] != http.StatusCreated+http.StatusOK {
			t.Errorf("responses %v, want one 201 and one 200", codes)
		}
		c.awaitStatus("j-000001", wire.JobDone, time.Minute)
		if n := c.cloud.Starts(); n != 5 {
			t.Errorf("%d starts for 5 tasks", n)
		}
		// A repeat gets 200 whatever else it says, also after the completion.
		if code, s := c.request(http.MethodPost, 2, "/v1/jobs", map[string]any{"id": "j-000001"}); code != http.StatusOK || s.State != wire.JobDone {
			t.Errorf("repeat answered %d %q", code, s.State)
		}
		if code, _ := c.request(http.MethodGet, 1, "/v1/jobs/j-777777", nil); code != http.StatusNotFound {
			t.Errorf("unknown job answered %d", code)
		}
	})
}

// TestInvalidSubmissions submits invalid jobs to every node: also to nodes that have just started,
// and to nodes that know the instance types only from the state service.
func TestInvalidSubmissions(t *testing.T) {
	with := func(field string, value any) func(map[string]any) {
		return func(job map[string]any) { job[field] = value }
	}
	without := func(field string) func(map[string]any) {
		return func(job map[string]any) { delete(job, field) }
	}
	invalid := []struct {
		name string
		edit func(map[string]any)
		want int
	}{
		{"no image", without("bundle"), http.StatusBadRequest},
		{"no number of tasks", without("pieces"), http.StatusBadRequest},
		{"no estimate", without("expect_s"), http.StatusBadRequest},
		{"too many tasks", with("pieces", 100001), http.StatusBadRequest},
		{"unknown priority", with("rank", "high"), http.StatusBadRequest},
		{"unknown team", with("desk", "nobody's"), http.StatusUnprocessableEntity},
		{"task larger than any machine", with("vcpus", 5.0), http.StatusUnprocessableEntity},
		{"GPUs where no machine has any", with("cards", 1.0), http.StatusUnprocessableEntity},
		{"unknown zone", with("hall", "z"), http.StatusUnprocessableEntity},
		{"unknown instance type", with("builds", []string{"m5"}), http.StatusUnprocessableEntity},
		{"task over the team's limit", func(job map[string]any) { job["desk"], job["vcpus"] = "small", 4.5 }, http.StatusUnprocessableEntity},
		{"unknown kind", with("shape", "band"), http.StatusBadRequest},
		{"kind is a number", with("shape", 7), http.StatusBadRequest},
		{"gang with half a task", func(job map[string]any) { job["shape"], job["pieces"] = "gang", 0.5 }, http.StatusBadRequest},
		{"gang with a number for a flag", func(job map[string]any) { job["shape"], job["together"] = "gang", 1 }, http.StatusBadRequest},
		{"gang with text for a number of tasks", func(job map[string]any) { job["shape"], job["pieces"] = "gang", "3" }, http.StatusBadRequest},
		{"gang without a number of tasks", func(job map[string]any) { job["shape"] = "gang"; delete(job, "pieces") }, http.StatusBadRequest},
		{"gang over the team's limit, each task within it", func(job map[string]any) {
			job["shape"], job["desk"], job["pieces"], job["vcpus"] = "gang", "small", 5, 1.0
		}, http.StatusUnprocessableEntity},
		{"gang with tasks larger than any machine", func(job map[string]any) { job["shape"], job["vcpus"] = "gang", 5.0 }, http.StatusUnprocessableEntity},
	}
	cases := []struct {
		name    string
		inject  func(c *cluster)
		unknown bool // the instance types are
	}{
		{"no fault", func(*cluster) {}, false},
		{"all nodes have just started, and the cloud is unavailable", func(c *cluster) {
			c.setFault(func(_ string, r *http.Request) fake.Fault {
				if r.URL.Host == "cloud" {
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			})
			c.restartNodes(0, 1, 2)
			time.Sleep(2 * time.Second)
		}, false},
		{"no node knows the instance types", func(c *cluster) {
			c.setFault(func(_ string, r *http.Request) fake.Fault {
				if r.URL.Host == "cloud" {
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			})
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				if tc.unknown {
					tc.inject(c)
					time.Sleep(5 * time.Second)
				} else {
					c.submit("j-000001", 1)
					c.awaitStatus("j-000001", wire.JobDone, time.Minute)
					tc.inject(c)
				}
				for i, o := range invalid {
					for node := range c.size {
						job := testJob(fmt.Sprintf("j-%06d", 100+i), 1)
						o.edit(job)
						want := o.want
						if tc.unknown && want == http.StatusUnprocessableEntity {
							want = http.StatusServiceUnavailable
						}
						if code, _ := c.request(http.MethodPost, node, "/v1/jobs", job); code != want {
							t.Errorf("%s: node %d answers %d, want %d", o.name, node, code, want)
						}
						if code, _ := c.request(http.MethodGet, node, "/v1/jobs/"+job["id"].(string), nil); code != http.StatusNotFound {
							t.Errorf("%s: node %d answers %d to a query of what it rejected", o.name, node, code)
						}
						if code, _ := c.request(http.MethodPost, node, "/v1/jobs/"+job["id"].(string)+"/abort", nil); code != http.StatusNotFound {
							t.Errorf("%s: node %d answers %d to a cancellation of what it rejected", o.name, node, code)
						}
						if tc.unknown {
							continue
						}
						// The repeat of an accepted job is accepted whatever it says.
						job["id"] = "j-000001"
						if code, s := c.request(http.MethodPost, node, "/v1/jobs", job); code != http.StatusOK || s.State != wire.JobDone {
							t.Errorf("%s: node %d answers %d %q to the repeat of a job that is done", o.name, node, code, s.State)
						}
						if code, s := c.request(http.MethodPost, node, "/v1/jobs/j-000001/abort", nil); code != http.StatusOK || s.State != wire.JobDone {
							t.Errorf("node %d answers %d %q to a cancellation of a job that is done", node, code, s.State)
						}
					}
				}
				c.checkRules()
			})
		})
	}
}

// TestMonotonicResponses has users query all nodes, repeat submissions and cancel, within
// milliseconds of another node's response: no node may answer something older, also one that is
// behind.
func TestMonotonicResponses(t *testing.T) {
	const affected = 2 // the node with the fault
	watches := func(r *http.Request) bool {
		return r.URL.Path == "/watch" && !strings.Contains(r.URL.RawQuery, "wait_ms=0")
	}
	cases := []struct {
		name   string
		inject func(c *cluster, noted *counter) // before each round
		behind bool                             // the affected node cannot know
	}{
		{"no fault", func(*cluster, *counter) {}, false},
		{"a node's watches are dropped", func(c *cluster, noted *counter) {
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if isFromNode(from, affected) && watches(r) {
					noted.add("fault")
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
		}, false},
		{"a node has just restarted", func(c *cluster, noted *counter) {
			noted.add("fault")
			c.kill(affected)
			c.start(affected)
		}, false},
		{"the state service is unavailable to a node", func(c *cluster, noted *counter) {
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if isFromNode(from, affected) && isStateRequest(r) {
					noted.add("fault")
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			})
		}, true},
		{"every other response to a transaction is dropped", func(c *cluster, noted *counter) {
			c.setFault(func(_ string, r *http.Request) fake.Fault {
				if r.URL.Path == "/txn" && noted.add("fault")%2 == 1 {
					return fake.DroppedResponse
				}
				return fake.NoFault
			})
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(task string) float64 {
					if strings.HasPrefix(task, "j-00000") {
						return 4
					}
					return 100
				}
				c.submit("j-000009", 1) // the instance types are known, and there are machines
				if c.leader() == affected {
					c.restartNodes(affected)
					time.Sleep(5 * time.Second)
				}
				c.awaitStatus("j-000009", wire.JobDone, time.Minute)
				var noted, seen counter
				tc.inject(c, &noted)
				time.Sleep(12 * time.Second) // until all watches that were open before have ended
				for n := range 4 {
					tc.inject(c, &noted)
					finishing, cancelled := testJob(fmt.Sprintf("j-00000%d", n+1), 1), testJob(fmt.Sprintf("j-10000%d", n+1), 1)
					for i, job := range []map[string]any{finishing, cancelled} {
						for range 20 {
							if c.accept(n%2, job) {
								break
							}
						}
						c.queryAllNodes(job, i == 1 && n%2 == 1, 400*time.Millisecond, &seen)
					}
					time.Sleep(time.Duration(n) * 300 * time.Millisecond)
					for range 20 {
						if code, _ := c.request(http.MethodPost, (n+1)%2, "/v1/jobs/"+cancelled["id"].(string)+"/abort", nil); code == http.StatusOK {
							break
						}
					}
					c.queryAllNodes(cancelled, false, 300*time.Millisecond, &seen)
					// Until it completes, and well after; half of them are cancelled then.
					c.queryAllNodes(finishing, false, 3*time.Second, &seen)
					c.queryAllNodes(finishing, n%2 == 0, 4*time.Second, &seen)
					for code, s := 0, (wire.JobStatus{}); s.State != wire.JobDone && s.State != wire.JobCancelled; time.Sleep(200 * time.Millisecond) {
						if code, s = c.request(http.MethodGet, 0, "/v1/jobs/"+finishing["id"].(string), nil); code == http.StatusNotFound {
							break
						}
					}
					c.queryAllNodes(finishing, true, 300*time.Millisecond, &seen)
				}
				if tc.name != cases[0].name && noted.count("fault") == 0 {
					t.Error("no request had the fault")
				}
				ok, refused := seen.count(fmt.Sprintf("node %d: 200", affected)), seen.count(fmt.Sprintf("node %d: 503", affected))
				if !tc.behind && ok < 1000 || tc.behind && refused < 1000 {
					t.Errorf("the affected node answered 200 %d times and 503 %d times: %v", ok, refused, seen.counts)
				}
				c.setFault(nil)
				c.checkRules()
			})
		})
	}
}

// TestManyQueries has users query very often while the state service rejects every other read for
// its rate limit: queries share reads, each is answered, and the followers' watches leave room for
// them.
func TestManyQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, 5)
		defer c.close()
		c.cloud.RuntimeOf = func(string) float64 { return 60 }
		c.submit("j-000001", 4)
		time.Sleep(5 * time.Second)
		var mu sync.Mutex
		reads, watches, responses := 0, 0, map[int]int{}
		readsOf := map[string]int{}
		c.setFault(func(from string, r *http.Request) fake.Fault {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.URL.Path == "/watch" && strings.Contains(r.URL.RawQuery, "wait_ms=0"):
				reads++
				if readsOf[from]++; readsOf[from]%2 == 0 {
					return fake.TooManyRequests
				}
			case r.URL.Path == "/watch":
				watches++
			}
			return fake.NoFault
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
				responses[code]++
			})
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
		if responses[http.StatusOK] < 990 {
			t.Errorf("responses: %v", responses)
		}
		if reads > 800 || watches > 400 {
			t.Errorf("%d reads and %d watches for 1000 queries and 100 jobs in 20 s", reads, watches)
		}
	})
}

// TestManyJobs submits one-task jobs four a second for two minutes, a quarter of which are
// cancelled, at the lowest limits that a deployment has. Neither their completions nor their
// cancellations may be delayed by each other.
func TestManyJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTunedCluster(t, 5, func(s *settings.Settings) {
			s.Params.State = settings.State{RPS: 60, WriteRPS: 15, ValueKB: 4, TxnOps: 12}
		})
		defer c.close()
		c.state.SetLimits(fake.StateLimits{RPS: 60, WriteRPS: 15, TxnOps: 12})
		c.cloud.RuntimeOf = func(string) float64 { return 3 }
		c.submit("j-000009", 1)
		c.awaitStatus("j-000009", wire.JobDone, time.Minute)
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
				startedAt := time.Now()
				for try := range 60 {
					if c.accept((n+try)%5, testJob(id, 1)) {
						break
					}
					time.Sleep(time.Second)
				}
				note(&intake, startedAt)
				if n%4 == 0 {
					time.Sleep(time.Duration(n%16) * 200 * time.Millisecond)
					startedAt = time.Now()
					for try := range 60 {
						if code, _ := c.request(http.MethodPost, (n+try)%5, "/v1/jobs/"+id+"/abort", nil); code == http.StatusOK {
							break
						}
						time.Sleep(time.Second)
					}
					note(&cancels, startedAt)
					return
				}
				// Its task is seen to complete on its machine.
				for c.runningTasks(id) == 0 && time.Since(startedAt) < 2*time.Minute {
					time.Sleep(100 * time.Millisecond)
				}
				for c.runningTasks(id) > 0 {
					time.Sleep(100 * time.Millisecond)
				}
				startedAt = time.Now()
				for try := range 120 {
					if _, s := c.request(http.MethodGet, (n+try)%5, "/v1/jobs/"+id, nil); s.State == wire.JobDone {
						break
					}
					time.Sleep(500 * time.Millisecond)
				}
				note(&ends, startedAt)
			})
			time.Sleep(250 * time.Millisecond)
		}
		wg.Wait()
		for _, list := range []struct {
			name  string
			took  []time.Duration
			count int
			most  time.Duration // of 95 in 100; the rest may take as long again
		}{
			{"submissions", intake, 480, 2 * time.Second},
			{"cancellations", cancels, 120, 2 * time.Second},
			{"completions", ends, 360, 3 * time.Second},
		} {
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
		c.checkRules()
	})
}

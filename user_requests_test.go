package caperlatch

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

// TestConcurrentSubmission has one job submitted at two nodes at once: it is one
// job, each of whose tasks runs once.
func TestConcurrentSubmission(t *testing.T) {
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
		c.awaitStatus("j-000001", wire.JobDone, time.Minute)
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

// TestInvalidSubmissions has users send what cannot be, at every node: also at one that has just
// started, and at nodes that know the machine types from the store alone.
func TestInvalidSubmissions(t *testing.T) {
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
			c.setFault(func(_ string, r *http.Request) fake.Fault {
				if r.URL.Host == "cloud" {
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			})
			c.restartNodes(0, 1, 2)
			time.Sleep(2 * time.Second)
		}, false},
		{"nobody knows the catalog", func(c *cluster) {
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
				if tc.refuses {
					tc.trouble(c)
					time.Sleep(5 * time.Second)
				} else {
					c.submit("j-000001", 1)
					c.awaitStatus("j-000001", wire.JobDone, time.Minute)
					tc.trouble(c)
				}
				for i, o := range odd {
					for node := range c.size {
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
				c.checkRules()
			})
		})
	}
}

// TestMonotonicResponses has users ask at all nodes, repeat submissions and cancel, within
// milliseconds of what another node told: no node may answer something older, also one
// that is behind.
func TestMonotonicResponses(t *testing.T) {
	const odd = 2 // the node that is in trouble
	watches := func(r *http.Request) bool {
		return r.URL.Path == "/watch" && !strings.Contains(r.URL.RawQuery, "wait_ms=0")
	}
	cases := []struct {
		name    string
		trouble func(c *cluster, held *counter) // before each look
		refuses bool                            // the odd node cannot know
	}{
		{"no other trouble", func(*cluster, *counter) {}, false},
		{"a node's watch is held", func(c *cluster, held *counter) {
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if isFromNode(from, odd) && watches(r) {
					held.add("held")
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
		}, false},
		{"a node has just started", func(c *cluster, held *counter) {
			held.add("held")
			c.kill(odd)
			c.start(odd)
		}, false},
		{"a node is cut from the state service", func(c *cluster, held *counter) {
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if isFromNode(from, odd) && isStateRequest(r) {
					held.add("held")
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			})
		}, true},
		{"every other answer to a transaction is lost", func(c *cluster, held *counter) {
			c.setFault(func(_ string, r *http.Request) fake.Fault {
				if r.URL.Path == "/txn" && held.add("held")%2 == 1 {
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
				c.submit("j-000009", 1) // the catalog is known, and there are machines
				if c.leader() == odd {
					c.restartNodes(odd)
					time.Sleep(5 * time.Second)
				}
				c.awaitStatus("j-000009", wire.JobDone, time.Minute)
				var held, seen counter
				tc.trouble(c, &held)
				time.Sleep(12 * time.Second) // until no watch that was open before is left
				for n := range 4 {
					tc.trouble(c, &held)
					ends, doomed := testJob(fmt.Sprintf("j-00000%d", n+1), 1), testJob(fmt.Sprintf("j-10000%d", n+1), 1)
					for i, job := range []map[string]any{ends, doomed} {
						for range 20 {
							if c.accept(n%2, job) {
								break
							}
						}
						c.queryAllNodes(job, i == 1 && n%2 == 1, 400*time.Millisecond, &seen)
					}
					time.Sleep(time.Duration(n) * 300 * time.Millisecond)
					for range 20 {
						if code, _ := c.request(http.MethodPost, (n+1)%2, "/v1/jobs/"+doomed["id"].(string)+"/abort", nil); code == http.StatusOK {
							break
						}
					}
					c.queryAllNodes(doomed, false, 300*time.Millisecond, &seen)
					// Until it ends, and well after; half of them are called off then.
					c.queryAllNodes(ends, false, 3*time.Second, &seen)
					c.queryAllNodes(ends, n%2 == 0, 4*time.Second, &seen)
					for code, s := 0, (wire.JobStatus{}); s.Status != wire.JobDone && s.Status != wire.JobCancelled; time.Sleep(200 * time.Millisecond) {
						if code, s = c.request(http.MethodGet, 0, "/v1/jobs/"+ends["id"].(string), nil); code == http.StatusNotFound {
							break
						}
					}
					c.queryAllNodes(ends, true, 300*time.Millisecond, &seen)
				}
				if tc.name != cases[0].name && held.count("held") == 0 {
					t.Error("nothing was held")
				}
				ok, refused := seen.count(fmt.Sprintf("node %d: 200", odd)), seen.count(fmt.Sprintf("node %d: 503", odd))
				if !tc.refuses && ok < 1000 || tc.refuses && refused < 1000 {
					t.Errorf("the odd node answered 200 %d times and 503 %d times: %v", ok, refused, seen.counts)
				}
				c.setFault(nil)
				c.checkRules()
			})
		})
	}
}

// TestManyQueries has users ask very often while the state service refuses every other
// read for its rate limit: questions share reads, each is answered, and the followers'
// watches leave room for them.
func TestManyQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, 5)
		defer c.close()
		c.cloud.RuntimeOf = func(string) float64 { return 60 }
		c.submit("j-000001", 4)
		time.Sleep(5 * time.Second)
		var mu sync.Mutex
		reads, watches, answers := 0, 0, map[int]int{}
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

// TestManyJobs has one-task jobs come four a second for two minutes, a quarter of them
// cancelled, at the least limits that a deployment has. Neither their ends nor their
// cancellations may be held up by each other.
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
				// Its task is seen to end on its machine.
				for c.runningTasks(id) == 0 && time.Since(startedAt) < 2*time.Minute {
					time.Sleep(100 * time.Millisecond)
				}
				for c.runningTasks(id) > 0 {
					time.Sleep(100 * time.Millisecond)
				}
				startedAt = time.Now()
				for try := range 120 {
					if _, s := c.request(http.MethodGet, (n+try)%5, "/v1/jobs/"+id, nil); s.Status == wire.JobDone {
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
			{"intake", intake, 480, 2 * time.Second},
			{"cancellations", cancels, 120, 2 * time.Second},
			{"ends", ends, 360, 3 * time.Second},
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

// queryAllNodes asks all nodes about a job again and again within milliseconds, and
// repeats its submission and, if it is to be cancelled, its cancellation.
func (c *cluster) queryAllNodes(job map[string]any, cancel bool, within time.Duration, seen *counter) {
	id := job["id"].(string)
	var wg sync.WaitGroup
	for startedAt, n := time.Now(), 0; time.Since(startedAt) < within; n++ {
		for node := range c.size {
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

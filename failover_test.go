package caperlatch

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// TestCancellationDuringFailover has jobs cancelled in the seconds in which one leader's work changes
// hands, at every stage of that; nothing of them starts once its user was told, but for
// starts that were on their way.
func TestCancellationDuringFailover(t *testing.T) {
	cases := []struct {
		name string
		over func(c *cluster) // ends the leader
		// Of a handover, which needs the standby and takes less time than the others.
		standby *settings.Standby
		later   time.Duration
	}{
		{name: "the leader hands over", over: func(c *cluster) { c.handover() }, standby: testStandby(), later: 1500 * time.Millisecond},
		{name: "the leader crashes", over: func(c *cluster) { c.kill(c.leader()) }},
		{name: "the leader restarts", over: func(c *cluster) { c.restartNodes(c.leader()) }},
		{name: "the leader loses the state service", over: func(c *cluster) {
			i := c.leader()
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if isFromNode(from, i) && isStateRequest(r) {
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			})
		}},
		{name: "the leader loses the state service and its peers", over: func(c *cluster) {
			i := c.leader()
			host := fmt.Sprintf("host-%d", i)
			c.pipes.SetPartition(func(from, to string) bool { return from == host || to == host })
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if isFromNode(from, i) && isStateRequest(r) {
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			})
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newStandbyCluster(t, 5, noTuning, tc.standby)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 300 }
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
				led, token := c.leader(), c.fencingToken()
				time.AfterFunc(400*time.Millisecond+tc.later, func() { tc.over(c) })
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
					if c.fencingToken() == token {
						before++
					} else {
						after++
					}
				}
				time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
				c.setFault(nil)
				c.healPeers()
				for _, id := range ids {
					c.submit(id, 2)
					c.cancelJob(id, 0)
				}
				time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
				if on := c.cloud.TasksOnMachines(); len(on) > 0 {
					t.Errorf("still on machines: %v", on)
				}
				if before < 2 || after < 2 {
					t.Errorf("%d were cancelled before the next leader led, %d after", before, after)
				}
				// What was on its way as its user was told may start; here nothing was.
				if n := c.rules.StartsAfterCancel(); n > 0 {
					t.Errorf("%d starts after a cancellation", n)
				}
				c.checkRules()
			})
		})
	}
}

// TestFailoverWithDelayedMachineWrites has machines that are up at once get work while the writes that name them
// lag, and the leader end. The machines that have work then are out of the next leader's
// reach: it must know of them all the same, or it starts their tasks elsewhere.
func TestFailoverWithDelayedMachineWrites(t *testing.T) {
	cases := []struct {
		name string
		key  string
		lag  fake.Fault
	}{
		{"lists of machines are carried out late", "c/u/", fake.DelayedRequest},
		{"bookings are carried out late", "c/b/", fake.DelayedRequest},
		{"lists of machines are refused", "c/u/", fake.ServiceUnavailable},
		{"bookings are lost", "c/b/", fake.DroppedRequest},
		{"answers to lists of machines are lost", "c/u/", fake.DroppedResponse},
	}
	for _, tc := range cases {
		for _, after := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 5 * time.Second, 10 * time.Second} {
			t.Run(fmt.Sprintf("%s, the leader ends %v later", tc.name, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t)
					defer c.close()
					c.cloud.RuntimeOf = func(string) float64 { return 60 }
					c.submit("j-000009", 1) // the catalog is known
					time.Sleep(3 * time.Second)
					var lag counter
					held := func(r *http.Request) bool {
						// The first write of each booking passes, or nothing is rented.
						return r.URL.Path == "/txn" && bodyContains(r, tc.key) && (tc.key != "c/b/" || bodyContains(r, "i-0"))
					}
					c.setFault(func(_ string, r *http.Request) fake.Fault {
						if held(r) {
							lag.add("lag")
							return tc.lag
						}
						return fake.NoFault
					})
					job := testJob("j-000001", 12)
					job["expect_s"] = 200.0
					for try := range 40 {
						if c.accept(try%3, job) {
							break
						}
						time.Sleep(100 * time.Millisecond)
					}
					for i := 0; lag.count("lag") == 0; i++ {
						if i == 200 {
							t.Fatal("no such write lagged")
						}
						time.Sleep(50 * time.Millisecond)
					}
					time.Sleep(after)
					ids := map[string]bool{}
					for _, w := range c.cloud.WorkersOf("j-000001") {
						ids[w.ID] = true
					}
					var dropped counter
					cutThem := isolateMachines(ids, &dropped)
					c.setFault(func(from string, r *http.Request) fake.Fault {
						if held(r) {
							return tc.lag
						}
						return cutThem(from, r)
					})
					before, ran := c.fencingToken(), c.runningTasks("j-000001")
					c.restartNodes(c.leader())
					c.awaitLeaderAfter(before)
					time.Sleep(2 * time.Second)
					c.setFault(cutThem)
					time.Sleep(1500 * time.Millisecond)
					if on := c.runningTasks("j-000001"); on < ran {
						t.Errorf("%d of %d tasks still ran", on, ran)
					}
					c.setFault(nil)
					c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
					c.checkRules()
				})
			})
		}
	}
}

// TestStaleHeartbeats has old reports reach every node just as a new leader begins, and while
// it leads: of machines that are out of reach for the moment, made before they got the
// tasks that they now run; of earlier sessions; and in any order.
func TestStaleHeartbeats(t *testing.T) {
	cases := []struct {
		name string
		want func(*wire.Heartbeat) bool // reports that are delivered again
		mute bool                       // the machines' own reports are lost, and calls to them
	}{
		{"made before the tasks began, of machines out of reach", func(r *wire.Heartbeat) bool { return len(r.Tasks) == 0 }, true},
		{"made before the tasks began, beside newer ones", func(r *wire.Heartbeat) bool { return len(r.Tasks) == 0 }, false},
		{"of an earlier session", func(r *wire.Heartbeat) bool { return r.Incarnation == 1 }, false},
		{"of an earlier session, of machines out of reach", func(r *wire.Heartbeat) bool { return r.Incarnation == 1 }, true},
		{"all, of machines out of reach", func(*wire.Heartbeat) bool { return true }, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 60 }
				var held heartbeatRecorder
				keep := func(from string, r *http.Request) fake.Fault {
					if machineOf(from) != "" && r.URL.Path == "/hello" {
						held.record(r)
					}
					if r.URL.Path == "/hosts/return" {
						return fake.ServiceUnavailable
					}
					return fake.NoFault
				}
				c.setFault(keep)
				job := testJob("j-000001", 8)
				job["expect_s"] = 200.0
				c.runJob(job)
				time.Sleep(2 * time.Second)
				// All leases end once, so that there is an earlier session, and the
				// tasks start anew on the same machines.
				c.runInNextIncarnation(job, time.Duration(leaseDurationS+3)*time.Second, keep)
				old := held.matching(tc.want)
				ids := map[string]bool{}
				for _, w := range c.cloud.WorkersOf("j-000001") {
					ids[w.ID] = tc.mute
				}
				var dropped counter
				c.setFault(isolateMachines(ids, &dropped))
				ran, answered := c.runningTasks("j-000001"), 0
				i := c.leader()
				c.kill(i)
				for range 60 { // 6 s
					answered += c.replayHeartbeats(old)
					time.Sleep(100 * time.Millisecond)
				}
				c.setFault(nil)
				// Beside newer ones the old ones get no answer once those have come.
				if len(old) == 0 || tc.mute && answered == 0 || ran != 8 || tc.mute && dropped.count("dropped") == 0 || c.leader() == i {
					t.Errorf("%d old reports, %d answers to them, %d tasks ran, %d messages cut", len(old), answered, ran, dropped.count("dropped"))
				}
				c.start(i)
				c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
				c.checkRules()
			})
		})
	}
}

// TestDelayedStartsAtFailover has a leader end while its starts are on their way to machines that
// are in their second session, which the next leader does not know: it is told so by an
// answer that shows their tasks but does not carry its token. Taken for a picture, it
// would have the tasks started elsewhere before the starts arrive.
func TestDelayedStartsAtFailover(t *testing.T) {
	for _, sessions := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			defer c.close()
			c.cloud.RuntimeOf = func(string) float64 { return 120 }
			noReturns := func(_ string, r *http.Request) fake.Fault {
				if r.URL.Path == "/hosts/return" {
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			}
			c.setFault(noReturns)
			base := testJob("j-000009", 4) // a CPU of each machine is left
			base["vcpus"], base["expect_s"] = 3.0, 200.0
			c.runJob(base)
			time.Sleep(2 * time.Second)
			if sessions == 2 {
				c.runInNextIncarnation(base, time.Duration(leaseDurationS+2)*time.Second, noReturns)
			}
			holdStarts := func(from string, r *http.Request) fake.Fault {
				if r.URL.Path == "/hello" {
					return fake.DelayedStarts
				}
				return noReturns(from, r)
			}
			c.setFault(holdStarts)
			job := testJob("j-000001", 3)
			job["expect_s"] = 200.0
			if code, _ := c.request(http.MethodPost, c.leader(), "/v1/jobs", job); code != http.StatusCreated {
				t.Fatalf("submission answered %d", code)
			}
			for i := 0; c.net.DelayedStartResponses() == 0 && i < 500; i++ {
				time.Sleep(20 * time.Millisecond)
			}
			// What there is as nodes try to lead is noted before any of them can: the next
			// leader may start the tasks within milliseconds, where machines answer it.
			before := c.fencingToken()
			var met counter
			noting := func(other func(string, *http.Request) fake.Fault) func(string, *http.Request) fake.Fault {
				return func(from string, r *http.Request) fake.Fault {
					if r.URL.Path == "/txn" && bodyContains(r, replica.TokenKey) && c.fencingToken() == before {
						met.add("tried")
						if c.net.DelayedStartResponses() == 0 {
							met.add("none held")
						}
						if c.runningTasks("j-000001") > 0 {
							met.add("some ran")
						}
					}
					return other(from, r)
				}
			}
			c.setFault(noting(holdStarts))
			c.restartNodes(c.leader())
			c.setFault(noting(noReturns))
			c.awaitLeaderAfter(before)
			if met.count("tried") == 0 || met.count("none held") > 0 || met.count("some ran") > 0 {
				t.Errorf("%d answers with starts were held up; as nodes tried to lead: %v", c.net.DelayedStartResponses(), met.counts)
			}
			time.Sleep(5 * time.Second)
			c.setFault(nil)
			c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
			c.checkRules()
		})
	}
}

// held keeps bodies of reports that were sent, to be sent again later.
type heartbeatRecorder struct {
	mu     sync.Mutex
	bodies [][]byte
}

func (h *heartbeatRecorder) record(r *http.Request) {
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

// matching decodes the reports that a test wants.
func (h *heartbeatRecorder) matching(want func(*wire.Heartbeat) bool) (bodies [][]byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.bodies {
		var r wire.Heartbeat
		if wire.Unmarshal(b, &r) == nil && want(&r) {
			bodies = append(bodies, b)
		}
	}
	return bodies
}

// replayHeartbeats sends reports to every node.
func (c *cluster) replayHeartbeats(bodies [][]byte) (answered int) {
	for _, b := range bodies {
		for node := range c.size {
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

package caperlatch

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/replica"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// The gangs of a meeting. One waits for a machine that hangs as the trouble begins, one
// runs, one is being stopped for a notice, and one is cancelled in the midst of it.
const (
	gangWaits     = "j-000001"
	gangRuns      = "j-000002"
	gangStops     = "j-000003"
	gangCancelled = "j-000004"
)

var meetingGangs = []string{gangWaits, gangRuns, gangStops, gangCancelled}

// states counts the tasks of a job by their states.
func (c *cluster) states(id string) map[string]int {
	have := map[string]int{}
	for task, state := range c.cloud.TaskStates() {
		if strings.HasPrefix(task, id+"/") {
			have[state]++
		}
	}
	return have
}

// gangMeeting is a trouble that gangs meet. Met tells, after it, whether it came about.
type gangMeeting struct {
	name    string
	nodes   int
	trouble func(c *cluster, met *tally)
	met     []string // what the trouble must have noted
}

// begin brings the gangs into their states: all but the first run, the first waits for a
// machine that hangs, and a machine of the third is to be taken.
func (m *gangMeeting) begin(c *cluster) {
	for _, id := range meetingGangs[1:] {
		c.submitJob(gangJob(id, 3, 3, nil))
	}
	for _, id := range meetingGangs[1:] {
		c.until(id, map[string]int{wire.TaskRunning: 3})
	}
	c.cloud.ImagePullS = 3
	c.submitJob(gangJob(gangWaits, 3, 3, map[string]any{"bundle": "img-2"}))
	c.until(gangWaits, map[string]int{wire.TaskPullingImage: 3})
	c.cloud.WorkersOf(gangWaits)[1].Hang(8 * time.Second)
	c.until(gangWaits, map[string]int{wire.TaskWaitingForGang: 2, wire.TaskPullingImage: 1})
	c.cloud.WorkersOf(gangStops)[2].Interrupt(12 * time.Second)
}

// run has the gangs meet the trouble, under the checker of rules. Those that nobody
// cancelled must be done in the end, and nothing be left on machines.
func (m *gangMeeting) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, m.nodes)
		defer c.close()
		c.cloud.RuntimeOf = func(string) float64 { return 90 }
		m.begin(c)
		if n := c.states(gangWaits)[wire.TaskWaitingForGang]; n == 0 {
			t.Error("no gang waits")
		}
		var met tally
		go c.cancelMeanwhile(gangCancelled)
		m.trouble(c, &met)
		c.setFault(nil)
		c.healPeers()
		for _, what := range m.met {
			if met.of(what) == 0 {
				t.Errorf("no %s; met %v", what, met.n)
			}
		}
		for _, id := range meetingGangs[:3] {
			c.await(id, wire.JobDone, 4*time.Minute)
		}
		c.await(gangCancelled, wire.JobCancelled, time.Minute)
		time.Sleep(time.Duration(cancelS) * time.Second)
		if left := c.cloud.TasksOnMachines(); len(left) > 0 {
			t.Errorf("still on machines: %v", left)
		}
		c.broken()
	})
}

// cancelMeanwhile repeats a cancellation while something else goes on.
func (c *cluster) cancelMeanwhile(id string) {
	for try := range 200 {
		if code, _ := c.request(http.MethodPost, try%c.size, "/v1/jobs/"+id+"/abort", nil); code == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Errorf("%s could not be cancelled", id)
}

// saves waits until a gang's tasks save, and notes it.
func (c *cluster) saves(id string, met *tally) {
	for i := 0; i < 100 && met.of("gang being stopped") == 0; i++ {
		if c.states(id)[wire.TaskCheckpointing] > 0 {
			met.add("gang being stopped")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestGangMeetings has controllers come and go, and messages come late, while gangs wait,
// run, are being stopped and are cancelled.
func TestGangMeetings(t *testing.T) {
	isReport := func(r *http.Request) bool { return r.URL.Path == "/hello" }
	cases := []gangMeeting{
		{"the leader is back within a fraction of a second, twice", 5, func(c *cluster, met *tally) {
			for range 2 {
				before := c.token()
				c.back(c.leader())
				c.ledAfter(before)
				met.add("change of leader")
				c.saves(gangStops, met)
			}
		}, []string{"change of leader", "gang being stopped"}},
		{"the next leader is back mid-election as well", 5, func(c *cluster, met *tally) {
			c.saves(gangStops, met)
			for range 4 {
				before := c.token()
				led := c.leader()
				c.kill(led)
				// The next one ends as soon as it holds the key, before it knows the machines.
				c.ledAfter(before)
				next := c.leader()
				met.add("election broken off")
				c.back(next)
				c.start(led)
				time.Sleep(700 * time.Millisecond)
			}
		}, []string{"election broken off", "gang being stopped"}},
		{"all are back within a fraction of a second, one after the other", 3, func(c *cluster, met *tally) {
			for n := range 9 {
				c.back(n % 3)
				time.Sleep(400 * time.Millisecond)
				if len(c.cloud.TasksOnMachines()) > 0 {
					met.add("return beside running tasks")
				}
			}
		}, []string{"return beside running tasks"}},
		{"the state service refuses the leader alone while a gang is being stopped", 5, func(c *cluster, met *tally) {
			c.saves(gangStops, met)
			first, before := c.leader(), c.token()
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if fromNode(from, first) && isState(r) {
					met.add("refusal")
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			})
			c.ledAfter(before)
			met.add("change of leader")
			time.Sleep(5 * time.Second)
		}, []string{"gang being stopped", "refusal", "change of leader"}},
		{"it refuses the leader alone from before the stop, and stops reach no machine at first", 5, func(c *cluster, met *tally) {
			first := c.leader()
			c.setFault(func(from string, r *http.Request) fake.Fault {
				switch {
				case fromNode(from, first) && isState(r):
					met.add("refusal")
					return fake.ServiceUnavailable
				case fromNode(from, first) && r.URL.Path == "/commands":
					met.add("stop held up")
					return fake.DelayedRequest
				}
				return fake.NoFault
			})
			time.Sleep(12 * time.Second)
		}, []string{"refusal", "stop held up"}},
		{"copies of reports come up to two leases late, as leaders change", 5, func(c *cluster, met *tally) {
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if isReport(r) {
					met.add("copy")
					return fake.DuplicatedRequest
				}
				return fake.NoFault
			})
			for range 4 {
				c.saves(gangStops, met)
				c.back(c.leader())
				time.Sleep(time.Duration(leaseS) * time.Second)
			}
		}, []string{"copy", "gang being stopped"}},
		{"reports are held for the next leader, and the one after it", 5, func(c *cluster, met *tally) {
			c.saves(gangStops, met)
			for range 3 {
				c.setFault(func(from string, r *http.Request) fake.Fault {
					if isReport(r) && machineOf(from) != "" {
						met.add("report held")
						return fake.DelayedRequest
					}
					return fake.NoFault
				})
				time.Sleep(1500 * time.Millisecond)
				before := c.token()
				c.back(c.leader())
				c.ledAfter(before)
				c.setFault(nil)
				time.Sleep(5 * time.Second)
			}
		}, []string{"gang being stopped", "report held"}},
		{"the next leader gets old reports of every attempt", 5, func(c *cluster, met *tally) {
			var held heldReports
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if machineOf(from) != "" && isReport(r) {
					held.keep(r)
				}
				return fake.NoFault
			})
			c.saves(gangStops, met)
			old := held.all(func(r *wire.Heartbeat) bool { return attemptsOf(r, gangStops) > 0 })
			c.until(gangStops, map[string]int{wire.TaskRunning: 3}) // the next attempt
			for range 3 {
				before := c.token()
				c.back(c.leader())
				c.ledAfter(before)
				for range 10 {
					c.deliver(old)
					time.Sleep(100 * time.Millisecond)
				}
				if len(old) > 0 && len(c.states(gangStops)) > 0 {
					met.add("old reports beside a later attempt")
				}
				time.Sleep(time.Duration(leaseS) * time.Second)
			}
		}, []string{"gang being stopped", "old reports beside a later attempt"}},
		{"old reports are all that the next leader hears of a gang's machines", 5, func(c *cluster, met *tally) {
			var held heldReports
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if machineOf(from) != "" && isReport(r) {
					held.keep(r)
				}
				return fake.NoFault
			})
			c.saves(gangStops, met)
			for i := 0; c.states(gangStops)[wire.TaskCheckpointing] > 0 && i < 100; i++ {
				time.Sleep(50 * time.Millisecond)
			}
			// Before and between its attempts; some show the first, some none.
			old := held.all(func(*wire.Heartbeat) bool { return true })
			c.until(gangStops, map[string]int{wire.TaskRunning: 3}) // the next attempt
			ids := map[string]bool{}
			for _, w := range c.cloud.WorkersOf(gangStops) {
				ids[w.ID] = true
			}
			var cut tally
			before := c.token()
			c.setFault(cutMachines(ids, &cut))
			c.back(c.leader())
			c.ledAfter(before)
			for range 50 {
				if c.deliver(old) > 0 && c.states(gangStops)[wire.TaskRunning] == 3 {
					met.add("old report answered beside a later attempt")
				}
				time.Sleep(100 * time.Millisecond)
			}
		}, []string{"gang being stopped", "old report answered beside a later attempt"}},
		// A gang's progress is its end: both are known at the same moment, and the end alone
		// is stored.
		{"the ends of gangs are stored late, as leaders change", 3, func(c *cluster, met *tally) {
			c.state.SetTxnFault(func(x fake.Transaction) fake.TxnFault {
				if endsJob(&x) && met.of("late end") < 3 {
					met.add("late end")
					return fake.TxnDelayed
				}
				return fake.TxnCommitted
			})
			for i := 0; met.of("late end") == 0 && i < 1500; i++ {
				time.Sleep(100 * time.Millisecond)
			}
			c.back(c.leader())
			time.Sleep(8 * time.Second)
			c.back(c.leader())
			c.state.SetTxnFault(nil)
		}, []string{"late end"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, tc.run)
	}
}

// endsJob tells whether a transaction is a leader's that stores the end of a job.
func endsJob(x *fake.Transaction) bool {
	byLeader := slices.ContainsFunc(x.Compares, func(k wire.Compare) bool { return k.Key == replica.LeaderKey && k.ModRevision != 0 })
	return byLeader && slices.ContainsFunc(x.Keys, func(key string) bool { return strings.HasPrefix(key, replica.JobPrefix) })
}

// attemptsOf counts the attempts of a job that a report shows.
func attemptsOf(r *wire.Heartbeat, id string) int {
	numbers := map[uint64]bool{}
	for _, x := range r.Tasks {
		if strings.HasPrefix(x.TaskID, id+"/") {
			numbers[x.Attempt] = true
		}
	}
	return len(slices.Collect(maps.Keys(numbers)))
}

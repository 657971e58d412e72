package caperlatch

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// loweredLimits are the limits that the state service has from some moment on.
var loweredLimits = fake.StateLimits{ValueKB: 2, TxnOps: 4, WriteRPS: 15}

// announceLimits has the settings tell of the lowered limits.
func announceLimits(s *settings.Settings) {
	l := loweredLimits
	s.Params.State = settings.State{RPS: 200, WriteRPS: 30, ValueKB: 8, TxnOps: 12,
		Upcoming: settings.UpcomingLimits{WriteRPS: &l.WriteRPS, ValueKB: &l.ValueKB, TxnOps: &l.TxnOps}}
}

// TestAnnouncedLimits lowers the state service's limits in the midst of other things. No
// write may be refused for its size when the settings told of the limits, before or
// after; and the jobs are done, no rule is broken.
func TestAnnouncedLimits(t *testing.T) {
	lower := func(c *cluster) { c.state.SetLimits(loweredLimits) }
	cases := []struct {
		name    string
		trouble func(c *cluster)
	}{
		{"from the start", lower},
		{"in the midst of traffic", func(c *cluster) {
			time.Sleep(4 * time.Second)
			lower(c)
			time.Sleep(4 * time.Second)
		}},
		{"during a take-over", func(c *cluster) {
			i := c.leader()
			time.Sleep(4 * time.Second)
			c.kill(i)
			time.Sleep(3 * time.Second)
			lower(c)
			time.Sleep(5 * time.Second)
			c.start(i)
		}},
		{"while no transaction is answered", func(c *cluster) {
			isTxn := func(r *http.Request) bool { return isStateRequest(r) && r.URL.Path == "/txn" }
			c.setFault(everyNth(2, fake.DroppedResponse, isTxn))
			time.Sleep(3 * time.Second)
			lower(c)
			time.Sleep(10 * time.Second)
		}},
		{"while transactions are applied late", func(c *cluster) {
			c.setFault(everyNth(3, fake.DelayedRequest, func(r *http.Request) bool { return isStateRequest(r) && r.URL.Path == "/txn" }))
			time.Sleep(3 * time.Second)
			lower(c)
			time.Sleep(20 * time.Second)
		}},
		{"as all nodes end", func(c *cluster) {
			time.Sleep(3 * time.Second)
			for i := range c.size {
				c.kill(i)
			}
			lower(c)
			for i := range c.size {
				c.start(i)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTunedCluster(t, 3, announceLimits)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 8 }
				var ids []string
				for i := range 10 {
					ids = append(ids, fmt.Sprintf("j-%06d", i+1))
				}
				for _, id := range ids[:5] {
					c.submit(id, 8)
				}
				tc.trouble(c)
				c.setFault(nil)
				for _, id := range ids[5:] {
					c.submit(id, 8)
				}
				for _, id := range ids {
					c.awaitStatus(id, wire.JobDone, 120*time.Second)
				}
				c.checkAnswers(ids)
				if broken := c.cloud.Violations(); broken != nil {
					t.Error(broken)
				}
				if n := c.state.RejectedTxns(); n != 0 {
					t.Errorf("%d transactions were refused for their size", n)
				}
			})
		})
	}
}

// TestUnannouncedLimits lowers the limits with settings that say nothing of it. What
// is refused must not be sent for ever as it is, nor take others with it.
func TestUnannouncedLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTunedCluster(t, 3, func(s *settings.Settings) {
			s.Params.State = settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 12}
		})
		defer c.close()
		c.submit("j-000001", 30)
		time.Sleep(5 * time.Second)
		c.state.SetLimits(loweredLimits)
		// Many at once at one node, to share transactions; one of them is too large.
		large := testJob("j-000009", 2)
		large["lane"] = strings.Repeat("l", 3000)
		codes := make(chan int, 9)
		for i := 2; i <= 9; i++ {
			job := testJob(fmt.Sprintf("j-%06d", i), 4)
			if i == 9 {
				job = large
			}
			go func() {
				code, _ := c.request(http.MethodPost, 1, "/v1/jobs", job)
				codes <- code
			}()
		}
		got := map[int]int{}
		for range 8 {
			got[<-codes]++
		}
		if got[http.StatusCreated] != 7 || got[http.StatusBadRequest] != 1 {
			t.Errorf("answers to submissions: %v, want seven of 201 and one of 400", got)
		}
		for i := 1; i <= 8; i++ {
			c.awaitStatus(fmt.Sprintf("j-%06d", i), wire.JobDone, 120*time.Second)
		}
		before := c.state.RejectedTxns()
		time.Sleep(2 * time.Minute)
		if n := c.state.RejectedTxns() - before; n != 0 {
			t.Errorf("%d transactions are still refused", n)
		}
		if broken := c.cloud.Violations(); broken != nil {
			t.Error(broken)
		}
	})
}

// TestStoredValuesOverLimits lowers the limits where larger values are stored already: a
// list of the machines that are up and a job's description. The list is divided, at no
// moment does a machine stand in none; the job can be cancelled; also when the leader
// ends in the midst, and when transactions get no answer.
func TestStoredValuesOverLimits(t *testing.T) {
	isTxn := func(r *http.Request) bool { return isStateRequest(r) && r.URL.Path == "/txn" }
	cases := []struct {
		name  string
		fault fake.Fault
		kill  time.Duration // after the take-over, 0: no further one
	}{
		{name: "quiet"},
		{name: "transactions get no answer", fault: fake.DroppedResponse},
		{name: "transactions are applied late", fault: fake.DelayedRequest},
		{name: "the next leader ends while it divides", fault: fake.DroppedResponse, kill: 300 * time.Millisecond},
		{name: "the next leader ends soon", kill: time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				told := false
				c := newTunedCluster(t, 3, func(s *settings.Settings) {
					s.Params.State = settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 12}
					if told {
						announceLimits(s)
					}
				})
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 60 }
				time.Sleep(3 * time.Second)
				big, many := testJob("j-000002", 2), testJob("j-000001", 600)
				big["lane"], many["expect_s"] = strings.Repeat("l", 3000), 60.0
				for _, job := range []map[string]any{big, many} {
					if code, _ := c.request(http.MethodPost, 0, "/v1/jobs", job); code != http.StatusCreated {
						t.Fatalf("%s: %d", job["id"], code)
					}
				}
				time.Sleep(25 * time.Second)
				up := c.listedMachines()
				if len(up) < 100 || len(c.machineLists()) != 1 {
					t.Fatalf("%d machines in %d lists, want a hundred in one", len(up), len(c.machineLists()))
				}
				told = true
				c.state.SetLimits(loweredLimits)
				for i := range c.size {
					c.kill(i)
				}
				for i := range c.size {
					c.start(i)
				}
				if tc.fault != 0 {
					c.setFault(everyNth(2, tc.fault, isTxn))
				}
				missing := func() (out []string) {
					now := c.listedMachines()
					for _, w := range c.cloud.Workers() {
						if slices.Contains(up, w.ID) && !slices.Contains(now, w.ID) {
							out = append(out, w.ID)
						}
					}
					return out
				}
				killed := tc.kill == 0
				i := c.leader()
				began := time.Now()
				for time.Since(began) < 20*time.Second {
					if !killed && time.Since(began) >= tc.kill {
						killed = true
						c.kill(i)
						c.start(i)
					}
					if m := missing(); m != nil {
						t.Fatalf("%d machines that are up stand in no list: %v", len(m), m[0])
					}
					time.Sleep(100 * time.Millisecond)
				}
				c.setFault(nil)
				time.Sleep(5 * time.Second)
				for key, value := range c.machineLists() {
					if n := wire.JSONSize(value); n > int(loweredLimits.ValueKB*1024) {
						t.Errorf("%s still has %d bytes", key, n)
					}
				}
				if code, s := c.request(http.MethodPost, 1, "/v1/jobs/j-000002/abort", nil); code != http.StatusOK {
					t.Errorf("the large job's cancellation: %d %s", code, s.Status)
				}
				c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
				if n := c.state.RejectedTxns(); n != 0 {
					t.Errorf("%d transactions were refused for their size", n)
				}
				if broken := c.cloud.Violations(); broken != nil {
					t.Error(broken)
				}
			})
		})
	}
}

type storedMachineList struct {
	Machines []string `json:"m"`
}

// machineLists are the stored lists of machines that are up.
func (c *cluster) machineLists() map[string]storedMachineList {
	out := map[string]storedMachineList{}
	for n := range 50 {
		key := fmt.Sprintf("%s%d", replica.MachineListPrefix, n)
		if e, ok := c.state.Get(key); ok {
			var l storedMachineList
			if err := wire.Unmarshal(e.Value, &l); err != nil {
				c.t.Fatal(err)
			}
			out[key] = l
		}
	}
	return out
}

func (c *cluster) listedMachines() (ids []string) {
	for _, l := range c.machineLists() {
		for _, entry := range l.Machines {
			id, _, _ := strings.Cut(entry, " ")
			ids = append(ids, id)
		}
	}
	return ids
}

// TestMinimalLimits has a state service that takes hardly any value: no catalog that
// is new, no booking, no job. Who leads must take over all the same and use the machines
// that are there, cancellations be stored, and what is refused must not come for ever.
func TestMinimalLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTunedCluster(t, 3, announceLimits)
		defer c.close()
		c.cloud.RuntimeOf = func(task string) float64 {
			if strings.HasPrefix(task, "j-000002/") {
				return 400
			}
			return 5
		}
		c.submit("j-000001", 3)
		c.awaitStatus("j-000001", wire.JobDone, time.Minute)
		for i := range c.size {
			c.kill(i)
		}
		var catalog wire.InstanceTypeList
		e, _ := c.state.Get(replica.InstanceTypesKey)
		if err := wire.Unmarshal(e.Value, &catalog); err != nil {
			t.Fatal(err)
		}
		catalog.Types[0].Zones = append(catalog.Types[0].Zones, "gone")
		b, err := wire.Marshal(catalog)
		if err != nil {
			t.Fatal(err)
		}
		c.state.Put(replica.InstanceTypesKey, b)
		job := testJob("j-000002", 40)
		b, err = wire.Marshal(job)
		if err != nil {
			t.Fatal(err)
		}
		spec, err := wire.ParseJob(b)
		if err != nil {
			t.Fatal(err)
		}
		b, err = wire.Marshal(replica.Job{Spec: &spec, State: wire.JobPending})
		if err != nil {
			t.Fatal(err)
		}
		c.state.Put(replica.JobPrefix+spec.ID, b)
		c.rules.ObserveSubmission(spec)
		c.state.SetLimits(fake.StateLimits{ValueKB: 0.12, TxnOps: 3, WriteRPS: 15})
		for i := range c.size {
			c.start(i)
		}
		c.leader()
		time.Sleep(70 * time.Second)
		if code, e, _ := c.explain(0, spec.ID); code != http.StatusOK || e.Waiting == 0 || e.Waiting+e.Running != 40 {
			t.Errorf("the leader has not taken over: %d, %+v", code, e)
		}
		if code, _ := c.request(http.MethodPost, 1, "/v1/jobs", testJob("j-000003", 1)); code != http.StatusBadRequest {
			t.Errorf("a job that cannot be stored: %d", code)
		}
		before := c.state.RejectedTxns()
		time.Sleep(3 * time.Minute)
		n := c.state.RejectedTxns() - before
		t.Logf("%d refused at first, %d then", before, n)
		if n > 20 { // each of a size that was not refused before
			t.Errorf("%d transactions were refused in three minutes", n)
		}
		if code, s := c.request(http.MethodPost, 1, "/v1/jobs/j-000002/abort", nil); code != http.StatusOK {
			t.Errorf("cancellation: %d %s", code, s.Status)
		}
	})
}

package cluster

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

// loweredLimits are the limits that the state service has from some time on.
var loweredLimits = fake.StateLimits{ValueKB: 2, TxnOps: 4, WriteRPS: 15}

// announceLimits announces the lowered limits in the settings.
func announceLimits(s *settings.Settings) {
	l := loweredLimits
	s.Params.State = settings.State{RPS: 200, WriteRPS: 30, ValueKB: 8, TxnOps: 12,
		Upcoming: settings.UpcomingLimits{WriteRPS: &l.WriteRPS, ValueKB: &l.ValueKB, TxnOps: &l.TxnOps}}
}

// TestAnnouncedLimits lowers the state service's limits during other faults, as the settings
// announce. No write may be rejected for its size, before or after; all jobs complete, and no rule
// is violated.
func TestAnnouncedLimits(t *testing.T) {
	lower := func(c *cluster) { c.state.SetLimits(loweredLimits) }
	cases := []struct {
		name   string
		inject func(c *cluster)
	}{
		{"from the start", lower},
		{"during traffic", func(c *cluster) {
			time.Sleep(4 * time.Second)
			lower(c)
			time.Sleep(4 * time.Second)
		}},
		{"during a failover", func(c *cluster) {
			i := c.leader()
			time.Sleep(4 * time.Second)
			c.kill(i)
			time.Sleep(3 * time.Second)
			lower(c)
			time.Sleep(5 * time.Second)
			c.start(i)
		}},
		{"while responses to transactions are dropped", func(c *cluster) {
			isTxn := func(r *http.Request) bool { return isStateRequest(r) && r.URL.Path == "/txn" }
			c.setFault(everyNth(2, fake.DroppedResponse, isTxn))
			time.Sleep(3 * time.Second)
			lower(c)
			time.Sleep(10 * time.Second)
		}},
		{"while transactions are delayed", func(c *cluster) {
			c.setFault(everyNth(3, fake.DelayedRequest, func(r *http.Request) bool { return isStateRequest(r) && r.URL.Path == "/txn" }))
			time.Sleep(3 * time.Second)
			lower(c)
			time.Sleep(20 * time.Second)
		}},
		{"as all nodes restart", func(c *cluster) {
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
				tc.inject(c)
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
					t.Errorf("%d transactions were rejected for their size", n)
				}
			})
		})
	}
}

// TestUnannouncedLimits lowers the limits although the settings announce nothing. What is rejected
// must not be sent for ever as it is, nor prevent other writes.
func TestUnannouncedLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTunedCluster(t, 3, func(s *settings.Settings) {
			s.Params.State = settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 12}
		})
		defer c.close()
		c.submit("j-000001", 30)
		time.Sleep(5 * time.Second)
		c.state.SetLimits(loweredLimits)
		// Many submissions at once to one node, which shares transactions; one of them is too
		// large.
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
			t.Errorf("responses to submissions: %v, want seven of 201 and one of 400", got)
		}
		for i := 1; i <= 8; i++ {
			c.awaitStatus(fmt.Sprintf("j-%06d", i), wire.JobDone, 120*time.Second)
		}
		before := c.state.RejectedTxns()
		time.Sleep(2 * time.Minute)
		if n := c.state.RejectedTxns() - before; n != 0 {
			t.Errorf("%d transactions are still rejected", n)
		}
		if broken := c.cloud.Violations(); broken != nil {
			t.Error(broken)
		}
	})
}

// TestStoredValuesOverLimits lowers the limits where larger values are stored already: a machine
// list and a job's description. The list is divided, and at no time is a machine in none; the job
// can be cancelled; also when the leader restarts meanwhile, and when responses to transactions are
// dropped.
func TestStoredValuesOverLimits(t *testing.T) {
	isTxn := func(r *http.Request) bool { return isStateRequest(r) && r.URL.Path == "/txn" }
	cases := []struct {
		name  string
		fault fake.Fault
		kill  time.Duration // when the next leader restarts; 0: it does not
	}{
		{name: "no fault"},
		{name: "responses to transactions are dropped", fault: fake.DroppedResponse},
		{name: "transactions are delayed", fault: fake.DelayedRequest},
		{name: "the next leader restarts while it divides the list", fault: fake.DroppedResponse, kill: 300 * time.Millisecond},
		{name: "the next leader restarts soon", kill: time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				announced := false
				c := newTunedCluster(t, 3, func(s *settings.Settings) {
					s.Params.State = settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 12}
					if announced {
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
				listed := c.listedMachines()
				if len(listed) < 100 || len(c.machineLists()) != 1 {
					t.Fatalf("%d machines in %d lists, want a hundred in one", len(listed), len(c.machineLists()))
				}
				announced = true
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
						if slices.Contains(listed, w.ID) && !slices.Contains(now, w.ID) {
							out = append(out, w.ID)
						}
					}
					return out
				}
				killed := tc.kill == 0
				i := c.leader()
				restartedAt := time.Now()
				for time.Since(restartedAt) < 20*time.Second {
					if !killed && time.Since(restartedAt) >= tc.kill {
						killed = true
						c.kill(i)
						c.start(i)
					}
					if m := missing(); m != nil {
						t.Fatalf("%d machines that are up are in no list: %v", len(m), m[0])
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
					t.Errorf("the large job's cancellation: %d %s", code, s.State)
				}
				c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
				if n := c.state.RejectedTxns(); n != 0 {
					t.Errorf("%d transactions were rejected for their size", n)
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

// machineLists returns the stored machine lists, by key.
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

// TestMinimalLimits has a state service that takes hardly any value: no new list of instance types,
// no launch intent, no job. The leader must complete its failover all the same and use the machines
// that are there, cancellations must be stored, and what is rejected must not be sent for ever.
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
		var instanceTypes wire.InstanceTypeList
		e, _ := c.state.Get(replica.InstanceTypesKey)
		if err := wire.Unmarshal(e.Value, &instanceTypes); err != nil {
			t.Fatal(err)
		}
		instanceTypes.Types[0].Zones = append(instanceTypes.Types[0].Zones, "gone")
		b, err := wire.Marshal(instanceTypes)
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
			t.Errorf("the leader has not completed its failover: %d, %+v", code, e)
		}
		if code, _ := c.request(http.MethodPost, 1, "/v1/jobs", testJob("j-000003", 1)); code != http.StatusBadRequest {
			t.Errorf("a job that cannot be stored: %d", code)
		}
		before := c.state.RejectedTxns()
		time.Sleep(3 * time.Minute)
		n := c.state.RejectedTxns() - before
		t.Logf("%d rejected at first, %d then", before, n)
		if n > 20 { // each of a size that was not rejected before
			t.Errorf("%d transactions were rejected in three minutes", n)
		}
		if code, s := c.request(http.MethodPost, 1, "/v1/jobs/j-000002/abort", nil); code != http.StatusOK {
			t.Errorf("cancellation: %d %s", code, s.State)
		}
	})
}

package cluster

import (
	"fmt"
	"net/http"
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

// lowerLimits lowers the limits of the state service.
func lowerLimits(c *cluster) { c.state.SetLimits(loweredLimits) }

// isStateTxn reports whether a request is a transaction of the state service.
func isStateTxn(r *http.Request) bool { return isStateRequest(r) && r.URL.Path == "/txn" }

// limitChanges are situations in which the limits are lowered.
var limitChanges = []struct {
	name  string
	lower func(c *cluster)
}{
	{"from the start", lowerLimits},
	{"during traffic", lowerLimitsDuringTraffic},
	{"during a failover", lowerLimitsDuringFailover},
	{"while responses to transactions are dropped", lowerLimitsUnderDroppedResponses},
	{"while transactions are delayed", lowerLimitsUnderDelays},
	{"as all nodes restart", lowerLimitsDuringRestart},
}

// lowerLimitsDuringTraffic lowers the limits while jobs are submitted and complete.
func lowerLimitsDuringTraffic(c *cluster) {
	time.Sleep(4 * time.Second)
	lowerLimits(c)
	time.Sleep(4 * time.Second)
}

// lowerLimitsDuringFailover lowers the limits seconds after the leader was killed.
func lowerLimitsDuringFailover(c *cluster) {
	i := c.leader()
	time.Sleep(4 * time.Second)
	c.kill(i)
	time.Sleep(3 * time.Second)
	lowerLimits(c)
	time.Sleep(5 * time.Second)
	c.start(i)
}

// lowerLimitsUnderDroppedResponses has writes repeated that were carried out under the old limits.
func lowerLimitsUnderDroppedResponses(c *cluster) {
	c.setFault(everyNthNodeRequest(2, fake.DroppedResponse, isStateTxn))
	time.Sleep(3 * time.Second)
	lowerLimits(c)
	time.Sleep(10 * time.Second)
}

// lowerLimitsUnderDelays has writes arrive under the new limits that were sent under the old ones.
func lowerLimitsUnderDelays(c *cluster) {
	c.setFault(everyNthNodeRequest(3, fake.DelayedRequest, isStateTxn))
	time.Sleep(3 * time.Second)
	lowerLimits(c)
	time.Sleep(20 * time.Second)
}

// lowerLimitsDuringRestart lowers the limits while no node runs.
func lowerLimitsDuringRestart(c *cluster) {
	time.Sleep(3 * time.Second)
	c.killAll()
	lowerLimits(c)
	c.startAll()
}

// TestAnnouncedLimits lowers the state service's limits during other faults, as the settings
// announce. No write may be rejected for its size, before or after; all jobs complete, and no rule
// is violated.
func TestAnnouncedLimits(t *testing.T) {
	for _, change := range limitChanges {
		t.Run(change.name, func(t *testing.T) {
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
				change.lower(c)
				c.setFault(nil)
				for _, id := range ids[5:] {
					c.submit(id, 8)
				}
				for _, id := range ids {
					c.awaitStatus(id, wire.JobDone, 120*time.Second)
				}
				c.checkJobsKnown(ids)
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
		got := c.submitTogether()
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

// submitTogether submits eight jobs at once to one node, which shares transactions, and counts its
// responses by code. The last job is too large to be stored.
func (c *cluster) submitTogether() (countByCode map[int]int) {
	codes := make(chan int, 9)
	for i := 2; i <= 9; i++ {
		job := testJob(fmt.Sprintf("j-%06d", i), 4)
		if i == 9 {
			job = largeJob("j-000009")
		}
		go func() {
			code, _ := c.submitTo(1, job)
			codes <- code
		}()
	}
	countByCode = map[int]int{}
	for range 8 {
		countByCode[<-codes]++
	}
	return countByCode
}

// largeJob returns the submission of a job whose description is larger than the lowered limit of a
// value.
func largeJob(id string) map[string]any {
	job := testJob(id, 2)
	job["lane"] = strings.Repeat("l", 3000)
	return job
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
		c.killAll()
		c.storeLargerInstanceTypes()
		c.storeJob(testJob("j-000002", 40))
		c.state.SetLimits(fake.StateLimits{ValueKB: 0.12, TxnOps: 3, WriteRPS: 15})
		c.startAll()
		c.leader()
		time.Sleep(70 * time.Second)
		if code, e, _ := c.explain(0, "j-000002"); code != http.StatusOK || e.Waiting == 0 || e.Waiting+e.Running != 40 {
			t.Errorf("the leader has not completed its failover: %d, %+v", code, e)
		}
		if code, _ := c.submitTo(1, testJob("j-000003", 1)); code != http.StatusBadRequest {
			t.Errorf("a job that cannot be stored: %d", code)
		}
		before := c.state.RejectedTxns()
		time.Sleep(3 * time.Minute)
		n := c.state.RejectedTxns() - before
		t.Logf("%d rejected at first, %d then", before, n)
		if n > 20 { // each of a size that was not rejected before
			t.Errorf("%d transactions were rejected in three minutes", n)
		}
		if code, s := c.requestCancellation(1, "j-000002"); code != http.StatusOK {
			t.Errorf("cancellation: %d %s", code, s.State)
		}
	})
}

// storeLargerInstanceTypes has the stored list of instance types differ from the cloud's, so that
// the next leader has a new list to store.
func (c *cluster) storeLargerInstanceTypes() {
	c.t.Helper()
	var instanceTypes wire.InstanceTypeList
	e, _ := c.state.Get(replica.InstanceTypesKey)
	if err := wire.Unmarshal(e.Value, &instanceTypes); err != nil {
		c.t.Fatal(err)
	}
	instanceTypes.Types[0].Zones = append(instanceTypes.Types[0].Zones, "gone")
	b, err := wire.Marshal(instanceTypes)
	if err != nil {
		c.t.Fatal(err)
	}
	c.state.Put(replica.InstanceTypesKey, b)
}

// storeJob stores a job as accepted, without a node.
func (c *cluster) storeJob(job map[string]any) {
	c.t.Helper()
	b, err := wire.Marshal(job)
	if err != nil {
		c.t.Fatal(err)
	}
	spec, err := wire.ParseJob(b)
	if err != nil {
		c.t.Fatal(err)
	}
	b, err = wire.Marshal(replica.Job{Spec: &spec, State: wire.JobPending})
	if err != nil {
		c.t.Fatal(err)
	}
	c.state.Put(replica.JobPrefix+spec.ID, b)
	c.rules.ObserveSubmission(spec)
}

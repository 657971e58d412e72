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

// loweredLimits are the limits to which the tests lower those of the state service.
var loweredLimits = fake.StateLimits{ValueKB: 2, TxnOps: 4, WriteRPS: 15}

// announceLimits sets the present limits of the state service, and announces the lowered ones, in a node's settings.
func announceLimits(s *settings.Settings) {
	l := loweredLimits
	s.Params.State = settings.State{RPS: 200, WriteRPS: 30, ValueKB: 8, TxnOps: 12,
		Upcoming: settings.UpcomingLimits{WriteRPS: &l.WriteRPS, ValueKB: &l.ValueKB, TxnOps: &l.TxnOps}}
}

// lowerLimits lowers the limits of the state service.
func lowerLimits(c *cluster) { c.state.SetLimits(loweredLimits) }

// isStateTxn reports whether a request is a transaction of the state service.
func isStateTxn(r *http.Request) bool { return isStateRequest(r) && r.URL.Path == "/txn" }

// limitChanges are the situations in which TestAnnouncedLimits lowers the limits.
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

// lowerLimitsDuringTraffic lowers the limits while jobs run and complete.
func lowerLimitsDuringTraffic(c *cluster) {
	time.Sleep(4 * time.Second)
	lowerLimits(c)
	time.Sleep(4 * time.Second)
}

// lowerLimitsDuringFailover lowers the limits 3 s after the leader is killed.
func lowerLimitsDuringFailover(c *cluster) {
	i := c.leader()
	time.Sleep(4 * time.Second)
	c.kill(i)
	time.Sleep(3 * time.Second)
	lowerLimits(c)
	time.Sleep(5 * time.Second)
	c.start(i)
}

// lowerLimitsUnderDroppedResponses drops every second response to a transaction while the limits are lowered, so that
// nodes repeat writes that were applied under the old limits.
func lowerLimitsUnderDroppedResponses(c *cluster) {
	c.setFault(everyNthNodeRequest(2, fake.DroppedResponse, isStateTxn))
	time.Sleep(3 * time.Second)
	lowerLimits(c)
	time.Sleep(10 * time.Second)
}

// lowerLimitsUnderDelays delays every third transaction while the limits are lowered, so that writes sent under the old
// limits arrive under the new ones.
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

// TestAnnouncedLimits lowers the state service's limits to those that the settings announce, in part during other
// faults. No write may be rejected for its size before or after that, all jobs must complete, and no rule may be
// violated.
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
				if violations := c.cloud.Violations(); violations != nil {
					t.Error(violations)
				}
				if n := c.state.RejectedTxns(); n != 0 {
					t.Errorf("%d transactions were rejected for their size, want 0", n)
				}
			})
		})
	}
}

// TestUnannouncedLimits lowers the limits although the settings do not announce that. A node must not repeat a rejected
// write unchanged for ever, and a rejected write must not prevent other writes.
func TestUnannouncedLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTunedCluster(t, 3, func(s *settings.Settings) {
			s.Params.State = settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 12}
		})
		defer c.close()
		c.submit("j-000001", 30)
		time.Sleep(5 * time.Second)
		c.state.SetLimits(loweredLimits)
		got := c.submitConcurrently()
		if got[http.StatusCreated] != 7 || got[http.StatusBadRequest] != 1 {
			t.Errorf("responses to submissions by code: %v, want seven of 201 and one of 400", got)
		}
		for i := 1; i <= 8; i++ {
			c.awaitStatus(fmt.Sprintf("j-%06d", i), wire.JobDone, 120*time.Second)
		}
		before := c.state.RejectedTxns()
		time.Sleep(2 * time.Minute)
		if n := c.state.RejectedTxns() - before; n != 0 {
			t.Errorf("%d more transactions were rejected in two minutes after all jobs were done, want 0", n)
		}
		if violations := c.cloud.Violations(); violations != nil {
			t.Error(violations)
		}
	})
}

// submitConcurrently submits eight jobs at once to one node, which writes several of them in one transaction, and returns
// the numbers of its responses by code. The last job is too large to be stored.
func (c *cluster) submitConcurrently() (countByCode map[int]int) {
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

// largeJob returns the submission of a job whose description is larger than the lowered limit of a value's size.
func largeJob(id string) map[string]any {
	job := testJob(id, 2)
	job["lane"] = strings.Repeat("l", 3000)
	return job
}

// TestMinimalLimits lowers the limits so far that the state service rejects most values: a new list of instance types,
// launch intents and jobs. The leader must nevertheless complete its failover and use the existing machines, cancellations
// must be stored, and rejected writes must not be repeated for ever.
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
			t.Errorf("the leader has not completed its failover: got code %d, explanation %+v, want 200 and 40 tasks running or waiting, at least one waiting", code, e)
		}
		if code, _ := c.submitTo(1, testJob("j-000003", 1)); code != http.StatusBadRequest {
			t.Errorf("submission of a job that cannot be stored: got code %d, want 400", code)
		}
		before := c.state.RejectedTxns()
		time.Sleep(3 * time.Minute)
		n := c.state.RejectedTxns() - before
		t.Logf("%d transactions rejected at first, %d in the three minutes after", before, n)
		if n > 20 { // each is of a size that was not rejected before
			t.Errorf("%d transactions were rejected in three minutes, want at most 20", n)
		}
		if code, s := c.requestCancellation(1, "j-000002"); code != http.StatusOK {
			t.Errorf("cancellation: got code %d, status %q, want 200", code, s.State)
		}
	})
}

// storeLargerInstanceTypes stores a list of instance types that differs from the cloud's, so that the next leader has a
// new list to store.
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

// storeJob writes an accepted job directly to the state service, without a node.
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

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

// storedValueFault is a fault while stored values are over the limits.
type storedValueFault struct {
	name      string
	fault     fake.Fault    // of every other transaction
	restartAt time.Duration // when the next leader restarts; 0: it does not
}

// storedValueFaults are faults while stored values are over the limits.
var storedValueFaults = []storedValueFault{
	{name: "no fault"},
	{name: "responses to transactions are dropped", fault: fake.DroppedResponse},
	{name: "transactions are delayed", fault: fake.DelayedRequest},
	{
		name:      "the next leader restarts while it divides the list",
		fault:     fake.DroppedResponse,
		restartAt: 300 * time.Millisecond,
	},
	{name: "the next leader restarts soon", restartAt: time.Second},
}

// TestStoredValuesOverLimits lowers the limits where larger values are stored already: a machine
// list and a job's description. The list is divided, and at no time is a machine in none; the job
// can be cancelled; also when the leader restarts meanwhile, and when responses to transactions are
// dropped.
func TestStoredValuesOverLimits(t *testing.T) {
	for _, fault := range storedValueFaults {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { fault.run(t) })
		})
	}
}

// run stores the large values, and has all nodes restart under lower limits.
func (f storedValueFault) run(t *testing.T) {
	announced := false
	c := newTunedCluster(t, 3, func(s *settings.Settings) {
		s.Params.State = settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 12}
		if announced {
			announceLimits(s)
		}
	})
	defer c.close()
	listed := c.storeLargeValues()
	announced = true
	lowerLimits(c)
	c.killAll()
	c.startAll()
	if f.fault != 0 {
		c.setFault(everyNthNodeRequest(2, f.fault, isStateTxn))
	}
	f.checkAlwaysListed(c, listed)
	c.setFault(nil)
	time.Sleep(5 * time.Second)
	for key, value := range c.machineLists() {
		if n := wire.JSONSize(value); n > int(loweredLimits.ValueKB*1024) {
			t.Errorf("%s still has %d bytes", key, n)
		}
	}
	if code, s := c.requestCancellation(1, "j-000002"); code != http.StatusOK {
		t.Errorf("the large job's cancellation: %d %s", code, s.State)
	}
	c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
	if n := c.state.RejectedTxns(); n != 0 {
		t.Errorf("%d transactions were rejected for their size", n)
	}
	if broken := c.cloud.Violations(); broken != nil {
		t.Error(broken)
	}
}

// storeLargeValues submits a job with a large description and one that needs many machines, and
// returns the IDs of these machines, which are all in one list.
func (c *cluster) storeLargeValues() (listed []string) {
	c.t.Helper()
	c.cloud.RuntimeOf = func(string) float64 { return 60 }
	time.Sleep(3 * time.Second)
	big, many := largeJob("j-000002"), testJob("j-000001", 600)
	many["expect_s"] = 60.0
	for _, job := range []map[string]any{big, many} {
		if code, _ := c.submitTo(0, job); code != http.StatusCreated {
			c.t.Fatalf("%s: %d", job["id"], code)
		}
	}
	time.Sleep(25 * time.Second)
	listed = c.listedMachines()
	if len(listed) < 100 || len(c.machineLists()) != 1 {
		c.t.Fatalf("%d machines in %d lists, want a hundred in one", len(listed), len(c.machineLists()))
	}
	return listed
}

// checkAlwaysListed checks for 20 s that each of these machines that is up is in some list, and
// restarts the leader meanwhile if the fault is that.
func (f storedValueFault) checkAlwaysListed(c *cluster, listed []string) {
	c.t.Helper()
	restarted := f.restartAt == 0
	leader := c.leader()
	startedAt := time.Now()
	for time.Since(startedAt) < 20*time.Second {
		if !restarted && time.Since(startedAt) >= f.restartAt {
			restarted = true
			c.kill(leader)
			c.start(leader)
		}
		if missing := c.missingFromLists(listed); missing != nil {
			c.t.Fatalf("%d machines that are up are in no list: %v", len(missing), missing[0])
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// missingFromLists returns those of some machines that are up and in no list.
func (c *cluster) missingFromLists(ids []string) (missing []string) {
	now := c.listedMachines()
	for _, w := range c.cloud.Workers() {
		if slices.Contains(ids, w.ID) && !slices.Contains(now, w.ID) {
			missing = append(missing, w.ID)
		}
	}
	return missing
}

// storedMachineList is the value of a machine list.
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

// listedMachines returns the IDs of the machines that are in stored machine lists.
func (c *cluster) listedMachines() (ids []string) {
	for _, l := range c.machineLists() {
		for _, entry := range l.Machines {
			id, _, _ := strings.Cut(entry, " ")
			ids = append(ids, id)
		}
	}
	return ids
}

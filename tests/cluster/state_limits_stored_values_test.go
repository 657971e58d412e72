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

// storedValueFault is a fault that occurs while stored values are over the limits.
type storedValueFault struct {
	name               string
	txnFault           fake.Fault    // of every second transaction
	restartLeaderAfter time.Duration // delay until the next leader is restarted; 0: it is not restarted
}

// storedValueFaults are the faults under which TestStoredValuesOverLimits runs.
var storedValueFaults = []storedValueFault{
	{name: "no fault"},
	{name: "responses to transactions are dropped", txnFault: fake.DroppedResponse},
	{name: "transactions are delayed", txnFault: fake.DelayedRequest},
	{
		name:               "the next leader restarts while it divides the list",
		txnFault:           fake.DroppedResponse,
		restartLeaderAfter: 300 * time.Millisecond,
	},
	{name: "the next leader restarts after a second", restartLeaderAfter: time.Second},
}

// TestStoredValuesOverLimits lowers the limits while larger values are already stored: a machine list and a job's
// description. The leader must divide the list so that every machine is in a list at all times, and the job's
// cancellation must be stored, also when the leader restarts meanwhile or responses to transactions are dropped.
func TestStoredValuesOverLimits(t *testing.T) {
	for _, fault := range storedValueFaults {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { fault.run(t) })
		})
	}
}

// run stores the large values, restarts all nodes under lower limits, and checks the stored values under the fault.
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
	if f.txnFault != 0 {
		c.setFault(everyNthNodeRequest(2, f.txnFault, isStateTxn))
	}
	f.checkAlwaysListed(c, listed)
	c.setFault(nil)
	time.Sleep(5 * time.Second)
	for key, value := range c.machineLists() {
		if n := wire.JSONSize(value); n > int(loweredLimits.ValueKB*1024) {
			t.Errorf("%s still has %d bytes, want at most the lowered limit of %v KB", key, n, loweredLimits.ValueKB)
		}
	}
	if code, s := c.requestCancellation(1, "j-000002"); code != http.StatusOK {
		t.Errorf("cancellation of the large job: got code %d, status %q, want 200", code, s.State)
	}
	c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
	if n := c.state.RejectedTxns(); n != 0 {
		t.Errorf("%d transactions were rejected for their size, want 0", n)
	}
	if violations := c.cloud.Violations(); violations != nil {
		t.Error(violations)
	}
}

// storeLargeValues submits a job with a large description and a job that needs many machines. It returns the IDs of the
// machines, which are all in one list.
func (c *cluster) storeLargeValues() (listed []string) {
	c.t.Helper()
	c.cloud.RuntimeOf = func(string) float64 { return 60 }
	time.Sleep(3 * time.Second)
	largeDescription, manyTasks := largeJob("j-000002"), testJob("j-000001", 600)
	manyTasks["expect_s"] = 60.0
	for _, job := range []map[string]any{largeDescription, manyTasks} {
		if code, _ := c.submitTo(0, job); code != http.StatusCreated {
			c.t.Fatalf("submission of %s: got code %d, want 201", job["id"], code)
		}
	}
	time.Sleep(25 * time.Second)
	listed = c.listedMachines()
	if len(listed) < 100 || len(c.machineLists()) != 1 {
		c.t.Fatalf("%d machines in %d lists, want at least 100 in one list", len(listed), len(c.machineLists()))
	}
	return listed
}

// checkAlwaysListed checks for 20 s that each of the given machines that is up is in some stored list. Meanwhile it
// restarts the leader if the fault includes that.
func (f storedValueFault) checkAlwaysListed(c *cluster, listed []string) {
	c.t.Helper()
	restarted := f.restartLeaderAfter == 0
	leader := c.leader()
	startedAt := time.Now()
	for time.Since(startedAt) < 20*time.Second {
		if !restarted && time.Since(startedAt) >= f.restartLeaderAfter {
			restarted = true
			c.kill(leader)
			c.start(leader)
		}
		if missing := c.missingFromLists(listed); missing != nil {
			c.t.Fatalf("%d machines that are up are in no list, the first is %v", len(missing), missing[0])
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// missingFromLists returns those of the given machines that are up and in no stored list.
func (c *cluster) missingFromLists(ids []string) (missing []string) {
	listed := c.listedMachines()
	for _, w := range c.cloud.Workers() {
		if slices.Contains(ids, w.ID) && !slices.Contains(listed, w.ID) {
			missing = append(missing, w.ID)
		}
	}
	return missing
}

// storedMachineList is the stored value of a machine list. Each element begins with the ID of a machine.
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

// listedMachines returns the IDs of the machines in the stored machine lists, an ID for each list that has it.
func (c *cluster) listedMachines() (ids []string) {
	for _, l := range c.machineLists() {
		for _, entry := range l.Machines {
			id, _, _ := strings.Cut(entry, " ")
			ids = append(ids, id)
		}
	}
	return ids
}

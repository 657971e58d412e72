package cluster

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// outageScenario is a set of events around an outage of the state service that begins right after a cancellation is
// confirmed.
type outageScenario struct {
	name string
	// before runs before the cancellation. confirm cancels the job; if it is nil, the cancellation is requested from the
	// confirming node. after runs during the outage. The leader is partitioned from the other nodes until after runs, so
	// that it cannot learn of the cancellation at once.
	before, confirm, after func(o *outageRun)
	submitLate             bool // the job is submitted just before the cancellation
}

var outageScenarios = []outageScenario{
	{name: "no other fault", after: (*outageRun).healPairs},
	{name: "the confirming node crashes right after", after: killConfirmingNode},
	{name: "the confirming node restarts and loses its state", after: restartConfirmingNode},
	{name: "the confirming node stays partitioned from the leader", after: partitionConfirmingNode},
	{name: "the leader stays partitioned from all nodes", after: func(*outageRun) {}},
	{name: "the leader learns of it late", after: healPairsAfter(6 * time.Second)},
	// Peers must report a confirmed cancellation however long ago it was confirmed. Otherwise the leader, which relies on
	// their reports, would start the tasks again.
	{
		name:  "the leader learns of it after the cancellation timeout",
		after: healPairsAfter(time.Duration(1.2*cancellationTimeoutS) * time.Second),
	},
	{
		name:    "the confirming node crashes after the others have learned of the cancellation",
		confirm: cancelAndKillConfirmingNode,
		after:   (*outageRun).healPairs,
	},
	// A node sent the cancellation's transaction long before the transaction was applied, and gave up waiting; another
	// node read the result. A cancellation that a node knows of counts, whenever its transaction was sent.
	{
		name:    "the transaction of the cancellation is minutes old when it is applied",
		confirm: commitOldCancellation,
		after:   (*outageRun).healPairs,
	},
	{
		name:    "the first response is dropped, and the user cancels at another node",
		confirm: cancelAtAnotherNode,
		after:   killConfirmingNode,
	},
	// Isolated machines run their tasks until their leases expire.
	{name: "half of the machines are isolated", before: isolateHalf, after: (*outageRun).healPairs},
	{
		name:   "responses and commands to half of the machines are dropped",
		before: dropResponsesToHalf,
		after:  (*outageRun).healPairs,
	},
	{name: "heartbeats of half of the machines are dropped", before: dropHeartbeatsOfHalf, after: (*outageRun).healPairs},
	// The leader sends starts in the same seconds in which it does not know of the cancellation.
	{name: "tasks are being started during the cancellation", submitLate: true, after: (*outageRun).healPairs},
}

// killConfirmingNode kills the node that confirmed the cancellation, and ends the partitions between the other nodes.
func killConfirmingNode(o *outageRun) {
	o.kill(o.confirmingNode)
	o.healPairs()
}

// restartConfirmingNode restarts the node that confirmed the cancellation, so that it no longer knows of it, and ends all
// partitions.
func restartConfirmingNode(o *outageRun) {
	o.restartNodes(o.confirmingNode)
	o.healPairs()
}

// partitionConfirmingNode keeps only the leader and the node that confirmed the cancellation partitioned from each other,
// so that the leader can learn of the cancellation only from the other nodes.
func partitionConfirmingNode(o *outageRun) {
	o.partitionPairs(func(a, b int) bool { return a == o.leadingNode && b == o.confirmingNode })
}

// healPairsAfter returns a function that leaves the leader partitioned from the other nodes for the given time.
func healPairsAfter(delay time.Duration) func(o *outageRun) {
	return func(o *outageRun) {
		time.Sleep(delay)
		o.healPairs()
	}
}

// cancelAndKillConfirmingNode cancels the job at the confirming node, and kills that node once the other nodes know of
// the cancellation.
func cancelAndKillConfirmingNode(o *outageRun) {
	o.cancel(o.confirmingNode)
	time.Sleep(600 * time.Millisecond) // until the other nodes have read the change
	o.kill(o.confirmingNode)
}

// commitOldCancellation commits a cancellation whose end time is 600 s before the job's submission, as if a node had sent
// the transaction then. The confirming node must then answer that the job is cancelled.
func commitOldCancellation(o *outageRun) {
	var j replica.Job
	e, _ := o.state.Get(replica.JobPrefix + cancelledJob)
	if err := wire.Unmarshal(e.Value, &j); err != nil {
		o.t.Fatal(err)
	}
	j.State, j.EndedAt = wire.JobCancelled, j.SubmittedAt-600*micros.Second // when the transaction was sent
	txn := wire.Txn{
		If:   []wire.Compare{{Key: e.Key, ModRevision: e.ModRevision}},
		Then: []wire.Op{{Put: e.Key, Value: j}},
	}
	b, err := wire.Marshal(txn)
	if err != nil {
		o.t.Fatal(err)
	}
	o.rules.ObserveRequest("/v1/jobs/" + cancelledJob + "/abort")
	w := httptest.NewRecorder()
	o.state.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/txn", bytes.NewReader(b)))
	if _, s := o.queryJob(o.confirmingNode, cancelledJob); w.Code != http.StatusOK || s.State != wire.JobCancelled {
		o.t.Fatalf("cancellation: got code %d for the transaction and then status %q, want 200 and \"withdrawn\"", w.Code, s.State)
	}
}

// cancelAtAnotherNode drops the confirming node's response to the user, who gives up after 300 ms and then cancels the
// job at another node that does not lead.
func cancelAtAnotherNode(o *outageRun) {
	confirmingHost := fmt.Sprintf("host-%d:8080", o.confirmingNode)
	o.setAdditionalFault(func(from string, r *http.Request) fake.Fault {
		if from == "user" && r.URL.Host == confirmingHost {
			return fake.DroppedResponse
		}
		return fake.NoFault
	})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	path := "/v1/jobs/" + cancelledJob + "/abort"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+confirmingHost+path, nil)
	if err != nil {
		o.t.Fatal(err)
	}
	o.rules.ObserveRequest(path)
	if _, err := o.userClient.Do(r); err == nil {
		o.t.Error("the user received the confirming node's response, want it to be dropped")
	}
	for i := range o.size {
		if i != o.confirmingNode && i != o.leadingNode {
			o.cancel(i)
			break
		}
	}
}

// isolateHalf isolates every second machine from all nodes.
func isolateHalf(o *outageRun) {
	o.setAdditionalFault(func(from string, r *http.Request) fake.Fault {
		if hasEvenMachineID(from) || hasEvenMachineID(r.URL.Host) {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
}

// dropResponsesToHalf drops the nodes' responses and commands to every second machine, whose heartbeats still arrive.
func dropResponsesToHalf(o *outageRun) {
	o.setAdditionalFault(func(from string, r *http.Request) fake.Fault {
		switch {
		case hasEvenMachineID(from) && r.URL.Path == "/hello":
			return fake.DroppedResponse
		case hasEvenMachineID(r.URL.Host):
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
}

// dropHeartbeatsOfHalf drops everything that every second machine sends; the nodes' commands still reach the machine.
func dropHeartbeatsOfHalf(o *outageRun) {
	o.setAdditionalFault(func(from string, _ *http.Request) fake.Fault {
		if hasEvenMachineID(from) {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
}

// hasEvenMachineID reports whether a host is a machine whose ID is even, as every second machine's is.
func hasEvenMachineID(host string) bool {
	return strings.HasPrefix(host, "i-") && (host[len("i-00000")]-'0')%2 == 0
}

// TestCancellationDuringOutage checks that the tasks of a job whose cancellation was confirmed just before an outage of
// the state service are gone in time and never start again, although the leader cannot read the cancellation.
func TestCancellationDuringOutage(t *testing.T) {
	for _, nodes := range []int{3, 5} {
		for _, scenario := range outageScenarios {
			t.Run(fmt.Sprintf("%s, %d nodes", scenario.name, nodes), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { scenario.run(t, nodes) })
			})
		}
	}
}

// run runs the scenario on a cluster with the given number of nodes.
func (s outageScenario) run(t *testing.T, nodes int) {
	o := &outageRun{cluster: newClusterOf(t, nodes)}
	defer o.close()
	o.prepare(s.submitLate)
	o.refuseLeader()
	if s.before != nil {
		s.before(o)
	}
	o.partitionPairs(func(a, _ int) bool { return a == o.leadingNode })
	for i := 0; i < 30 && !s.submitLate && !o.isLeaderRefused(); i++ {
		time.Sleep(50 * time.Millisecond)
	}
	if s.confirm != nil {
		s.confirm(o)
	} else {
		o.cancel(o.confirmingNode)
	}
	o.state.SetOutage(true)
	confirmedAt := time.Now()
	on := len(o.cancelledTasksOnMachines())
	if on == 0 || s.submitLate == (on == cancelledTasks) || !s.submitLate && !o.isLeaderRefused() {
		t.Errorf("%d tasks on machines, leader refused: %t: the faults did not coincide as the scenario needs", on, o.isLeaderRefused())
	}
	s.after(o)
	time.Sleep(outageDuration - time.Since(confirmedAt))
	if now := o.leader(); now != o.leadingNode {
		t.Errorf("node %d leads after the outage, want node %d as before", now, o.leadingNode)
	}
	o.recoverAll()
	o.awaitStatus(backgroundJob, wire.JobDone, 2*time.Minute)
	o.awaitStatus(cancelledJob, wire.JobCancelled, 5*time.Second)
	if on := o.cancelledTasksOnMachines(); len(on) > 0 {
		t.Errorf("tasks of the cancelled job still on machines: %v", on)
	}
	for _, violation := range o.rules.Violations() {
		t.Error(violation)
	}
}

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

// outageScenario is what happens beside an outage of the state service after a cancellation.
type outageScenario struct {
	name string
	// before is what happens before the cancellation; confirm is the cancellation, if it is not
	// simply requested of the confirming node; after is what happens in the outage. Until then
	// the leader is partitioned from the other nodes, so that it cannot learn of it at once.
	before, confirm, after func(g *outageRun)
	late                   bool // the job is submitted just before
}

var outageScenarios = []outageScenario{
	{name: "no other fault", after: (*outageRun).healPairs},
	{name: "the confirming node crashes right after", after: killConfirmingNode},
	{name: "the confirming node restarts, and has lost its memory", after: restartConfirmingNode},
	{name: "the confirming node stays partitioned from the leader", after: partitionConfirmingNode},
	{name: "the leader stays partitioned from all nodes", after: func(*outageRun) {}},
	{name: "the leader learns of it late", after: healPairsAfter(6 * time.Second)},
	// What a node has answered stays valid, however long ago it was: else the leader, on the
	// word of its peers, would start the tasks again.
	{
		name:  "the leader learns of it after the cancellation timeout",
		after: healPairsAfter(time.Duration(1.2*cancellationTimeoutS) * time.Second),
	},
	{
		name:    "the confirming node crashes, and the others know of the cancellation",
		confirm: cancelAndKillConfirmingNode,
		after:   (*outageRun).healPairs,
	},
	// The user's node wrote it long before it was carried out, and gave up; another node read
	// it. What counts is what a node knows, not when it was written.
	{
		name:    "the transaction of the cancellation was minutes old when it was carried out",
		confirm: commitOldCancellation,
		after:   (*outageRun).healPairs,
	},
	{
		name:    "the first response is dropped, and the user cancels at another node",
		confirm: cancelAtAnotherNode,
		after:   killConfirmingNode,
	},
	// They run their tasks until their leases expire.
	{name: "half of the machines are isolated", before: isolateHalf, after: (*outageRun).healPairs},
	{
		name:   "responses and commands to half of the machines are dropped",
		before: dropResponsesToHalf,
		after:  (*outageRun).healPairs,
	},
	{name: "heartbeats of half of the machines are dropped", before: dropHeartbeatsOfHalf, after: (*outageRun).healPairs},
	// Starts are sent in the very seconds in which the leader does not know of the
	// cancellation.
	{name: "tasks are being started meanwhile", late: true, after: (*outageRun).healPairs},
}

// killConfirmingNode kills the node that confirmed the cancellation, and heals the connections of
// the others.
func killConfirmingNode(g *outageRun) {
	g.kill(g.confirmingNode)
	g.healPairs()
}

// restartConfirmingNode has the node that confirmed the cancellation forget that it did.
func restartConfirmingNode(g *outageRun) {
	g.restartNodes(g.confirmingNode)
	g.healPairs()
}

// partitionConfirmingNode leaves the leader without a connection to the node that confirmed the
// cancellation: it can learn of it from the others only.
func partitionConfirmingNode(g *outageRun) {
	g.partitionPairs(func(a, b int) bool { return a == g.leadingNode && b == g.confirmingNode })
}

// healPairsAfter leaves the leader partitioned from the other nodes for a while.
func healPairsAfter(wait time.Duration) func(g *outageRun) {
	return func(g *outageRun) {
		time.Sleep(wait)
		g.healPairs()
	}
}

// cancelAndKillConfirmingNode kills the node that confirmed the cancellation once the other nodes
// know of it.
func cancelAndKillConfirmingNode(g *outageRun) {
	g.cancel(g.confirmingNode)
	time.Sleep(600 * time.Millisecond) // for the others to read the change
	g.kill(g.confirmingNode)
}

// commitOldCancellation commits a cancellation as a node would have sent it 600 s before the job was
// submitted. The confirming node must then answer that the job is cancelled.
func commitOldCancellation(g *outageRun) {
	var j replica.Job
	e, _ := g.state.Get(replica.JobPrefix + cancelledJob)
	if err := wire.Unmarshal(e.Value, &j); err != nil {
		g.t.Fatal(err)
	}
	j.State, j.EndedAt = wire.JobCancelled, j.SubmittedAt-600*micros.Second // the time at which it was sent
	txn := wire.Txn{
		If:   []wire.Compare{{Key: e.Key, ModRevision: e.ModRevision}},
		Then: []wire.Op{{Put: e.Key, Value: j}},
	}
	b, err := wire.Marshal(txn)
	if err != nil {
		g.t.Fatal(err)
	}
	g.rules.ObserveRequest("/v1/jobs/" + cancelledJob + "/abort")
	w := httptest.NewRecorder()
	g.state.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/txn", bytes.NewReader(b)))
	if _, s := g.queryJob(g.confirmingNode, cancelledJob); w.Code != http.StatusOK || s.State != wire.JobCancelled {
		g.t.Fatalf("the transaction answered %d, then the job is %s", w.Code, s.State)
	}
}

// cancelAtAnotherNode drops the confirming node's response to the user, who gives up and then has
// the cancellation confirmed by another node that does not lead.
func cancelAtAnotherNode(g *outageRun) {
	confirmingHost := fmt.Sprintf("host-%d:8080", g.confirmingNode)
	g.setOtherFault(func(from string, r *http.Request) fake.Fault {
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
		g.t.Fatal(err)
	}
	g.rules.ObserveRequest(path)
	if _, err := g.userClient.Do(r); err == nil {
		g.t.Error("the response was not dropped")
	}
	for i := range g.size {
		if i != g.confirmingNode && i != g.leadingNode {
			g.cancel(i)
			break
		}
	}
}

// isolateHalf isolates every other machine from all nodes.
func isolateHalf(g *outageRun) {
	g.setOtherFault(func(from string, r *http.Request) fake.Fault {
		if isEveryOtherMachine(from) || isEveryOtherMachine(r.URL.Host) {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
}

// dropResponsesToHalf lets heartbeats of every other machine arrive, and nothing reach it.
func dropResponsesToHalf(g *outageRun) {
	g.setOtherFault(func(from string, r *http.Request) fake.Fault {
		switch {
		case isEveryOtherMachine(from) && r.URL.Path == "/hello":
			return fake.DroppedResponse
		case isEveryOtherMachine(r.URL.Host):
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
}

// dropHeartbeatsOfHalf lets commands reach every other machine, and nothing arrive from it.
func dropHeartbeatsOfHalf(g *outageRun) {
	g.setOtherFault(func(from string, _ *http.Request) fake.Fault {
		if isEveryOtherMachine(from) {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
}

// isEveryOtherMachine reports whether a host is one of every other machine.
func isEveryOtherMachine(host string) bool {
	return strings.HasPrefix(host, "i-") && (host[len("i-00000")]-'0')%2 == 0
}

// TestCancellationDuringOutage checks that the tasks of a job whose cancellation was confirmed in
// an outageRun are gone in time, and never start again.
func TestCancellationDuringOutage(t *testing.T) {
	for _, nodes := range []int{3, 5} {
		for _, scenario := range outageScenarios {
			t.Run(fmt.Sprintf("%s, %d nodes", scenario.name, nodes), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { scenario.run(t, nodes) })
			})
		}
	}
}

// run runs a scenario on so many nodes.
func (s outageScenario) run(t *testing.T, nodes int) {
	g := &outageRun{cluster: newClusterOf(t, nodes)}
	defer g.close()
	g.prepare(s.late)
	g.refuseLeader()
	if s.before != nil {
		s.before(g)
	}
	g.partitionPairs(func(a, _ int) bool { return a == g.leadingNode })
	for i := 0; i < 30 && !s.late && !g.isLeaderRefused(); i++ {
		time.Sleep(50 * time.Millisecond)
	}
	if s.confirm != nil {
		s.confirm(g)
	} else {
		g.cancel(g.confirmingNode)
	}
	g.state.SetOutage(true)
	confirmedAt := time.Now()
	on := len(g.cancelledTasksOnMachines())
	if on == 0 || s.late == (on == cancelledTasks) || !s.late && !g.isLeaderRefused() {
		t.Errorf("%d tasks on machines, the leader is refused: %t: the faults did not coincide", on, g.isLeaderRefused())
	}
	s.after(g)
	time.Sleep(outageDuration - time.Since(confirmedAt))
	if now := g.leader(); now != g.leadingNode {
		t.Errorf("node %d leads instead of %d", now, g.leadingNode)
	}
	g.recoverAll()
	g.awaitStatus(quickJob, wire.JobDone, 2*time.Minute)
	g.awaitStatus(cancelledJob, wire.JobCancelled, 5*time.Second)
	if on := g.cancelledTasksOnMachines(); len(on) > 0 {
		t.Errorf("still on machines: %v", on)
	}
	for _, rule := range g.rules.Violations() {
		t.Error(rule)
	}
}

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

// outageRun is a run in which the state service is unavailable to the leader alone, another node
// confirms that a job is cancelled, and then the state service is down for all for longer than the
// cancellation timeout, while the workers go on sending heartbeats to the old leader.
type outageRun struct {
	*cluster
	leadingNode, confirmingNode int
	otherFault                  func(from string, r *http.Request) fake.Fault // in addition; nil: none
	refusing                    bool
	refusals                    int // of the leader, by the state service
}

// faultOf makes the state service unavailable to the leader. An open watch of a node to which it is
// unavailable waits, so the leader gets none from before: until then it has to poll.
func (g *outageRun) faultOf(from string, r *http.Request) fake.Fault {
	if isStateRequest(r) && strings.HasPrefix(from, fmt.Sprintf("host-%d/", g.leadingNode)) {
		if g.refusing {
			g.refusals++
			return fake.ServiceUnavailable
		}
		if r.URL.Path == "/watch" && r.URL.Query().Get("wait_ms") != "0" {
			return fake.DroppedRequest
		}
	}
	if g.otherFault != nil {
		return g.otherFault(from, r)
	}
	return fake.NoFault
}

// setOtherFault adds faults of other requests.
func (g *outageRun) setOtherFault(also func(from string, r *http.Request) fake.Fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.otherFault = also
}

// cancel cancels the job at a node.
func (g *outageRun) cancel(node int) {
	g.t.Helper()
	for range 20 {
		if code, s := g.request(http.MethodPost, node, "/v1/jobs/j-000001/abort", nil); code == http.StatusOK && s.State == wire.JobCancelled {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.t.Fatal("the job could not be cancelled")
}

// partitionPairs partitions the pairs of nodes that match, and ends other partitions.
func (g *outageRun) partitionPairs(pairs func(a, b int) bool) {
	number := func(member string) (i int) {
		if _, err := fmt.Sscanf(member, "host-%d", &i); err != nil {
			panic(err)
		}
		return i
	}
	g.pipes.SetPartition(func(from, to string) bool { a, b := number(from), number(to); return pairs(a, b) || pairs(b, a) })
}

// healPairs ends all partitions between nodes.
func (g *outageRun) healPairs() { g.partitionPairs(func(int, int) bool { return false }) }

// isLeaderRefused reports whether the state service has refused a request of the leader.
func (g *outageRun) isLeaderRefused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refusals > 0
}

// TestCancellationDuringOutage checks that the tasks of a job whose cancellation was confirmed in
// an outageRun are gone in time, and never start again.
func TestCancellationDuringOutage(t *testing.T) {
	const outage = time.Duration(1.6*cancellationTimeoutS) * time.Second
	cases := []struct {
		name string
		// before is what happens before the cancellation; confirm is the cancellation, if it is not
		// simply requested of the confirming node; after is what happens in the outage. Until then
		// the leader is partitioned from the other nodes, so that it cannot learn of it at once.
		before, confirm, after func(g *outageRun)
		late                   bool // the job is submitted just before
	}{
		{name: "no other fault", after: (*outageRun).healPairs},
		{name: "the confirming node crashes right after", after: func(g *outageRun) {
			g.kill(g.confirmingNode)
			g.healPairs()
		}},
		{name: "the confirming node restarts, and has lost its memory", after: func(g *outageRun) {
			g.restartNodes(g.confirmingNode)
			g.healPairs()
		}},
		{name: "the confirming node stays partitioned from the leader", after: func(g *outageRun) {
			g.partitionPairs(func(a, b int) bool { return a == g.leadingNode && b == g.confirmingNode })
		}},
		{name: "the leader stays partitioned from all nodes", after: func(*outageRun) {}},
		{name: "the leader learns of it late", after: func(g *outageRun) {
			time.Sleep(6 * time.Second)
			g.healPairs()
		}},
		// What a node has answered stays valid, however long ago it was: else the leader, on the
		// word of its peers, would start the tasks again.
		{name: "the leader learns of it after the cancellation timeout", after: func(g *outageRun) {
			time.Sleep(time.Duration(1.2*cancellationTimeoutS) * time.Second)
			g.healPairs()
		}},
		{name: "the confirming node crashes, and the others know of the cancellation", confirm: func(g *outageRun) {
			g.cancel(g.confirmingNode)
			time.Sleep(600 * time.Millisecond) // for the others to read the change
			g.kill(g.confirmingNode)
		}, after: (*outageRun).healPairs},
		// The user's node wrote it long before it was carried out, and gave up; another node read
		// it. What counts is what a node knows, not when it was written.
		{name: "the transaction of the cancellation was minutes old when it was carried out", confirm: func(g *outageRun) {
			var j replica.Job
			e, _ := g.state.Get(replica.JobPrefix + "j-000001")
			if err := wire.Unmarshal(e.Value, &j); err != nil {
				g.t.Fatal(err)
			}
			j.State, j.EndedAt = wire.JobCancelled, j.SubmittedAt-600*micros.Second // the time at which it was sent
			b, err := wire.Marshal(wire.Txn{If: []wire.Compare{{Key: e.Key, ModRevision: e.ModRevision}}, Then: []wire.Op{{Put: e.Key, Value: j}}})
			if err != nil {
				g.t.Fatal(err)
			}
			g.rules.ObserveRequest("/v1/jobs/j-000001/abort")
			w := httptest.NewRecorder()
			g.state.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/txn", bytes.NewReader(b)))
			if _, s := g.request(http.MethodGet, g.confirmingNode, "/v1/jobs/j-000001", nil); w.Code != http.StatusOK || s.State != wire.JobCancelled {
				g.t.Fatalf("the transaction answered %d, then the job is %s", w.Code, s.State)
			}
		}, after: (*outageRun).healPairs},
		{name: "the first response is dropped, and the user cancels at another node", confirm: func(g *outageRun) {
			confirmingHost := fmt.Sprintf("host-%d:8080", g.confirmingNode)
			g.setOtherFault(func(from string, r *http.Request) fake.Fault {
				if from == "user" && r.URL.Host == confirmingHost {
					return fake.DroppedResponse
				}
				return fake.NoFault
			})
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+confirmingHost+"/v1/jobs/j-000001/abort", nil)
			if err != nil {
				g.t.Fatal(err)
			}
			g.rules.ObserveRequest("/v1/jobs/j-000001/abort")
			if _, err := g.user.Do(r); err == nil {
				g.t.Error("the response was not dropped")
			}
			for i := range g.size {
				if i != g.confirmingNode && i != g.leadingNode {
					g.cancel(i)
					break
				}
			}
		}, after: func(g *outageRun) {
			g.kill(g.confirmingNode)
			g.healPairs()
		}},
		// They run their tasks until their leases expire.
		{name: "half of the machines are isolated", before: func(g *outageRun) {
			g.setOtherFault(func(from string, r *http.Request) fake.Fault {
				if isEveryOtherMachine(from) || isEveryOtherMachine(r.URL.Host) {
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
		}, after: (*outageRun).healPairs},
		{name: "responses and commands to half of the machines are dropped", before: func(g *outageRun) {
			g.setOtherFault(func(from string, r *http.Request) fake.Fault {
				switch {
				case isEveryOtherMachine(from) && r.URL.Path == "/hello":
					return fake.DroppedResponse
				case isEveryOtherMachine(r.URL.Host):
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
		}, after: (*outageRun).healPairs},
		{name: "heartbeats of half of the machines are dropped", before: func(g *outageRun) {
			g.setOtherFault(func(from string, _ *http.Request) fake.Fault {
				if isEveryOtherMachine(from) {
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
		}, after: (*outageRun).healPairs},
		// Starts are sent in the very seconds in which the leader does not know of the
		// cancellation.
		{name: "tasks are being started meanwhile", late: true, after: (*outageRun).healPairs},
	}
	for _, nodes := range []int{3, 5} {
		for _, tc := range cases {
			t.Run(fmt.Sprintf("%s, %d nodes", tc.name, nodes), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := &outageRun{cluster: newClusterOf(t, nodes)}
					defer g.close()
					g.cloud.RuntimeOf = func(task string) float64 {
						if strings.HasPrefix(task, "j-000001/") {
							return 300
						}
						return 7
					}
					g.submit("j-000002", 30)
					if !tc.late {
						g.submit("j-000001", 8)
					}
					time.Sleep(20 * time.Second) // until there are machines
					g.leadingNode = g.leader()
					g.confirmingNode = (g.leadingNode + 1) % nodes
					g.setFault(g.faultOf)
					g.submit("j-000003", 1) // so that open watches end
					time.Sleep(3 * time.Second)
					if tc.late {
						g.submit("j-000001", 8)
					}
					for i := 0; i < 2000 && len(g.tasksOn("j-000001/")) < 8 && !(tc.late && len(g.tasksOn("j-000001/")) > 0); i++ {
						time.Sleep(20 * time.Millisecond)
					}
					g.mu.Lock()
					g.refusing = true
					g.mu.Unlock()
					if tc.before != nil {
						tc.before(g)
					}
					g.partitionPairs(func(a, _ int) bool { return a == g.leadingNode })
					for i := 0; i < 30 && !tc.late && !g.isLeaderRefused(); i++ {
						time.Sleep(50 * time.Millisecond)
					}
					if tc.confirm != nil {
						tc.confirm(g)
					} else {
						g.cancel(g.confirmingNode)
					}
					g.state.SetOutage(true)
					confirmed := time.Now()
					if on := len(g.tasksOn("j-000001/")); on == 0 || tc.late == (on == 8) || !tc.late && !g.isLeaderRefused() {
						t.Errorf("%d tasks on machines, the leader is refused: %t: the faults did not coincide", on, g.isLeaderRefused())
					}
					tc.after(g)
					time.Sleep(outage - time.Since(confirmed))
					if now := g.leader(); now != g.leadingNode {
						t.Errorf("node %d leads instead of %d", now, g.leadingNode)
					}
					g.setFault(nil)
					g.healPairs()
					g.state.SetOutage(false)
					for i := range nodes {
						g.kill(i)
						g.start(i)
					}
					g.awaitStatus("j-000002", wire.JobDone, 2*time.Minute)
					g.awaitStatus("j-000001", wire.JobCancelled, 5*time.Second)
					if on := g.tasksOn("j-000001/"); len(on) > 0 {
						t.Errorf("still on machines: %v", on)
					}
					for _, rule := range g.rules.Violations() {
						t.Error(rule)
					}
				})
			})
		}
	}
}

// isEveryOtherMachine reports whether a host is one of every other machine.
func isEveryOtherMachine(host string) bool {
	return strings.HasPrefix(host, "i-") && (host[len("i-00000")]-'0')%2 == 0
}

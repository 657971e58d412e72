package cluster

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// TestConcurrentSubmission submits one job to two nodes at once. The nodes must store it as one job, and each of its
// tasks must run once.
func TestConcurrentSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.submit("j-000009", 1) // accepted only once the node that accepts it knows the instance types
		// The followers learn the instance types a little later, and may answer 503 until then.
		time.Sleep(2 * time.Second)
		codes := make([]int, 2)
		var wg sync.WaitGroup
		for i := range codes {
			wg.Go(func() { codes[i], _ = c.submitTo(i, testJob("j-000001", 4)) })
		}
		wg.Wait()
		if codes[0]+codes[1] != http.StatusCreated+http.StatusOK {
			t.Errorf("got response codes %v, want one 201 and one 200", codes)
		}
		c.awaitStatus("j-000001", wire.JobDone, time.Minute)
		if n := c.cloud.Starts(); n != 5 {
			t.Errorf("%d task starts for 5 tasks, want 5", n)
		}
		// A repeated submission gets 200 whatever it contains besides the ID, also after the job's completion.
		if code, s := c.submitTo(2, map[string]any{"id": "j-000001"}); code != http.StatusOK || s.State != wire.JobDone {
			t.Errorf("repeated submission: got code %d, status %q, want 200, \"done\"", code, s.State)
		}
		if code, _ := c.queryJob(1, "j-777777"); code != http.StatusNotFound {
			t.Errorf("query of an unknown job: got code %d, want 404", code)
		}
	})
}

// laggingNode is the node that the faults of TestMonotonicResponses affect.
const laggingNode = 2

// responseFaults are faults that may make a node, or a user, lag behind what other nodes know.
var responseFaults = []struct {
	name       string
	inject     func(c *cluster, faults *counter) // called before each round; counts each fault as "fault"
	isFault    bool                              // at least one fault must be counted
	mustRefuse bool                              // the lagging node cannot know of changes, and must answer 503
}{
	{name: "no fault", inject: func(*cluster, *counter) {}},
	{name: "a node's watches are dropped", inject: dropWatches, isFault: true},
	{name: "a node has just restarted", inject: restartLaggingNode, isFault: true},
	{name: "the state service is unavailable to a node", inject: refuseStateRequests, isFault: true, mustRefuse: true},
	{name: "every other response to a transaction is dropped", inject: dropEveryOtherTxnResponse, isFault: true},
}

// dropWatches drops the open watches of the lagging node.
func dropWatches(c *cluster, faults *counter) {
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if isFromNode(from, laggingNode) && isOpenWatch(r) {
			faults.add("fault")
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
}

// restartLaggingNode restarts the lagging node at once.
func restartLaggingNode(c *cluster, faults *counter) {
	faults.add("fault")
	c.kill(laggingNode)
	c.start(laggingNode)
}

// refuseStateRequests makes the state service unavailable to the lagging node.
func refuseStateRequests(c *cluster, faults *counter) {
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if isFromNode(from, laggingNode) && isStateRequest(r) {
			faults.add("fault")
			return fake.ServiceUnavailable
		}
		return fake.NoFault
	})
}

// dropEveryOtherTxnResponse drops every second response to a transaction, whichever node sent the transaction.
func dropEveryOtherTxnResponse(c *cluster, faults *counter) {
	c.setFault(func(_ string, r *http.Request) fake.Fault {
		if r.URL.Path == "/txn" && faults.add("fault")%2 == 1 {
			return fake.DroppedResponse
		}
		return fake.NoFault
	})
}

// TestMonotonicResponses sends queries, repeated submissions and cancellations to all nodes within milliseconds of
// another node's response. No node, not even one that lags behind, may answer with an older status than another node did
// before.
func TestMonotonicResponses(t *testing.T) {
	for _, fault := range responseFaults {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(task string) float64 {
					if strings.HasPrefix(task, "j-00000") {
						return 4
					}
					return 100
				}
				c.submit("j-000009", 1) // so that the nodes know the instance types and there are machines
				if c.leader() == laggingNode {
					c.restartNodes(laggingNode)
					time.Sleep(5 * time.Second)
				}
				c.awaitStatus("j-000009", wire.JobDone, time.Minute)
				var faults, seen counter
				fault.inject(c, &faults)
				time.Sleep(12 * time.Second) // until all watches opened before the fault have ended
				for round := range 4 {
					fault.inject(c, &faults)
					c.queryDuringJobLifecycles(round, &seen)
				}
				if fault.isFault && faults.count("fault") == 0 {
					t.Error("the fault never occurred")
				}
				ok, refused := seen.count(fmt.Sprintf("node %d: 200", laggingNode)), seen.count(fmt.Sprintf("node %d: 503", laggingNode))
				if !fault.mustRefuse && ok < 1000 || fault.mustRefuse && refused < 1000 {
					t.Errorf("node %d answered 200 %d times and 503 %d times, want at least 1000 times 503 if it must refuse (%t), else 200; responses by node and code: %v", laggingNode, ok, refused, fault.mustRefuse, seen.counts)
				}
				c.setFault(nil)
				c.checkRules()
			})
		})
	}
}

// queryDuringJobLifecycles submits two jobs, and queries all nodes right after the jobs are accepted, after one is
// cancelled while it runs, and while the other completes and well after. The checker of the rules compares the
// responses. Submissions and cancellations that must be confirmed go only to nodes that the fault does not affect.
func (c *cluster) queryDuringJobLifecycles(round int, seen *counter) {
	finishing, cancelled := testJob(fmt.Sprintf("j-00000%d", round+1), 1), testJob(fmt.Sprintf("j-10000%d", round+1), 1)
	for i, job := range []map[string]any{finishing, cancelled} {
		for range 20 {
			if c.trySubmit(round%2, job) {
				break
			}
		}
		c.sendRequestsToAllNodes(job, i == 1 && round%2 == 1, 400*time.Millisecond, seen)
	}
	time.Sleep(time.Duration(round) * 300 * time.Millisecond)
	for range 20 {
		if code, _ := c.requestCancellation((round+1)%2, cancelled["id"].(string)); code == http.StatusOK {
			break
		}
	}
	c.sendRequestsToAllNodes(cancelled, false, 300*time.Millisecond, seen)
	// Query until the job completes and well after. In every second round the job is also cancelled then.
	c.sendRequestsToAllNodes(finishing, false, 3*time.Second, seen)
	c.sendRequestsToAllNodes(finishing, round%2 == 0, 4*time.Second, seen)
	for code, s := 0, (wire.JobStatus{}); s.State != wire.JobDone && s.State != wire.JobCancelled; time.Sleep(200 * time.Millisecond) {
		if code, s = c.queryJob(0, finishing["id"].(string)); code == http.StatusNotFound {
			break
		}
	}
	c.sendRequestsToAllNodes(finishing, true, 300*time.Millisecond, seen)
}

// TestQueriesUnderReadRateLimit sends 50 queries a second while the state service rejects every second read of a node
// for its rate limit. Nearly all queries must be answered: concurrent queries share reads, and the followers' watches
// leave room for reads.
func TestQueriesUnderReadRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, 5)
		defer c.close()
		c.cloud.RuntimeOf = func(string) float64 { return 60 }
		c.submit("j-000001", 4)
		time.Sleep(5 * time.Second)
		var mu sync.Mutex
		reads, watches, responses := 0, 0, map[int]int{}
		readsOf := map[string]int{}
		c.setFault(func(from string, r *http.Request) fake.Fault {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.URL.Path == "/watch" && !isOpenWatch(r):
				reads++
				if readsOf[from]++; readsOf[from]%2 == 0 {
					return fake.TooManyRequests
				}
			case r.URL.Path == "/watch":
				watches++
			}
			return fake.NoFault
		})
		var wg sync.WaitGroup
		for n := range 1000 { // in 20 s
			if n%10 == 0 { // submits jobs, as changes that the watches return
				go c.submitTo(n/10%5, testJob(fmt.Sprintf("j-1%05d", n), 1))
			}
			wg.Go(func() {
				code, _ := c.queryJob(n%5, "j-000001")
				mu.Lock()
				defer mu.Unlock()
				responses[code]++
			})
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
		if responses[http.StatusOK] < 990 {
			t.Errorf("got responses by code %v, want 200 for at least 990 of 1000 queries", responses)
		}
		if reads > 800 || watches > 400 {
			t.Errorf("%d reads and %d watches for 1000 queries and 100 jobs in 20 s, want at most 800 and 400", reads, watches)
		}
	})
}

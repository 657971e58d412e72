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

// TestConcurrentSubmission submits one job to two nodes at once: it is one job, each of whose tasks
// runs once.
func TestConcurrentSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.submit("j-000009", 1) // the instance types are known from here on
		// The followers know them a little later: until then they may answer 503.
		time.Sleep(2 * time.Second)
		codes := make([]int, 2)
		var wg sync.WaitGroup
		for i := range codes {
			wg.Go(func() { codes[i], _ = c.submitTo(i, testJob("j-000001", 4)) })
		}
		wg.Wait()
		if codes[0]+codes[1] != http.StatusCreated+http.StatusOK {
			t.Errorf("responses %v, want one 201 and one 200", codes)
		}
		c.awaitStatus("j-000001", wire.JobDone, time.Minute)
		if n := c.cloud.Starts(); n != 5 {
			t.Errorf("%d starts for 5 tasks", n)
		}
		// A repeat gets 200 whatever else it says, also after the completion.
		if code, s := c.submitTo(2, map[string]any{"id": "j-000001"}); code != http.StatusOK || s.State != wire.JobDone {
			t.Errorf("repeat answered %d %q", code, s.State)
		}
		if code, _ := c.queryJob(1, "j-777777"); code != http.StatusNotFound {
			t.Errorf("unknown job answered %d", code)
		}
	})
}

// laggingNode is the node that has the fault in TestMonotonicResponses.
const laggingNode = 2

// responseFaults are faults that may leave a node, or a user, behind what other nodes know.
var responseFaults = []struct {
	name    string
	inject  func(c *cluster, noted *counter) // before each round; notes each fault
	isFault bool                             // some fault must be noted
	behind  bool                             // the lagging node cannot know what is new, and must say so
}{
	{name: "no fault", inject: func(*cluster, *counter) {}},
	{name: "a node's watches are dropped", inject: dropWatches, isFault: true},
	{name: "a node has just restarted", inject: restartLaggingNode, isFault: true},
	{name: "the state service is unavailable to a node", inject: refuseStateRequests, isFault: true, behind: true},
	{name: "every other response to a transaction is dropped", inject: dropEveryOtherTxnResponse, isFault: true},
}

// dropWatches drops the open watches of the lagging node.
func dropWatches(c *cluster, noted *counter) {
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if isFromNode(from, laggingNode) && isOpenWatch(r) {
			noted.add("fault")
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
}

// restartLaggingNode restarts the lagging node at once.
func restartLaggingNode(c *cluster, noted *counter) {
	noted.add("fault")
	c.kill(laggingNode)
	c.start(laggingNode)
}

// refuseStateRequests makes the state service unavailable to the lagging node.
func refuseStateRequests(c *cluster, noted *counter) {
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if isFromNode(from, laggingNode) && isStateRequest(r) {
			noted.add("fault")
			return fake.ServiceUnavailable
		}
		return fake.NoFault
	})
}

// dropEveryOtherTxnResponse drops every other response to a transaction, of any node.
func dropEveryOtherTxnResponse(c *cluster, noted *counter) {
	c.setFault(func(_ string, r *http.Request) fake.Fault {
		if r.URL.Path == "/txn" && noted.add("fault")%2 == 1 {
			return fake.DroppedResponse
		}
		return fake.NoFault
	})
}

// TestMonotonicResponses has users query all nodes, repeat submissions and cancel, within
// milliseconds of another node's response: no node may answer something older, also one that is
// behind.
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
				c.submit("j-000009", 1) // the instance types are known, and there are machines
				if c.leader() == laggingNode {
					c.restartNodes(laggingNode)
					time.Sleep(5 * time.Second)
				}
				c.awaitStatus("j-000009", wire.JobDone, time.Minute)
				var noted, seen counter
				fault.inject(c, &noted)
				time.Sleep(12 * time.Second) // until all watches that were open before have ended
				for round := range 4 {
					fault.inject(c, &noted)
					c.queryThroughout(round, &seen)
				}
				if fault.isFault && noted.count("fault") == 0 {
					t.Error("no request had the fault")
				}
				ok, refused := seen.count(fmt.Sprintf("node %d: 200", laggingNode)), seen.count(fmt.Sprintf("node %d: 503", laggingNode))
				if !fault.behind && ok < 1000 || fault.behind && refused < 1000 {
					t.Errorf("the affected node answered 200 %d times and 503 %d times: %v", ok, refused, seen.counts)
				}
				c.setFault(nil)
				c.checkRules()
			})
		})
	}
}

// queryThroughout submits two jobs and queries all nodes as they are accepted, as one is cancelled
// while it runs, and as the other one completes and well after. The checker of the rules compares
// the responses. Only the nodes that are not behind are asked for what must be confirmed.
func (c *cluster) queryThroughout(round int, seen *counter) {
	finishing, cancelled := testJob(fmt.Sprintf("j-00000%d", round+1), 1), testJob(fmt.Sprintf("j-10000%d", round+1), 1)
	for i, job := range []map[string]any{finishing, cancelled} {
		for range 20 {
			if c.trySubmit(round%2, job) {
				break
			}
		}
		c.queryAllNodes(job, i == 1 && round%2 == 1, 400*time.Millisecond, seen)
	}
	time.Sleep(time.Duration(round) * 300 * time.Millisecond)
	for range 20 {
		if code, _ := c.requestCancellation((round+1)%2, cancelled["id"].(string)); code == http.StatusOK {
			break
		}
	}
	c.queryAllNodes(cancelled, false, 300*time.Millisecond, seen)
	// Until it completes, and well after; half of them are cancelled then.
	c.queryAllNodes(finishing, false, 3*time.Second, seen)
	c.queryAllNodes(finishing, round%2 == 0, 4*time.Second, seen)
	for code, s := 0, (wire.JobStatus{}); s.State != wire.JobDone && s.State != wire.JobCancelled; time.Sleep(200 * time.Millisecond) {
		if code, s = c.queryJob(0, finishing["id"].(string)); code == http.StatusNotFound {
			break
		}
	}
	c.queryAllNodes(finishing, true, 300*time.Millisecond, seen)
}

// TestManyQueries has users query very often while the state service rejects every other read for
// its rate limit: queries share reads, each is answered, and the followers' watches leave room for
// them.
func TestManyQueries(t *testing.T) {
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
			if n%10 == 0 { // changes for the watches
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
			t.Errorf("responses: %v", responses)
		}
		if reads > 800 || watches > 400 {
			t.Errorf("%d reads and %d watches for 1000 queries and 100 jobs in 20 s", reads, watches)
		}
	})
}

package cluster

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// partitionCase is a node that loses the state service and all other nodes.
type partitionCase struct {
	name     string
	nodes    int
	follower bool // the node follows; otherwise it leads
	only     bool // workers reach no other node
}

var partitionCases = []partitionCase{
	{name: "leader", nodes: 5},
	{name: "follower", nodes: 5, follower: true},
	// With more nodes the lease would expire while the worker tries the others.
	{name: "leader, and no worker reaches another node", nodes: 3, only: true},
}

// TestPartitionedNode has the leader, or a follower, lose the state service and all other nodes but
// not its workers. A job is cancelled at another node: its tasks are gone in time although the
// partitioned node cannot know, and the workers find another node.
func TestPartitionedNode(t *testing.T) {
	for _, tc := range partitionCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClusterOf(t, tc.nodes)
				defer c.close()
				tc.run(c)
				if broken := c.cloud.Violations(); broken != nil {
					t.Error(broken)
				}
			})
		})
	}
}

// run partitions the node while a job runs, cancels the job, and has another one run.
func (tc partitionCase) run(c *cluster) {
	c.cloud.RuntimeOf = func(task string) float64 {
		if strings.HasPrefix(task, "j-000001/") {
			return 300
		}
		return 5
	}
	c.submit("j-000001", 4)
	for i := 0; i < 80 && c.cloud.Starts() < 4; i++ {
		time.Sleep(500 * time.Millisecond)
	}
	partitioned := c.leader()
	if tc.follower {
		partitioned = (partitioned + 1) % c.size
	}
	c.isolateFromPeers(partitioned)
	c.setFault(tc.faultOf(partitioned))
	time.Sleep(12 * time.Second) // until all watches that were open before have ended
	c.checkCancellationBeside(partitioned)
	// Its users are to go to other nodes, too.
	for i := range c.size {
		if code, _ := c.request(http.MethodGet, i, "/ready", nil); (code == http.StatusOK) != (i != partitioned) {
			c.t.Errorf("node %d answers readiness with %d; %d is partitioned", i, code, partitioned)
		}
	}
	// The partition lasts; other nodes serve the workers.
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if isFromNode(from, partitioned) && isStateRequest(r) {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	c.checkJobBeside(partitioned)
}

// faultOf returns the faults of messages while the node is partitioned. The cloud answers nobody, so
// that no termination ends the tasks.
func (tc partitionCase) faultOf(partitioned int) func(string, *http.Request) fake.Fault {
	host := memberName(partitioned) + ":8080"
	return func(from string, r *http.Request) fake.Fault {
		switch {
		case isFromNode(from, partitioned) && isStateRequest(r), r.URL.Host == "cloud":
			return fake.DroppedRequest
		case tc.only && strings.HasPrefix(from, "i-") && r.URL.Host != host:
			return fake.ServiceUnavailable
		}
		return fake.NoFault
	}
}

// checkCancellationBeside cancels the running job at a node that is not partitioned, and checks that
// none of its tasks is left when the time for cancellations is over.
func (c *cluster) checkCancellationBeside(partitioned int) {
	c.t.Helper()
	code := 0
	for i := 0; i < 20 && code != http.StatusOK; i++ {
		code, _ = c.request(http.MethodPost, (partitioned+2)%c.size, "/v1/jobs/j-000001/abort", nil)
		time.Sleep(500 * time.Millisecond)
	}
	if code != http.StatusOK {
		c.t.Fatalf("cancellation answered %d", code)
	}
	time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
	if on := c.cloud.TasksOnMachines(); len(on) > 0 {
		c.t.Errorf("still on machines: %v", on)
	}
}

// checkJobBeside checks that a job that is submitted to a node that is not partitioned completes.
func (c *cluster) checkJobBeside(partitioned int) {
	c.t.Helper()
	if code, _ := c.request(http.MethodPost, (partitioned+2)%c.size, "/v1/jobs", testJob("j-000002", 3)); code != http.StatusCreated {
		c.t.Fatalf("submission answered %d", code)
	}
	for range 90 {
		if _, status := c.request(http.MethodGet, (partitioned+1)%c.size, "/v1/jobs/j-000002", nil); status.State == wire.JobDone {
			break
		}
		time.Sleep(time.Second)
	}
	if _, status := c.request(http.MethodGet, (partitioned+1)%c.size, "/v1/jobs/j-000002", nil); status.State != wire.JobDone {
		c.t.Errorf("a job submitted during the partition is %q", status.State)
	}
}

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

// partitionCase is a case of TestPartitionedNode: a node is partitioned from the state service and all other nodes.
type partitionCase struct {
	name          string
	nodes         int
	follower      bool // whether the partitioned node is a follower; otherwise it is the leader
	onlyReachable bool // whether workers can reach only the partitioned node
}

var partitionCases = []partitionCase{
	{name: "leader", nodes: 5},
	{name: "follower", nodes: 5, follower: true},
	// In a larger cluster the lease would expire while the worker tries the other nodes.
	{name: "leader, and workers reach no other node", nodes: 3, onlyReachable: true},
}

// TestPartitionedNode checks cancellation and readiness while the leader or a follower is partitioned from the state
// service and all other nodes, but not from its workers. When a job is cancelled at another node, its tasks must end in
// time although the partitioned node cannot learn of the cancellation, and the workers must switch to another node.
func TestPartitionedNode(t *testing.T) {
	for _, tc := range partitionCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClusterOf(t, tc.nodes)
				defer c.close()
				tc.run(c)
				if violations := c.cloud.Violations(); violations != nil {
					t.Error(violations)
				}
			})
		})
	}
}

// run partitions the node while a job runs, cancels the job at another node, and checks that a further job completes.
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
	partitionedNode := c.leader()
	if tc.follower {
		partitionedNode = (partitionedNode + 1) % c.size
	}
	c.isolateFromPeers(partitionedNode)
	c.setFault(tc.messageFaults(partitionedNode))
	time.Sleep(12 * time.Second) // until all watches that were open before the partition have ended
	c.checkCancellationDuringPartition(partitionedNode)
	// Only the partitioned node may report that it is not ready, so that users are directed to other nodes.
	for i := range c.size {
		if code, _ := c.request(http.MethodGet, i, "/ready", nil); (code == http.StatusOK) != (i != partitionedNode) {
			c.t.Errorf("node %d answers /ready with %d, but only node %d is partitioned", i, code, partitionedNode)
		}
	}
	// The partitioned node still cannot reach the state service or its peers, but workers can reach all nodes now.
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if isFromNode(from, partitionedNode) && isStateRequest(r) {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	c.checkJobDuringPartition(partitionedNode)
}

// messageFaults returns the fault function for the partition. It also drops all requests to the cloud, so that no
// termination ends the tasks.
func (tc partitionCase) messageFaults(partitionedNode int) func(string, *http.Request) fake.Fault {
	host := memberName(partitionedNode) + ":8080"
	return func(from string, r *http.Request) fake.Fault {
		switch {
		case isFromNode(from, partitionedNode) && isStateRequest(r), r.URL.Host == "cloud":
			return fake.DroppedRequest
		case tc.onlyReachable && strings.HasPrefix(from, "i-") && r.URL.Host != host:
			return fake.ServiceUnavailable
		}
		return fake.NoFault
	}
}

// checkCancellationDuringPartition cancels the running job at a node that is not partitioned, and checks that no task
// is left on a machine after the cancellation timeout.
func (c *cluster) checkCancellationDuringPartition(partitionedNode int) {
	c.t.Helper()
	code := 0
	for i := 0; i < 20 && code != http.StatusOK; i++ {
		code, _ = c.request(http.MethodPost, (partitionedNode+2)%c.size, "/v1/jobs/j-000001/abort", nil)
		time.Sleep(500 * time.Millisecond)
	}
	if code != http.StatusOK {
		c.t.Fatalf("cancellation answered with %d, want 200", code)
	}
	time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
	if left := c.cloud.TasksOnMachines(); len(left) > 0 {
		c.t.Errorf("tasks %v are still on machines after the cancellation timeout", left)
	}
}

// checkJobDuringPartition checks that a job completes that is submitted to a node that is not partitioned.
func (c *cluster) checkJobDuringPartition(partitionedNode int) {
	c.t.Helper()
	if code, _ := c.request(http.MethodPost, (partitionedNode+2)%c.size, "/v1/jobs", testJob("j-000002", 3)); code != http.StatusCreated {
		c.t.Fatalf("submission answered with %d, want 201", code)
	}
	for range 90 {
		if _, status := c.request(http.MethodGet, (partitionedNode+1)%c.size, "/v1/jobs/j-000002", nil); status.State == wire.JobDone {
			break
		}
		time.Sleep(time.Second)
	}
	if _, status := c.request(http.MethodGet, (partitionedNode+1)%c.size, "/v1/jobs/j-000002", nil); status.State != wire.JobDone {
		c.t.Errorf("status of the job submitted during the partition is %q, want %q", status.State, wire.JobDone)
	}
}

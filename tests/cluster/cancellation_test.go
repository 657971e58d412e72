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

// TestCancellationStopsTasks cancels a job while some of its tasks run and others are being started. Every node must
// answer that the job is cancelled, and its tasks must be gone within the cancellation timeout.
func TestCancellationStopsTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.cloud.RuntimeOf = func(string) float64 { return 300 }
		c.submit("j-000001", 12)
		for i := 0; i < 60 && c.cloud.Starts() == 0; i++ {
			time.Sleep(500 * time.Millisecond)
		}
		if c.cloud.Starts() == 0 {
			t.Fatal("no task started")
		}
		if code, s := c.request(http.MethodPost, 1, "/v1/jobs/j-000001/abort", nil); code != http.StatusOK || s.State != wire.JobCancelled {
			t.Fatalf("cancellation: got code %d and status %q, want 200 and \"withdrawn\"", code, s.State)
		}
		for i := range 3 {
			if _, s := c.request(http.MethodGet, i, "/v1/jobs/j-000001", nil); s.State != wire.JobCancelled {
				t.Errorf("node %d answers status %q right after the cancellation, want \"withdrawn\"", i, s.State)
			}
		}
		time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
		if on := c.cloud.TasksOnMachines(); len(on) > 0 {
			t.Errorf("tasks still on machines after the cancellation timeout: %v", on)
		}
		c.awaitStatus("j-000001", wire.JobCancelled, 5*time.Second)
	})
}

// TestCancellationWhileLeaderWatchHangs cancels a job while the leader cannot learn of it: its session is alive, but its
// watch hangs and it is partitioned from its peers. The leader must stop renewing leases in time.
func TestCancellationWhileLeaderWatchHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		for i := range 3 { // new incarnations have no streams to their peers yet
			c.kill(i)
		}
		c.peerNet.SetPartition(func(string, string) bool { return true })
		for i := range 3 {
			c.start(i)
		}
		c.cloud.RuntimeOf = func(string) float64 { return 300 }
		c.submit("j-000001", 2)
		for i := 0; i < 60 && c.cloud.Starts() < 2; i++ {
			time.Sleep(500 * time.Millisecond)
		}
		leading := c.leader()
		prefix := fmt.Sprintf("host-%d/", leading)
		c.setFault(func(from string, r *http.Request) fake.Fault {
			if strings.HasPrefix(from, prefix) && r.URL.Path == "/watch" {
				return fake.DroppedRequest
			}
			return fake.NoFault
		})
		time.Sleep(12 * time.Second) // until all watches opened before the fault have ended
		if code, _ := c.request(http.MethodPost, (leading+1)%3, "/v1/jobs/j-000001/abort", nil); code != http.StatusOK {
			t.Fatalf("cancellation: got code %d, want 200", code)
		}
		if on := c.cloud.TasksOnMachines(); len(on) != 2 {
			t.Fatalf("tasks on machines before the cancellation could take effect: %v, want 2", on)
		}
		time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
		if on := c.cloud.TasksOnMachines(); len(on) > 0 {
			t.Errorf("tasks still on machines after the cancellation timeout: %v", on)
		}
	})
}

// TestCancellationRacingCompletion cancels a job at every node around the time when its last task completes, while
// users query it and repeat its submission at all nodes. Whether the job ends as done or cancelled, all nodes must
// answer the same.
func TestCancellationRacingCompletion(t *testing.T) {
	for _, nodes := range []int{3, 5} {
		synctest.Test(t, func(t *testing.T) {
			c := newClusterOf(t, nodes)
			defer c.close()
			c.cloud.RuntimeOf = func(string) float64 { return 3 }
			c.submit("j-000009", 1)
			c.awaitStatus("j-000009", wire.JobDone, time.Minute)
			results := map[string]int{}
			var seen counter
			for n := range 30 {
				job := testJob(fmt.Sprintf("j-%06d", 100+n), 1)
				c.submitAndAwaitRunning(job)
				id := job["id"].(string)
				for c.runningTasks(id) > 0 {
					time.Sleep(10 * time.Millisecond)
				}
				// The cancellations come at different times before and after the leader stores the completion,
				// which a heartbeat reports within half a second.
				time.Sleep(time.Duration(n) * 40 * time.Millisecond)
				var wg sync.WaitGroup
				wg.Go(func() { c.sendRequestsToAllNodes(job, false, 600*time.Millisecond, &seen) })
				for node := range nodes {
					wg.Go(func() { c.cancelJob(id, node) })
				}
				wg.Wait()
				_, s := c.request(http.MethodGet, n%nodes, "/v1/jobs/"+id, nil)
				results[s.State]++
			}
			if results[wire.JobDone] < 3 || results[wire.JobCancelled] < 3 {
				t.Errorf("%d nodes: final statuses %v, want at least 3 each of done and cancelled", nodes, results)
			}
			c.checkRules()
		})
	}
}

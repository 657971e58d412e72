package cluster

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/explain"
	"caperlatch/internal/wire"
)

// explain asks a node to explain the state of a job. The message is that of a response with an error.
func (c *cluster) explain(node int, id string) (status int, e explain.Explanation, message string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	status, b, err := wire.Call(ctx, c.userClient, http.MethodGet, fmt.Sprintf("http://host-%d:8080/v1/jobs/%s/why", node, id), nil)
	var body wire.ErrorResponse
	if err == nil && status == http.StatusOK {
		err = wire.Unmarshal(b, &e)
	} else if err == nil {
		err = wire.Unmarshal(b, &body)
	}
	if err != nil {
		c.t.Errorf("explain %s at node %d: %v", id, node, err)
	}
	return status, e, body.Message
}

// TestExplain asks every node to explain jobs in every state, also while the state service or the
// leader does not answer: operators could not tell why a job hung.
func TestExplain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.submitJobsToExplain()
		leader := c.leader()
		for node := range 3 {
			c.checkExplanation("no fault", node, "j-000001", wire.JobDone, "all tasks done")
			c.checkExplanation("no fault", node, "j-000002", wire.JobPending, "j-000002/1 on i-0000", "running")
			c.checkExplanation("no fault", node, "j-000003", wire.JobCancelled, "cancelled by its user")
			c.checkExplanation("no fault", node, "j-000004", wire.JobPending, "ended: error", "failed", "on i-0000")
			c.checkExplanation("no fault", node, "j-000005", wire.JobPending, "its team uses as many CPUs as it may")
		}
		if status, _, text := c.explain(1, "j-777777"); status != http.StatusNotFound || text != "no such job" {
			t.Errorf("unknown job: %d %q", status, text)
		}
		// The other nodes cannot reach the leader.
		c.isolateFromPeers(leader)
		time.Sleep(2 * time.Second)
		c.checkExplanation("leader unreachable", (leader+1)%3, "j-000002", wire.JobPending, "the leader does not say more")
		c.healPartitions()
		// Nor the state service: a node cannot know what is new.
		c.setFault(stateUnavailableTo(-1))
		time.Sleep(12 * time.Second)
		for node := range 3 {
			c.checkExplanation("state service unavailable", node, "j-000002", wire.JobPending, "the state service has not answered")
			if status, _, text := c.explain(node, "j-777777"); status != http.StatusServiceUnavailable || !strings.Contains(text, "not known here") {
				t.Errorf("unknown job without the state service: %d %q", status, text)
			}
		}
	})
}

// submitJobsToExplain submits jobs, and waits until they are in all states that are explained.
func (c *cluster) submitJobsToExplain() {
	c.t.Helper()
	c.cloud.RuntimeOf = func(task string) float64 {
		if strings.HasPrefix(task, "j-000001/") {
			return 3
		}
		return 400
	}
	c.cloud.TaskFails = func(task, _ string) bool { return strings.HasPrefix(task, "j-000004/") }
	c.submit("j-000001", 2) // completes
	c.awaitStatus("j-000001", wire.JobDone, time.Minute)
	c.submit("j-000002", 2)            // runs
	c.submit("j-000003", 1)            // gets cancelled
	c.submit("j-000004", 8)            // fails
	limited := testJob("j-000005", 30) // waits for its team's limit
	limited["desk"], limited["expect_s"] = "small", 300.0
	c.submitTo(0, limited)
	time.Sleep(15 * time.Second)
	if code, _ := c.requestCancellation(0, "j-000003"); code != http.StatusOK {
		c.t.Fatalf("cancellation answered %d", code)
	}
	time.Sleep(10 * time.Second)
}

// checkExplanation checks that a node explains a job: with its state, and with texts that have these
// parts in them.
func (c *cluster) checkExplanation(when string, node int, id, state string, parts ...string) {
	c.t.Helper()
	status, e, _ := c.explain(node, id)
	if status != http.StatusOK || e.State != state || e.Member == "" || e.SubmittedAt == 0 {
		c.t.Errorf("%s, node %d: %d %+v", when, node, status, e)
	}
	text := explanationText(e)
	for _, part := range parts {
		if !strings.Contains(text, part) {
			c.t.Errorf("%s, node %d: %s does not say %q:\n%s", when, node, id, part, text)
		}
	}
}

// explanationText returns what an explanation says, a line for each reason, note, task and stop.
func explanationText(e explain.Explanation) string {
	lines := slices.Concat(e.Reasons, e.Notes)
	for _, p := range e.Placements {
		lines = append(lines, fmt.Sprintf("%s on %s: %s", p.Task, p.Machine, p.State))
	}
	for _, s := range e.Stops {
		lines = append(lines, fmt.Sprintf("%s on %s: %s", s.Task, s.Machine, s.Reason))
	}
	return strings.Join(lines, "\n")
}

// TestFailingJob runs a large job that fails on every machine beside good jobs: these complete, no
// machine is quarantined for it, it stays known, and its cancellation is quick.
func TestFailingJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		fails := 0
		c.cloud.TaskFails = func(task, _ string) bool {
			if strings.HasPrefix(task, "j-000002/") {
				fails++
				return true
			}
			return false
		}
		c.submit("j-000001", 8)
		c.submit("j-000002", 200)
		time.Sleep(20 * time.Second)
		before := fails
		c.restartNodes(c.leader()) // the next leader must know that the job is at fault
		time.Sleep(60 * time.Second)
		if fails-before > 12 {
			t.Errorf("%d tasks failed in the minute after a failover", fails-before)
		}
		c.submit("j-000003", 8)
		c.awaitStatus("j-000003", wire.JobDone, time.Minute)
		c.awaitStatus("j-000001", wire.JobDone, time.Second)
		if code, s := c.queryJob(1, "j-000002"); code != http.StatusOK || s.State == wire.JobDone {
			t.Errorf("the failing job is %d %q", code, s.State)
		}
		if code, _ := c.requestCancellation(1, "j-000002"); code != http.StatusOK {
			t.Errorf("cancellation answered %d", code)
		}
		if fails > 60 || fails < 4 {
			t.Errorf("%d tasks failed", fails)
		}
		for _, rule := range c.rules.Violations() {
			t.Error(rule)
		}
	})
}

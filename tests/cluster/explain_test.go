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

// explain requests the explanation of a job's state from a node. If the response is an error, message is its text.
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
		c.t.Errorf("explanation of %s by node %d: %v", id, node, err)
	}
	return status, e, body.Message
}

// TestExplain requests explanations of jobs in every state from every node, also while the leader or the state service
// does not answer. Without explanations, operators could not tell why a job hung.
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
			t.Errorf("unknown job: got code %d, message %q, want 404, \"no such job\"", status, text)
		}
		// Cut the leader off from the other nodes.
		c.isolateFromPeers(leader)
		time.Sleep(2 * time.Second)
		c.checkExplanation("leader unreachable", (leader+1)%3, "j-000002", wire.JobPending, "the leader does not say more")
		c.healPartitions()
		// Make the state service unavailable to all nodes, which then cannot know of new jobs.
		c.setFault(stateUnavailableTo(-1))
		time.Sleep(12 * time.Second)
		for node := range 3 {
			c.checkExplanation("state service unavailable", node, "j-000002", wire.JobPending, "the state service has not answered")
			if status, _, text := c.explain(node, "j-777777"); status != http.StatusServiceUnavailable || !strings.Contains(text, "not known here") {
				t.Errorf("unknown job without the state service: got code %d, message %q, want 503, \"not known here\"", status, text)
			}
		}
	})
}

// submitJobsToExplain submits jobs, and waits until each is in one of the states that the test has explained.
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
		c.t.Fatalf("cancellation: got code %d, want 200", code)
	}
	time.Sleep(10 * time.Second)
}

// checkExplanation checks that a node explains a job with the given state, and with texts that contain all given parts.
func (c *cluster) checkExplanation(scenario string, node int, id, state string, parts ...string) {
	c.t.Helper()
	status, e, _ := c.explain(node, id)
	if status != http.StatusOK || e.State != state || e.Member == "" || e.SubmittedAt == 0 {
		c.t.Errorf("%s, node %d: got code %d and explanation %+v, want 200 and an explanation with state %q, a member and a submission time", scenario, node, status, e, state)
	}
	text := explanationText(e)
	for _, part := range parts {
		if !strings.Contains(text, part) {
			c.t.Errorf("%s, node %d: the explanation of %s does not contain %q:\n%s", scenario, node, id, part, text)
		}
	}
}

// explanationText returns the text of an explanation, with a line for each reason, note, task placement and task stop.
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

// TestFailingJobDoesNotAffectOthers runs a large job whose tasks fail on every machine beside jobs that succeed. Those
// must complete, no machine may be quarantined because of the failing job, all nodes must still know that job, and its
// cancellation must be quick.
func TestFailingJobDoesNotAffectOthers(t *testing.T) {
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
			t.Errorf("%d tasks failed in the minute after a failover, want at most 12", fails-before)
		}
		c.submit("j-000003", 8)
		c.awaitStatus("j-000003", wire.JobDone, time.Minute)
		c.awaitStatus("j-000001", wire.JobDone, time.Second)
		if code, s := c.queryJob(1, "j-000002"); code != http.StatusOK || s.State == wire.JobDone {
			t.Errorf("failing job: got code %d and status %q, want 200 and not \"done\"", code, s.State)
		}
		if code, _ := c.requestCancellation(1, "j-000002"); code != http.StatusOK {
			t.Errorf("cancellation: got code %d, want 200", code)
		}
		if fails > 60 || fails < 4 {
			t.Errorf("%d tasks failed, want 4 to 60", fails)
		}
		for _, violation := range c.rules.Violations() {
			t.Error(violation)
		}
	})
}

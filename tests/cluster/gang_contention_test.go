package cluster

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/wire"
)

// gangContentionCase is a case of TestGangContention; run submits the jobs and checks the outcome.
type gangContentionCase struct {
	name string
	run  func(c *cluster)
}

var gangContentionCases = []gangContentionCase{
	{"gangs need more than their team may use", runGangsBeyondTeamLimit},
	{"gang competes with a stream of small tasks", runGangAmongSmallTasks},
	{"gang is cancelled while it waits", cancelWaitingGang},
	{"submissions that can never run are rejected", submitInfeasibleGangs},
}

// TestGangContention checks gangs that compete with each other or with other jobs, are cancelled while they wait, or
// can never run.
func TestGangContention(t *testing.T) {
	for _, tc := range gangContentionCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClusterOf(t, 3)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 20 }
				time.Sleep(5 * time.Second)
				tc.run(c)
				for _, violation := range c.rules.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// runGangsBeyondTeamLimit submits four gangs, each of which needs all CPUs that their team may use. They must run one
// after another, once each.
func runGangsBeyondTeamLimit(c *cluster) {
	gangID := func(n int) string { return fmt.Sprintf("j-00000%d", n+1) }
	for i := range 4 {
		c.submitJob(gangJob(gangID(i), 4, 1, map[string]any{"desk": "small"}))
	}
	for i := range 4 {
		c.awaitStatus(gangID(i), wire.JobDone, 3*time.Minute)
		if n := c.cloud.GangRuns(gangID(i)); n != 1 {
			c.t.Errorf("%d full runs of gang %d, want 1", n, i+1)
		}
	}
}

// runGangAmongSmallTasks submits a gang that needs both machines of a fleet that small tasks keep busy. The gang must
// start within 100 s although small tasks could always occupy free capacity first.
func runGangAmongSmallTasks(c *cluster) {
	c.cloud.MaxMachines = 2
	c.cloud.RuntimeOf = func(task string) float64 { return 5 + float64(task[len(task)-1]%3) }
	for i := range 3 {
		c.submit(fmt.Sprintf("j-0001%02d", i), 9)
	}
	time.Sleep(6 * time.Second)
	c.submitJob(gangJob("j-000001", 2, 4, nil))
	startedAt := time.Now()
	for i := range 40 {
		c.submit(fmt.Sprintf("j-0002%02d", i), 4)
		time.Sleep(3 * time.Second)
		if c.cloud.GangRuns("j-000001") > 0 {
			break
		}
	}
	if duration := time.Since(startedAt); c.cloud.GangRuns("j-000001") == 0 || duration > 100*time.Second {
		c.t.Errorf("%d full runs of the gang after %v, want one within 100 s", c.cloud.GangRuns("j-000001"), duration)
	}
	c.awaitStatus("j-000001", wire.JobDone, time.Minute)
}

// cancelWaitingGang cancels a gang of which two tasks wait for a machine that hangs. The gang must never run.
func cancelWaitingGang(c *cluster) {
	c.cloud.ImagePullS = 3
	c.submitJob(gangJob("j-000001", 3, 3, nil))
	c.awaitGangPulling("j-000001")
	c.cloud.WorkersOf("j-000001")[0].Hang(10 * time.Second)
	c.awaitGangWaiting("j-000001")
	if code, _ := c.request(http.MethodPost, 1, "/v1/jobs/j-000001/abort", nil); code != http.StatusOK {
		c.t.Errorf("cancellation answered with %d, want 200", code)
	}
	time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
	if n := c.cloud.GangRuns("j-000001"); n != 0 {
		c.t.Errorf("%d full runs of the cancelled gang, want none", n)
	}
}

// submitInfeasibleGangs submits a gang that is larger than its team's limit, one whose task fits on no machine, one of
// an unknown kind, and one that is exactly as large as the limit. Only the last one must be accepted, and it must
// complete.
func submitInfeasibleGangs(c *cluster) {
	for _, submission := range []struct {
		job  map[string]any
		code int
	}{
		{gangJob("j-000001", 5, 1, map[string]any{"desk": "small"}), http.StatusUnprocessableEntity},
		{gangJob("j-000002", 1, 5, nil), http.StatusUnprocessableEntity},
		{gangJob("j-000003", 2, 1, map[string]any{"shape": "band"}), http.StatusBadRequest},
		{gangJob("j-000004", 4, 1, map[string]any{"desk": "small"}), http.StatusCreated},
	} {
		if code, _ := c.request(http.MethodPost, 0, "/v1/jobs", submission.job); code != submission.code {
			c.t.Errorf("submission of %v answered with %d, want %d", submission.job["id"], code, submission.code)
		}
	}
	c.awaitStatus("j-000004", wire.JobDone, 2*time.Minute)
}

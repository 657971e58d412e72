package cluster

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/wire"
)

// gangContentionCase has gangs compete in a cluster; run checks how it ends.
type gangContentionCase struct {
	name string
	run  func(c *cluster)
}

var gangContentionCases = []gangContentionCase{
	{"gangs need more room than their team has", runGangsBeyondTeamLimit},
	{"gang beside a stream of small tasks", runGangBesideSmallTasks},
	{"gang is cancelled while it waits", cancelWaitingGang},
	{"submissions that can never run are rejected", submitInfeasibleGangs},
}

// TestGangContention has gangs compete with each other and with other work.
func TestGangContention(t *testing.T) {
	for _, tc := range gangContentionCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClusterOf(t, 3)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 20 }
				time.Sleep(5 * time.Second)
				tc.run(c)
				for _, rule := range c.rules.Violations() {
					t.Error(rule)
				}
			})
		})
	}
}

// runGangsBeyondTeamLimit submits four gangs each of which needs all that their team may use: they
// must run one after the other, each once.
func runGangsBeyondTeamLimit(c *cluster) {
	gangID := func(n int) string { return fmt.Sprintf("j-00000%d", n+1) }
	for i := range 4 {
		c.submitJob(gangJob(gangID(i), 4, 1, map[string]any{"desk": "small"}))
	}
	for i := range 4 {
		c.awaitStatus(gangID(i), wire.JobDone, 3*time.Minute)
		if n := c.cloud.GangRuns(gangID(i)); n != 1 {
			c.t.Errorf("%d full runs of gang %d, want one", n, i+1)
		}
	}
}

// runGangBesideSmallTasks submits a gang that needs both machines of a fleet that small tasks keep
// busy: it must start within 100 s although small tasks could always use the room first.
func runGangBesideSmallTasks(c *cluster) {
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
		c.t.Errorf("the gang did not start in %v", duration)
	}
	c.awaitStatus("j-000001", wire.JobDone, time.Minute)
}

// cancelWaitingGang cancels a gang two tasks of which wait for a machine that hangs: it must never
// run.
func cancelWaitingGang(c *cluster) {
	c.cloud.ImagePullS = 3
	c.submitJob(gangJob("j-000001", 3, 3, nil))
	c.awaitGangPulling("j-000001")
	c.cloud.WorkersOf("j-000001")[0].Hang(10 * time.Second)
	c.awaitGangWaiting("j-000001")
	if code, _ := c.request(http.MethodPost, 1, "/v1/jobs/j-000001/abort", nil); code != http.StatusOK {
		c.t.Errorf("cancellation answered %d", code)
	}
	time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
	if n := c.cloud.GangRuns("j-000001"); n != 0 {
		c.t.Errorf("%d full runs, want none", n)
	}
}

// submitInfeasibleGangs submits gangs that are larger than their team's limit, whose tasks fit on no
// machine, or of an unknown kind, and one that is just as large as the limit: this one alone must be
// accepted, and complete.
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
			c.t.Errorf("%v: %d, want %d", submission.job["id"], code, submission.code)
		}
	}
	c.awaitStatus("j-000004", wire.JobDone, 2*time.Minute)
}

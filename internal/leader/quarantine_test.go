package leader

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// TestRunningTaskEndsQuarantine checks that a job that is not at fault does not stay quarantined for long after its
// tasks have failed on three faulty machines in its first second. It leaves the quarantine once a heartbeat shows that
// another of its tasks has run for more than 3 s plus twice the longest run time of a failed task.
func TestRunningTaskEndsQuarantine(t *testing.T) {
	const s = micros.Second
	for _, c := range []struct {
		name        string
		failureTook micros.Micros // longest run time of a failed task
		heartbeatAt micros.Micros // time from the start of the running task to the latest heartbeat of its machine
		quarantined bool
	}{
		{"no new heartbeat", 0, s, true},
		{"the task still runs", 0, 4 * s, false},
		{"the task has run for less than twice as long as a failed task", 10 * s, 15 * s, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			now := micros.Now()
			j := state.NewJob(replica.Job{Spec: &wire.Job{ID: "j-000200", Team: "blue", Tasks: 50, CPUs: 1, EstimatedRuntimeS: 10, AllowSpot: true}}, false)
			l.jobs[j.Spec.ID] = j
			j.Failures.LongestRun = c.failureTook
			l.assign(&state.Attempt{Job: j, Machine: l.fleet.Machines["i-1"], RunningSince: now})
			for i := 2; i <= 4; i++ {
				l.quarantine.AttributeFailure(l.fleet.Add(fmt.Sprintf("i-%d", i), l.fleet.Intent("r-1"), now), j, now)
			}
			if !j.Failures.Quarantined {
				t.Fatal("the job is not quarantined after failures on three machines")
			}
			l.fleet.Machines["i-1"].Heartbeat.ReceivedAt = now + c.heartbeatAt
			l.scheduler.Plan(now + c.heartbeatAt)
			if j.Failures.Quarantined != c.quarantined {
				t.Errorf("the job is quarantined: %v, want %v", j.Failures.Quarantined, c.quarantined)
			}
		})
	}
}

package leader

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// TestRunningTaskEndsQuarantine has a good job fail on three faulty machines in its first second: it does not
// stay in quarantine for long, as a heartbeat shows its other tasks to run on.
func TestRunningTaskEndsQuarantine(t *testing.T) {
	const s = micros.Second
	for _, c := range []struct {
		name        string
		failureTook micros.Micros
		heartbeatAt micros.Micros // of the machine of a running task, since that began
		quarantined bool
	}{
		{"no heartbeat since", 0, s, true},
		{"it runs on", 0, 4 * s, false},
		{"it runs no longer than what failed", 10 * s, 15 * s, true},
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
				t.Fatal("not quarantined")
			}
			l.fleet.Machines["i-1"].Heartbeat.ReceivedAt = now + c.heartbeatAt
			l.scheduler.Plan(now + c.heartbeatAt)
			if j.Failures.Quarantined != c.quarantined {
				t.Errorf("quarantined %v, want %v", j.Failures.Quarantined, c.quarantined)
			}
		})
	}
}

package leader

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
)

// TestAgingOrder has a large job late while more urgent ones wait: after two minutes without a start a part of it goes
// before all others, so that it starts within four.
func TestAgingOrder(t *testing.T) {
	for _, c := range []struct {
		name          string
		waited, since micros.Micros // for the first start, and since the last one
		done          int
		running       bool
		first         string
	}{
		{"for a short time", 100 * micros.Second, 0, 0, false, "j-000002"},
		{"for long", 130 * micros.Second, 0, 0, false, "j-000001"},
		{"but a task of it runs", 130 * micros.Second, 0, 0, true, "j-000002"},
		{"it has started, and lately started a task", 400 * micros.Second, 50 * micros.Second, 1, false, "j-000002"},
		{"it has started, and no task for long", 400 * micros.Second, 130 * micros.Second, 1, false, "j-000001"},
	} {
		l, _ := newTestLeader(t)
		wall := micros.Wall()
		l.startedAtWall = wall - 500*micros.Second
		big := l.jobs["j-000001"]
		big.MayHaveEarlierTasks, big.Spec.Tasks, big.SubmittedAt = false, 64, wall-c.waited
		if c.since != 0 {
			big.LastStart = wall - c.since
		}
		big.DoneCount = c.done
		if c.running {
			big.Attempts[0] = &state.Attempt{Job: big, Machine: l.fleet.Machines["i-1"]}
		}
		spec := *big.Spec
		spec.ID, spec.Priority, spec.Tasks = "j-000002", "urgent", 10
		l.jobs["j-000002"] = state.NewJob(replica.Job{Spec: &spec, SubmittedAt: wall}, false)
		q := l.newQueue(micros.Now())
		if got := q.jobs[0].Spec.ID; got != c.first {
			t.Errorf("%s: %s goes first, want %s", c.name, got, c.first)
		}
		if n := q.waiting[0].WaitingTasks; c.first == "j-000001" && n > 8 {
			t.Errorf("%s: %d of its tasks go first, want a part", c.name, n)
		}
	}
}

// TestWorstCaseTeamUse counts what machines with unknown tasks could hold.
func TestWorstCaseTeamUse(t *testing.T) {
	l, _ := newTestLeader(t)
	if teams, unknown := l.worstCaseTeamUse(), l.findUnknownMachines().count; unknown != 1 || teams["blue"].Used.CPU != 4000 {
		t.Errorf("%d machines with unknown tasks, used %+v; want all 4 CPUs of the one machine", unknown, teams["blue"].Used)
	}
	l.fleet.Machines["i-1"].Reconciliation.Knowledge = state.TasksConfirmed
	if teams := l.worstCaseTeamUse(); teams["blue"].Used.CPU != 0 {
		t.Errorf("used %+v with nothing running", teams["blue"].Used)
	}
}

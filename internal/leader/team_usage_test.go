package leader

import (
	"testing"

	"caperlatch/internal/leader/state"
)

// TestWorstCaseTeamUsage checks that the worst-case usage of a team includes the capacity of machines with unknown
// tasks.
func TestWorstCaseTeamUsage(t *testing.T) {
	l, _ := newTestLeader(t)
	if teams, unknown := l.worstCaseTeamUsage(), l.findMachinesWithUnknownTasks().count; unknown != 1 || teams["blue"].Used.CPU != 4000 {
		t.Errorf("%d machines with unknown tasks, team usage %+v; want 1 machine and all of its 4 CPUs", unknown, teams["blue"].Used)
	}
	l.fleet.Machines["i-1"].Reconciliation.Knowledge = state.TasksConfirmed
	if teams := l.worstCaseTeamUsage(); teams["blue"].Used.CPU != 0 {
		t.Errorf("team usage %+v while no task runs, want none", teams["blue"].Used)
	}
}

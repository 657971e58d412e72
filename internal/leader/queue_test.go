package leader

import (
	"testing"

	"caperlatch/internal/leader/state"
)

// TestWorstCaseTeamUse counts what machines with unknown tasks could hold.
func TestWorstCaseTeamUse(t *testing.T) {
	l, _ := newTestLeader(t)
	if teams, unknown := l.worstCaseTeamUsage(), l.findMachinesWithUnknownTasks().count; unknown != 1 || teams["blue"].Used.CPU != 4000 {
		t.Errorf("%d machines with unknown tasks, used %+v; want all 4 CPUs of the one machine", unknown, teams["blue"].Used)
	}
	l.fleet.Machines["i-1"].Reconciliation.Knowledge = state.TasksConfirmed
	if teams := l.worstCaseTeamUsage(); teams["blue"].Used.CPU != 0 {
		t.Errorf("used %+v with nothing running", teams["blue"].Used)
	}
}

package leader

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/settings"
)

// TestCanStartTask checks the rules that a start must observe when it is sent, regardless of the plan.
func TestCanStartTask(t *testing.T) {
	cases := []struct {
		name string
		edit func(l *Leader, j *state.Job, m *state.Machine)
		want bool
	}{
		{"no restriction", func(*Leader, *state.Job, *state.Machine) {}, true},
		{"the job requires another instance type", func(_ *Leader, j *state.Job, _ *state.Machine) { j.Spec.InstanceTypes = []string{"m8"} }, false},
		{"the job requires another zone", func(_ *Leader, j *state.Job, _ *state.Machine) { j.Spec.Zone = "b" }, false},
		{"the job does not allow spot machines", func(_ *Leader, j *state.Job, m *state.Machine) { j.Spec.AllowSpot, m.Offering.Spot = false, true }, false},
		{"the team is at its limit", func(l *Leader, j *state.Job, _ *state.Machine) {
			l.workload.SetTeam(settings.Team{Name: "blue", MaxCPUs: 2})
			l.teamUsage["blue"] = l.teamUsage["blue"].Add(j.Need, 2)
		}, false},
		{"the team may be at its limit because of machines with unknown tasks", func(l *Leader, j *state.Job, _ *state.Machine) {
			l.workload.SetTeam(settings.Team{Name: "blue", MaxCPUs: 2})
			l.unknownUsage = l.unknownUsage.Add(j.Need, 2)
		}, false},
		{"a single-zone job has tasks in another zone", func(_ *Leader, j *state.Job, m *state.Machine) {
			j.Spec.SingleZone = true
			j.Attempts[0], j.AttemptsPerZone["b"] = &state.Attempt{}, 1
		}, false},
		{"a single-zone job has tasks in this zone", func(_ *Leader, j *state.Job, m *state.Machine) {
			j.Spec.SingleZone = true
			j.Attempts[0], j.AttemptsPerZone["a"] = &state.Attempt{}, 1
		}, true},
		{"two of a spread job's three tasks are in this zone", func(_ *Leader, j *state.Job, m *state.Machine) { j.Spec.SpreadZones, j.AttemptsPerZone["a"] = true, 2 }, false},
		{"one of a spread job's three tasks is in this zone", func(_ *Leader, j *state.Job, m *state.Machine) { j.Spec.SpreadZones, j.AttemptsPerZone["a"] = true, 1 }, true},
	}
	for _, c := range cases {
		l, _ := newTestLeader(t)
		j, m := l.jobs["j-000001"], l.fleet.Machines["i-1"]
		c.edit(l, j, m)
		if got := l.canStartTask(j, m); got != c.want {
			t.Errorf("%s: the task may start: %t, want %t", c.name, got, c.want)
		}
	}
}

package leader

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/settings"
)

// TestCanStartTask checks what a start must keep when it is sent, whatever was planned.
func TestCanStartTask(t *testing.T) {
	cases := []struct {
		name string
		edit func(l *Leader, j *state.Job, m *state.Machine)
		want bool
	}{
		{"nothing in the way", func(*Leader, *state.Job, *state.Machine) {}, true},
		{"another type", func(_ *Leader, j *state.Job, _ *state.Machine) { j.Spec.InstanceTypes = []string{"m8"} }, false},
		{"another zone", func(_ *Leader, j *state.Job, _ *state.Machine) { j.Spec.Zone = "b" }, false},
		{"no spot machine", func(_ *Leader, j *state.Job, m *state.Machine) { j.Spec.AllowSpot, m.Offering.Spot = false, true }, false},
		{"at the team's limit", func(l *Leader, j *state.Job, _ *state.Machine) {
			l.workload.SetTeam(settings.Team{Name: "blue", MaxCPUs: 2})
			l.teamUsage["blue"] = l.teamUsage["blue"].Add(j.Need, 2)
		}, false},
		{"machines with unknown tasks may be at it", func(l *Leader, j *state.Job, _ *state.Machine) {
			l.workload.SetTeam(settings.Team{Name: "blue", MaxCPUs: 2})
			l.unknownUsage = l.unknownUsage.Add(j.Need, 2)
		}, false},
		{"its other tasks are in another zone", func(_ *Leader, j *state.Job, m *state.Machine) {
			j.Spec.SingleZone = true
			j.Attempts[0], j.AttemptsPerZone["b"] = &state.Attempt{}, 1
		}, false},
		{"its other tasks are here", func(_ *Leader, j *state.Job, m *state.Machine) {
			j.Spec.SingleZone = true
			j.Attempts[0], j.AttemptsPerZone["a"] = &state.Attempt{}, 1
		}, true},
		{"two of three are here", func(_ *Leader, j *state.Job, m *state.Machine) { j.Spec.SpreadZones, j.AttemptsPerZone["a"] = true, 2 }, false},
		{"one of three is here", func(_ *Leader, j *state.Job, m *state.Machine) { j.Spec.SpreadZones, j.AttemptsPerZone["a"] = true, 1 }, true},
	}
	for _, c := range cases {
		l, _ := newTestLeader(t)
		j, m := l.jobs["j-000001"], l.fleet.Machines["i-1"]
		c.edit(l, j, m)
		if got := l.canStartTask(j, m); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

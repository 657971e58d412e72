package autoscaler

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/workload"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// newTest makes an autoscaler of so many on-demand machines of type m4, which has four CPUs. Type m8 has
// eight. There are no jobs.
func newTest(t *testing.T, machines int) *Scaler {
	t.Helper()
	f := &fleet.Fleet{Machines: map[string]*state.Machine{}}
	s := New(Config{
		Tuning:   settings.DefaultTuning(),
		Fleet:    f,
		Workload: workload.New(settings.Params{Teams: []settings.Team{{Name: "blue"}}}),
		Jobs:     map[string]*state.Job{},
	})
	s.SetInstanceTypes(wire.InstanceTypeList{Types: []wire.InstanceType{
		{Name: "m4", CPUs: 4, MemoryGB: 16, ImagePullGBPerS: 1, OnDemandPrice: 1, SpotPrice: 1, Zones: []string{"a"}},
		{Name: "m8", CPUs: 8, MemoryGB: 32, ImagePullGBPerS: 1, OnDemandPrice: 3, SpotPrice: 3, Zones: []string{"a"}}}})
	for i := range machines {
		m := &state.Machine{
			ID:       fmt.Sprintf("i-%d", 10+i),
			Offering: state.Offering{Type: "m4", Zone: "a"},
			Attempts: map[string]*state.Attempt{},
			Free:     s.Type("m4").Capacity,
		}
		m.Reconciliation.Knowledge = state.TasksConfirmed
		f.Machines[m.ID] = m
		f.Sorted = append(f.Sorted, m)
	}
	return s
}

// newJob makes a job of tasks with one CPU each.
func newJob(id string, tasks int) *state.Job {
	return state.NewJob(replica.Job{Spec: &wire.Job{ID: id, Team: "blue", Kind: wire.KindArray, Priority: "normal",
		Tasks: tasks, CPUs: 1, MemoryGB: 1, EstimatedRuntimeS: 60, AllowSpot: true}}, false)
}

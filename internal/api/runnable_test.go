package api

import (
	"testing"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

func TestRunnable(t *testing.T) {
	types := []wire.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}},
		{Name: "large", CPUs: 32, GPUs: 2, MemoryGB: 64, Zones: []string{"a", "b"}},
	}
	teams := []settings.Team{{Name: "free"}, {Name: "bound", CPUsMax: 8, GPUsMax: 1}}
	cases := []struct {
		name string
		job  wire.Job
		ok   bool
	}{
		{"fits", wire.Job{Team: "free", CPUs: 4, MemoryGB: 8}, true},
		{"an unknown team", wire.Job{Team: "red", CPUs: 1}, false},
		{"too large for any type", wire.Job{Team: "free", CPUs: 33}, false},
		{"CPUs of one type and memory of another", wire.Job{Team: "free", CPUs: 4, MemoryGB: 65}, false},
		{"too large for its types", wire.Job{Team: "free", CPUs: 8, Types: []string{"small"}}, false},
		{"its zone lacks the type", wire.Job{Team: "free", CPUs: 1, Types: []string{"small"}, Zone: "b"}, false},
		{"its zone has another type", wire.Job{Team: "free", CPUs: 1, Zone: "b"}, true},
		{"one task over the team's limit", wire.Job{Team: "bound", CPUs: 9}, false},
		{"all tasks over it, each within", wire.Job{Team: "bound", CPUs: 8, Tasks: 10}, true},
		{"GPUs over the limit", wire.Job{Team: "bound", GPUs: 2}, false},
		{"a gang at its team's limit", wire.Job{Team: "bound", Shape: wire.ShapeGang, CPUs: 2, Tasks: 4}, true},
		{"a gang over it, each task within", wire.Job{Team: "bound", Shape: wire.ShapeGang, CPUs: 2, Tasks: 5}, false},
		{"a gang whose GPUs are over it", wire.Job{Team: "bound", Shape: wire.ShapeGang, CPUs: 1, GPUs: 1, Tasks: 2}, false},
		{"a gang of parts of CPUs at its team's limit", wire.Job{Team: "bound", Shape: wire.ShapeGang, CPUs: 0.1, Tasks: 80}, true},
		{"a gang of one task", wire.Job{Team: "bound", Shape: wire.ShapeGang, CPUs: 8, Tasks: 1, Spread: true, OneZone: true}, true},
		{"a large gang of a team without a limit", wire.Job{Team: "free", Shape: wire.ShapeGang, CPUs: 32, Tasks: 1000}, true},
		{"a gang scattered over two zones", wire.Job{Team: "free", Shape: wire.ShapeGang, CPUs: 8, Tasks: 4, Spread: true}, true},
		{"a scattered gang whose machines are in one zone", wire.Job{Team: "free", Shape: wire.ShapeGang, CPUs: 1, Tasks: 4, Spread: true, Types: []string{"small"}}, false},
		{"a gang both scattered and together", wire.Job{Team: "free", Shape: wire.ShapeGang, CPUs: 1, Tasks: 2, Spread: true, OneZone: true}, false},
		{"an array both scattered and together, which runs task by task", wire.Job{Team: "free", Shape: wire.ShapeArray, CPUs: 1, Tasks: 2, Spread: true, OneZone: true}, true},
		{"a service of a team at its limit", wire.Job{Team: "bound", Shape: wire.ShapeService, CPUs: 8, Tasks: 2}, true},
	}
	for _, c := range cases {
		if err := Runnable(&c.job, types, teams); (err == nil) != c.ok {
			t.Errorf("%s: %v, want ok %v", c.name, err, c.ok)
		}
	}
}

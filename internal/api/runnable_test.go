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
	}
	for _, c := range cases {
		if err := Runnable(&c.job, types, teams); (err == nil) != c.ok {
			t.Errorf("%s: %v, want ok %v", c.name, err, c.ok)
		}
	}
}

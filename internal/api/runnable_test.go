package api

import (
	"testing"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

func TestRunnable(t *testing.T) {
	types := []wire.InstanceType{
		{Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}},
		{Name: "large", CPUs: 32, GPUs: 2, MemoryGB: 64, Zones: []string{"a", "b"}},
	}
	teams := []settings.Team{{Name: "free"}, {Name: "bound", MaxCPUs: 8, MaxGPUs: 1}}
	cases := []struct {
		name string
		job  wire.Job
		ok   bool
	}{
		{"fits", wire.Job{Team: "free", CPUs: 4, MemoryGB: 8}, true},
		{"an unknown team", wire.Job{Team: "red", CPUs: 1}, false},
		{"too large for any type", wire.Job{Team: "free", CPUs: 33}, false},
		{"CPUs of one type and memory of another", wire.Job{Team: "free", CPUs: 4, MemoryGB: 65}, false},
		{"too large for its types", wire.Job{Team: "free", CPUs: 8, InstanceTypes: []string{"small"}}, false},
		{"its zone lacks the type", wire.Job{Team: "free", CPUs: 1, InstanceTypes: []string{"small"}, Zone: "b"}, false},
		{"its zone has another type", wire.Job{Team: "free", CPUs: 1, Zone: "b"}, true},
		{"one task over the team's limit", wire.Job{Team: "bound", CPUs: 9}, false},
		{"all tasks over it, each within", wire.Job{Team: "bound", CPUs: 8, Tasks: 10}, true},
		{"GPUs over the limit", wire.Job{Team: "bound", GPUs: 2}, false},
		{"a gang at its team's limit", wire.Job{Team: "bound", Kind: wire.KindGang, CPUs: 2, Tasks: 4}, true},
		{"a gang over it, each task within", wire.Job{Team: "bound", Kind: wire.KindGang, CPUs: 2, Tasks: 5}, false},
		{"a gang whose GPUs are over it", wire.Job{Team: "bound", Kind: wire.KindGang, CPUs: 1, GPUs: 1, Tasks: 2}, false},
		{"a gang of parts of CPUs at its team's limit", wire.Job{Team: "bound", Kind: wire.KindGang, CPUs: 0.1, Tasks: 80}, true},
		{"a gang of one task", wire.Job{Team: "bound", Kind: wire.KindGang, CPUs: 8, Tasks: 1, SpreadZones: true, SingleZone: true}, true},
		{"a large gang of a team without a limit", wire.Job{Team: "free", Kind: wire.KindGang, CPUs: 32, Tasks: 1000}, true},
		{"a gang scattered over two zones", wire.Job{Team: "free", Kind: wire.KindGang, CPUs: 8, Tasks: 4, SpreadZones: true}, true},
		{"a scattered gang whose machines are in one zone", wire.Job{Team: "free", Kind: wire.KindGang, CPUs: 1, Tasks: 4, SpreadZones: true, InstanceTypes: []string{"small"}}, false},
		{"a gang both scattered and together", wire.Job{Team: "free", Kind: wire.KindGang, CPUs: 1, Tasks: 2, SpreadZones: true, SingleZone: true}, false},
		{"an array both scattered and together, which runs task by task", wire.Job{Team: "free", Kind: wire.KindArray, CPUs: 1, Tasks: 2, SpreadZones: true, SingleZone: true}, true},
		{"a service of a team at its limit", wire.Job{Team: "bound", Kind: wire.KindService, CPUs: 8, Tasks: 2}, true},
	}
	for _, c := range cases {
		if err := checkFeasible(&c.job, types, teams); (err == nil) != c.ok {
			t.Errorf("%s: %v, want ok %v", c.name, err, c.ok)
		}
	}
}

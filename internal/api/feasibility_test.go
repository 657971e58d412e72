package api

import (
	"testing"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// TestCheckFeasible checks which jobs are accepted, given the instance types, their zones and the teams' limits.
func TestCheckFeasible(t *testing.T) {
	types := []wire.InstanceType{
		{Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}},
		{Name: "large", CPUs: 32, GPUs: 2, MemoryGB: 64, Zones: []string{"a", "b"}},
	}
	teams := []settings.Team{{Name: "unlimited"}, {Name: "limited", MaxCPUs: 8, MaxGPUs: 1}}
	cases := []struct {
		name string
		job  wire.Job
		ok   bool
	}{
		{"a task that fits an instance type", wire.Job{Team: "unlimited", CPUs: 4, MemoryGB: 8}, true},
		{"an unknown team", wire.Job{Team: "unknown", CPUs: 1}, false},
		{"CPUs too large for any instance type", wire.Job{Team: "unlimited", CPUs: 33}, false},
		{"memory too large for any instance type", wire.Job{Team: "unlimited", CPUs: 4, MemoryGB: 65}, false},
		{"too large for the allowed instance types", wire.Job{Team: "unlimited", CPUs: 8, InstanceTypes: []string{"small"}}, false},
		{"the allowed instance type is not in the required zone", wire.Job{Team: "unlimited", CPUs: 1, InstanceTypes: []string{"small"}, Zone: "b"}, false},
		{"another allowed instance type is in the required zone", wire.Job{Team: "unlimited", CPUs: 1, Zone: "b"}, true},
		{"one task over the team's limit", wire.Job{Team: "limited", CPUs: 9}, false},
		{"an array over the limit, each task within it", wire.Job{Team: "limited", CPUs: 8, Tasks: 10}, true},
		{"GPUs over the limit", wire.Job{Team: "limited", GPUs: 2}, false},
		{"a gang at its team's limit", wire.Job{Team: "limited", Kind: wire.KindGang, CPUs: 2, Tasks: 4}, true},
		{"a gang over the limit, each task within it", wire.Job{Team: "limited", Kind: wire.KindGang, CPUs: 2, Tasks: 5}, false},
		{"a gang whose GPUs are over the limit", wire.Job{Team: "limited", Kind: wire.KindGang, CPUs: 1, GPUs: 1, Tasks: 2}, false},
		{"a gang of fractional CPUs at its team's limit", wire.Job{Team: "limited", Kind: wire.KindGang, CPUs: 0.1, Tasks: 80}, true},
		{"a gang of one task", wire.Job{Team: "limited", Kind: wire.KindGang, CPUs: 8, Tasks: 1, SpreadZones: true, SingleZone: true}, true},
		{"a large gang of a team without a limit", wire.Job{Team: "unlimited", Kind: wire.KindGang, CPUs: 32, Tasks: 1000}, true},
		{"a gang spread over two zones", wire.Job{Team: "unlimited", Kind: wire.KindGang, CPUs: 8, Tasks: 4, SpreadZones: true}, true},
		{"a spread gang whose instance types are in one zone", wire.Job{Team: "unlimited", Kind: wire.KindGang, CPUs: 1, Tasks: 4, SpreadZones: true, InstanceTypes: []string{"small"}}, false},
		{"a gang both spread and in a single zone", wire.Job{Team: "unlimited", Kind: wire.KindGang, CPUs: 1, Tasks: 2, SpreadZones: true, SingleZone: true}, false},
		{"an array both spread and in a single zone: its tasks need not run at the same time", wire.Job{Team: "unlimited", Kind: wire.KindArray, CPUs: 1, Tasks: 2, SpreadZones: true, SingleZone: true}, true},
		{"a service of a team at its limit", wire.Job{Team: "limited", Kind: wire.KindService, CPUs: 8, Tasks: 2}, true},
	}
	for _, c := range cases {
		if err := checkFeasible(&c.job, types, teams); (err == nil) != c.ok {
			t.Errorf("%s: got error %v, want an error: %v", c.name, err, !c.ok)
		}
	}
}

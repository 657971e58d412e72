package placement

import (
	"slices"
	"testing"
)

// TestBandOrder has bands come after what has waited too long and before all else.
func TestBandOrder(t *testing.T) {
	jobs := []*Job{
		{ID: "late", EvacuationRank: 1, Late: true, Priority: 2},
		{ID: "aged", EvacuationRank: 3, Aged: true},
		{ID: "guaranteed", EvacuationRank: 3, WithinGuarantee: true, Priority: 1},
		{ID: "urgent", EvacuationRank: 1, Priority: 2, StartDeadline: 9},
		{ID: "due sooner", EvacuationRank: 2, Priority: 1, StartDeadline: 1},
		{ID: "first class", EvacuationRank: 2, Priority: 1, WithinGuarantee: true, StartDeadline: 5},
		{ID: "another", EvacuationRank: 3, Priority: 1},
	}
	slices.SortFunc(jobs, CompareJobs)
	for i, want := range []string{"aged", "urgent", "late", "first class", "due sooner", "guaranteed", "another"} {
		if jobs[i].ID != want {
			t.Errorf("number %d is %s, want %s", i, jobs[i].ID, want)
		}
	}
}

// TestClosed has a machine of a zone that is not all there take only what is bound to the zone,
// by each way of placing.
func TestClosed(t *testing.T) {
	cases := []struct {
		bound  string
		closed bool
		starts int
	}{{"", false, 2}, {"", true, 0}, {"b", true, 0}, {"a", true, 2}, {"a", false, 2}}
	for _, c := range cases {
		for _, whole := range []bool{false, true} {
			machine := []Machine{{ID: "i-1", Zone: "a", Free: Resources{CPU: 4000, Memory: 4000}, ZoneBoundOnly: c.closed}}
			job := Job{ID: "j", OnlyZone: c.bound, Need: Resources{CPU: 1000, Memory: 1000}, WaitingTasks: 2, TotalTasks: 2, Gang: whole}
			planned, filled := job, job
			Plan(slices.Clone(machine), []*Job{&planned}, nil)
			Fill(&slices.Clone(machine)[0], []*Job{&filled}, nil)
			if planned.WaitingTasks != 2-c.starts || filled.WaitingTasks != 2-c.starts {
				t.Errorf("%+v, whole %v: %d and %d wait still", c, whole, planned.WaitingTasks, filled.WaitingTasks)
			}
		}
	}
}

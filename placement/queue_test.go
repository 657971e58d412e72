package placement

import (
	"slices"
	"testing"
)

// TestEvacuationRankOrder checks that the evacuation rank is compared after aging and before all other criteria.
func TestEvacuationRankOrder(t *testing.T) {
	jobs := []*Job{
		{ID: "late", QueueKey: QueueKey{EvacuationRank: 1, Late: true, Priority: 2}},
		{ID: "aged", QueueKey: QueueKey{EvacuationRank: 3, Aged: true}},
		{ID: "guaranteed", QueueKey: QueueKey{EvacuationRank: 3, WithinGuarantee: true, Priority: 1}},
		{ID: "urgent", QueueKey: QueueKey{EvacuationRank: 1, Priority: 2, StartDeadline: 9}},
		{ID: "due sooner", QueueKey: QueueKey{EvacuationRank: 2, Priority: 1, StartDeadline: 1}},
		{ID: "first class", QueueKey: QueueKey{EvacuationRank: 2, Priority: 1, WithinGuarantee: true, StartDeadline: 5}},
		{ID: "another", QueueKey: QueueKey{EvacuationRank: 3, Priority: 1}},
	}
	slices.SortFunc(jobs, CompareJobs)
	for i, want := range []string{"aged", "urgent", "late", "first class", "due sooner", "guaranteed", "another"} {
		if jobs[i].ID != want {
			t.Errorf("job at position %d is %s, want %s", i, jobs[i].ID, want)
		}
	}
}

package placement

import "cmp"

// CompareJobs is the order of the queue: first jobs that have aged, then by evacuation rank while a
// zone is lost, by guarantee, by priority, then what can still be in time, and of that the next
// start deadline.
func CompareJobs(a, b *Job) int {
	if c := compareStanding(a, b); c != 0 {
		return c
	}
	if a.StartDeadline != b.StartDeadline {
		return cmp.Compare(a.StartDeadline, b.StartDeadline)
	}
	return cmp.Compare(a.ID, b.ID)
}

// compareStanding compares what goes before start deadlines. Plans sort thousands of jobs by it.
func compareStanding(a, b *Job) int {
	if a.Aged != b.Aged {
		return boolRank(a.Aged) - boolRank(b.Aged)
	}
	if c := compareEntitlement(a, b); c != 0 {
		return c
	}
	return boolRank(!a.Late) - boolRank(!b.Late)
}

// compareEntitlement compares what jobs are entitled to, however long they wait and whatever their
// start deadlines are.
func compareEntitlement(a, b *Job) int {
	if a.EvacuationRank != b.EvacuationRank {
		return cmp.Compare(a.EvacuationRank, b.EvacuationRank)
	}
	if a.WithinGuarantee != b.WithinGuarantee {
		return boolRank(a.WithinGuarantee) - boolRank(b.WithinGuarantee)
	}
	return cmp.Compare(b.Priority, a.Priority)
}

// boolRank sorts what is true before what is false.
func boolRank(first bool) int {
	if first {
		return 0
	}
	return 1
}

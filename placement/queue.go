package placement

import "cmp"

// CompareJobs is the queue's order: what has waited too long to begin, the bands while a zone is
// lost, guarantees, then priorities, then what can still be in time, and of that what is due first.
func CompareJobs(a, b *Job) int {
	if c := compareStanding(a, b); c != 0 {
		return c
	}
	if a.StartDeadline != b.StartDeadline {
		return cmp.Compare(a.StartDeadline, b.StartDeadline)
	}
	return cmp.Compare(a.ID, b.ID)
}

// compareStanding compares what comes before due times. Plans sort thousands of jobs by it.
func compareStanding(a, b *Job) int {
	if a.Aged != b.Aged {
		return boolRank(a.Aged) - boolRank(b.Aged)
	}
	if c := compareEntitlement(a, b); c != 0 {
		return c
	}
	return boolRank(!a.Late) - boolRank(!b.Late)
}

// compareEntitlement compares what a job is entitled to, however long it waits and whatever is due.
func compareEntitlement(a, b *Job) int {
	if a.EvacuationRank != b.EvacuationRank {
		return cmp.Compare(a.EvacuationRank, b.EvacuationRank)
	}
	if a.WithinGuarantee != b.WithinGuarantee {
		return boolRank(a.WithinGuarantee) - boolRank(b.WithinGuarantee)
	}
	return cmp.Compare(b.Priority, a.Priority)
}

func boolRank(first bool) int {
	if first {
		return 0
	}
	return 1
}

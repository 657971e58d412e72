package placement

import "cmp"

// CompareJobs defines the queue order. Aged jobs come first; then jobs are ordered by evacuation rank while a zone
// is lost, by guarantee, and by priority; then jobs that can still be on time precede late ones; then the earliest
// start deadline comes first.
func CompareJobs(a, b *Job) int {
	if c := comparePrecedence(a, b); c != 0 {
		return c
	}
	if a.StartDeadline != b.StartDeadline {
		return cmp.Compare(a.StartDeadline, b.StartDeadline)
	}
	return cmp.Compare(a.ID, b.ID)
}

// comparePrecedence compares the criteria that come before the start deadline. It is written for speed: each plan
// sorts thousands of jobs with it.
func comparePrecedence(a, b *Job) int {
	if a.Aged != b.Aged {
		return boolRank(a.Aged) - boolRank(b.Aged)
	}
	if c := compareEntitlement(a, b); c != 0 {
		return c
	}
	return boolRank(!a.Late) - boolRank(!b.Late)
}

// compareEntitlement compares what jobs are entitled to, regardless of how long they have waited and of their
// start deadlines.
func compareEntitlement(a, b *Job) int {
	if a.EvacuationRank != b.EvacuationRank {
		return cmp.Compare(a.EvacuationRank, b.EvacuationRank)
	}
	if a.WithinGuarantee != b.WithinGuarantee {
		return boolRank(a.WithinGuarantee) - boolRank(b.WithinGuarantee)
	}
	return cmp.Compare(b.Priority, a.Priority)
}

// boolRank returns a sort key that orders true before false.
func boolRank(first bool) int {
	if first {
		return 0
	}
	return 1
}

package placement

import "caperlatch/internal/micros"

// fillLookahead is how many jobs of one claim Fill compares.
const fillLookahead = 24

// Fill picks tasks for a machine that can start them at once, from jobs in the
// queue's order that found no room before. Of the first jobs of one claim it
// takes what is due first, but a fetch counts as if the job were due later by
// twice its time: it holds the task up and keeps its room from others.
func Fill(m *Machine, jobs []*Job, teams map[string]*Team) (starts []Start) {
	for {
		best, bestCount := -1, 0
		var bestDeadline micros.Micros
		compared := 0
		for i, j := range jobs {
			if j.WaitingTasks == 0 {
				continue
			}
			if best >= 0 && (compared == fillLookahead || compareStanding(jobs[best], j) != 0) {
				break
			}
			if !m.Free.Fits(j.Need) || !acceptsJob(m, j) {
				continue
			}
			count := m.Free.CountFitting(j.Need, teams[j.Team].CountAllowed(j.Need, min(j.WaitingTasks, remainingInZone(j, m.Zone))))
			if count == 0 || j.Gang && !shouldTakeGang(m, j, count) {
				continue
			}
			compared++
			if deadline := j.StartDeadline + 2*imagePullTime(m, j); best < 0 || deadline < bestDeadline {
				best, bestCount, bestDeadline = i, count, deadline
			}
		}
		if best < 0 {
			return starts
		}
		assign(m, jobs[best], teams[jobs[best].Team], bestCount)
		starts = append(starts, Start{Job: best, Count: bestCount})
	}
}

// shouldTakeGang tells whether a machine that has reported, with room for count tasks of a
// whole job, should take it: alone, as then no other's report is waited for, where no task
// of it failed, and if fetching its image takes no longer than another machine's report.
func shouldTakeGang(m *Machine, j *Job, count int) bool {
	_, failed := j.FailedOn[m.ID]
	return count >= j.WaitingTasks && !failed && (j.EarliestStart == 0 || imagePullTime(m, j) <= j.EarliestStart)
}

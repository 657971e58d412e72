package placement

import "caperlatch/internal/micros"

// fillLookahead is how many jobs of one standing Fill compares.
const fillLookahead = 24

// Fill picks tasks for a machine that has just sent a heartbeat, so can start them at once, from
// jobs in the queue's order that found no room before. In the starts, Machine is not set.
func Fill(m *Machine, jobs []*Job, teams map[string]*Team) (starts []Start) {
	for {
		next, ok := pickNext(m, jobs, teams)
		if !ok {
			return starts
		}
		j := jobs[next.Job]
		assign(m, j, teams[j.Team], next.Count)
		starts = append(starts, next)
	}
}

// pickNext picks the job that a machine starts tasks of next; ok is false if there is none. Of the
// first jobs of one standing it takes the one with the next start deadline, but an image pull counts
// as if the deadline were later by twice its time: it delays the task, and keeps its room from
// others.
func pickNext(m *Machine, jobs []*Job, teams map[string]*Team) (best Start, ok bool) {
	var bestDeadline micros.Micros
	compared := 0
	for i, j := range jobs {
		if j.WaitingTasks == 0 {
			continue
		}
		if ok && (compared == fillLookahead || compareStanding(jobs[best.Job], j) != 0) {
			break
		}
		if !m.Free.Fits(j.Need) || !m.accepts(j) {
			continue
		}
		count := m.Free.CountFitting(j.Need, teams[j.Team].CountAllowed(j.Need, min(j.WaitingTasks, j.remainingInZone(m.Zone))))
		if count == 0 || j.Gang && !shouldTakeGang(m, j, count) {
			continue
		}
		compared++
		if deadline := j.StartDeadline + 2*imagePullTime(m, j); !ok || deadline < bestDeadline {
			best, bestDeadline, ok = Start{Job: i, Count: count}, deadline, true
		}
	}
	return best, ok
}

// shouldTakeGang reports whether a machine that has sent a heartbeat, with room for count tasks of a
// gang, should take it: all of it, as then no other machine's heartbeat is waited for; where no task
// of it failed; and if pulling its image takes no longer than waiting for another machine.
func shouldTakeGang(m *Machine, j *Job, count int) bool {
	_, failed := j.FailedOn[m.ID]
	return count >= j.WaitingTasks && !failed && (j.EarliestStart == 0 || imagePullTime(m, j) <= j.EarliestStart)
}

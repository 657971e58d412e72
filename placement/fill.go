package placement

import "caperlatch/internal/micros"

// fillLookahead is the maximum number of jobs of equal precedence among which Fill chooses the next one.
const fillLookahead = 24

// Fill picks tasks for a machine that has just sent a heartbeat and can therefore start them at once. jobs holds the
// jobs that have found no capacity so far, in queue order. The returned starts do not have Machine set.
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

// pickNext picks the job whose tasks a machine starts next, and how many of them; ok is false if there is none. Among
// the first jobs that the machine can start, at most fillLookahead of equal precedence, it picks the one with the
// earliest start deadline. Twice the time of the image pull is added to each deadline, because a pull both delays the
// task and keeps the capacity from other tasks.
func pickNext(m *Machine, jobs []*Job, teams map[string]*Team) (best Start, ok bool) {
	var bestDeadline micros.Micros
	compared := 0
	for i, j := range jobs {
		if j.WaitingTasks == 0 {
			continue
		}
		if ok && (compared == fillLookahead || comparePrecedence(jobs[best.Job], j) != 0) {
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

// shouldTakeGang reports whether a machine that has sent a heartbeat and has room for count tasks of a gang should
// start the gang. The machine must have room for all waiting tasks, so that the start does not depend on another
// machine's heartbeat. No task of the gang may have failed on it. If EarliestStart is known, pulling the image must
// not take longer than that.
func shouldTakeGang(m *Machine, j *Job, count int) bool {
	_, failed := j.FailedOn[m.ID]
	return count >= j.WaitingTasks && !failed && (j.EarliestStart == 0 || imagePullTime(m, j) <= j.EarliestStart)
}

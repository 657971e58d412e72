package leader

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/replica"
)

// applyJobChanges applies the job changes that the replica has received since the last call.
func (l *Leader) applyJobChanges() {
	for _, id := range l.Replica.TakeChangedJobs(false) {
		l.applyJobChange(id, false)
	}
}

// applyJobChange applies a job's state in the replica to this term's jobs. mayHaveEarlierTasks is set if an earlier
// term may have started tasks of the job.
func (l *Leader) applyJobChange(id string, mayHaveEarlierTasks bool) {
	stored, _, ok := l.Replica.Job(id)
	if !ok {
		return
	}
	j := l.jobs[id]
	switch {
	case stored.IsFinal() && j != nil:
		l.dropJob(j, stored.State)
	case !stored.IsFinal() && j == nil:
		if _, finishing := l.finalJobs[id]; finishing {
			return
		}
		j = state.NewJob(stored, mayHaveEarlierTasks)
		j.Image = l.imageIndex(j.Spec.Image)
		l.jobs[id] = j
		l.scaler.AddDemand(j)
		l.scheduler.RequestPlan()
	}
}

// dropJob removes a job that has ended, queues the deletion of its stored progress and stops its tasks.
func (l *Leader) dropJob(j *state.Job, finalState string) {
	j.Ended = true
	delete(l.jobs, j.Spec.ID)
	delete(l.finalJobs, j.Spec.ID)
	l.writes.Remove(replica.JobPrefix + j.Spec.ID)
	for chunk := range j.ProgressChunks() {
		key := state.ProgressKey(j.Spec.ID, chunk)
		l.writes.Remove(key)
		if l.Replica.ModRevision(key) != 0 {
			l.writes.Enqueue(key)
		}
	}
	reason := "job is " + finalState
	if j.IsGang() {
		l.scheduler.DropReservation(j)
		l.gangs.EndAttempt(j, 0, reason)
	}
	for _, a := range j.Attempts {
		l.stopTask(a, 0, reason)
	}
	l.scheduler.RequestPlan()
}

// imageIndex returns the index that identifies an image in package placement. A new image gets the next free one.
func (l *Leader) imageIndex(name string) int {
	index, ok := l.images[name]
	if !ok {
		index = len(l.images)
		l.images[name] = index
	}
	return index
}

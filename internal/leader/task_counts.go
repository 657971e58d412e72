package leader

import "caperlatch/internal/micros"

// TaskCounts are how many tasks of jobs that have not ended are done, and how many run, by job ID.
type TaskCounts map[string][2]int

// taskCountsInterval is how often the counts are taken anew; they are for display only.
const taskCountsInterval = 2 * micros.Second

// AllTaskCounts are the counts of all jobs that have started, as of a time that is at most taskCountsInterval ago. The
// map must not be changed.
func (l *Leader) AllTaskCounts() (counts TaskCounts, at micros.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := micros.Now(); l.taskCounts == nil || now-l.taskCountsAt >= taskCountsInterval {
		l.taskCounts, l.taskCountsAt = l.countTasks(), now
	}
	return l.taskCounts, l.taskCountsAt
}

// TaskCounts counts the tasks of a job. It reports false if the job has ended or is not known.
func (l *Leader) TaskCounts(id string) (done, running int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		return 0, 0, false
	}
	return j.DoneCount, j.RunningCount, true
}

// Bounds of the counts, which go into one message between nodes: all that fit maxTaskCountBytes, where each takes
// its job's ID and taskCountBytes at most. A fleet of 4,000 machines that run single tasks has 16,000 jobs to count,
// which take 400 KB.
const (
	maxTaskCountBytes = 1 << 19
	taskCountBytes    = 16
)

// countTasks counts the tasks of the jobs that have started.
func (l *Leader) countTasks() TaskCounts {
	counts, size := make(TaskCounts, len(l.jobs)), 0
	for id, j := range l.jobs {
		if j.DoneCount+j.RunningCount == 0 {
			continue
		}
		if size += len(id) + taskCountBytes; size > maxTaskCountBytes {
			break
		}
		counts[id] = [2]int{j.DoneCount, j.RunningCount}
	}
	return counts
}

package leader

import "caperlatch/internal/micros"

// TaskCounts holds the numbers of done and of running tasks of jobs that have not ended, by job ID.
type TaskCounts map[string][2]int

// taskCountsInterval is the interval at which the counts are refreshed. They are for display only.
const taskCountsInterval = 2 * micros.Second

// AllTaskCounts returns the counts of the jobs that have started, as many as the size limit allows, and the time they
// are from, which is less than taskCountsInterval ago. Callers must not change the map.
func (l *Leader) AllTaskCounts() (counts TaskCounts, at micros.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := micros.Now(); l.taskCounts == nil || now-l.taskCountsAt >= taskCountsInterval {
		l.taskCounts, l.taskCountsAt = l.countTasks(), now
	}
	return l.taskCounts, l.taskCountsAt
}

// TaskCounts returns the numbers of done and of running tasks of a job. It reports false if the job has ended or is
// unknown.
func (l *Leader) TaskCounts(id string) (done, running int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		return 0, 0, false
	}
	return j.DoneCount, j.RunningCount, true
}

// Size limits of the counts, which are sent between nodes in one message. Counts are included up to a total of
// maxTaskCountBytes. Each takes the length of its job's ID plus at most taskCountBytes. A fleet of 4,000 machines that
// runs single-task jobs has 16,000 jobs to count, which take 400 KB.
const (
	maxTaskCountBytes = 1 << 19
	taskCountBytes    = 16
)

// countTasks returns the counts of the jobs that have started, as many as the size limit allows.
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

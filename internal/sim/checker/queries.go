package checker

import (
	"strings"
	"time"
)

// Samples returns all samples. The caller must not modify them.
func (h *History) Samples() []Sample {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.samples
}

// LongestStall returns the longest time during which tasks of a class waited and none of them started, although there
// were free CPUs in zones that were not affected by a fault.
func (h *History) LongestStall(class string) (longest time.Duration) {
	var previousAt, stalledSince time.Duration
	isStalled := false
	for _, s := range h.Samples() {
		wasStalled := isStalled
		isStalled = s.Waiting[class] > 0 && s.FreeCPUs != 0 && s.Starts[class] == 0
		if isStalled && !wasStalled {
			stalledSince = previousAt
		}
		if isStalled {
			longest = max(longest, s.At-stalledSince)
		}
		previousAt = s.At
	}
	return longest
}

// Contention selects the intervals between two samples in which tasks of a class waited for free CPUs.
type Contention struct {
	Class      string        // the class whose tasks waited
	MinWaiting int           // minimum number of its waiting tasks at both ends of an interval
	From, To   time.Duration // time since the start of the history
}

// StartsDuring returns the number of task starts of a class in the intervals that c selects.
func (h *History) StartsDuring(c Contention, class string) (starts int) {
	samples := h.Samples()
	for i, s := range samples {
		if i == 0 || s.At < c.From || s.At > c.To || min(samples[i-1].Waiting[c.Class], s.Waiting[c.Class]) < c.MinWaiting {
			continue
		}
		starts += s.Starts[class]
	}
	return starts
}

// FirstStarts returns, in order, the time of the first task start on each machine of a zone after a given time. Tasks
// without a class do not count.
func (h *History) FirstStarts(zone string, after time.Duration) (at []time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	for _, s := range h.starts {
		if s.Zone == zone && s.At > after && !seen[s.Machine] && s.Class != "" {
			seen[s.Machine] = true
			at = append(at, s.At)
		}
	}
	return at
}

// CompletionsIn returns the number of tasks that completed in a zone after a given time.
func (h *History) CompletionsIn(zone string, after time.Duration) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.completions {
		if c.Zone == zone && c.At > after {
			n++
		}
	}
	return n
}

// RestartedTasks returns the tasks of a class that started more than once although no fault affected them.
func (h *History) RestartedTasks(class string) (tasks []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for task, n := range h.startCounts {
		if n > 1 && !h.affected[task] && h.ClassOf(task) == class {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// MachinesUsed returns the number of machines on which a task started.
func (h *History) MachinesUsed() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	used := map[string]bool{}
	for _, s := range h.starts {
		used[s.Machine] = true
	}
	return len(used)
}

// RepeatedWork returns the total time that tasks spent on machines without completing there.
func (h *History) RepeatedWork() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.repeatedWork
}

// EachRuntime calls visit for each completed task, with the time that the task spent on its machine. The lock is held
// during the calls.
func (h *History) EachRuntime(visit func(class string, runtime time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.completions {
		visit(c.Class, c.Duration)
	}
}

// EachWait calls visit for each task that has started and whose job was accepted at or after a given time, with the
// time from the acceptance of the job to the first start of the task. The lock is held during the calls.
func (h *History) EachWait(after time.Duration, visit func(class string, wait time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	for _, s := range h.starts {
		job, _, _ := strings.Cut(s.Task, "/")
		if at, ok := h.acceptedAt[job]; ok && at >= after && !seen[s.Task] {
			seen[s.Task] = true
			visit(s.Class, s.At-at)
		}
	}
}

package checker

import (
	"strings"
	"time"
)

// Samples lists all samples; the caller must not change them.
func (h *History) Samples() []Sample {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.samples
}

// LongestStall returns the longest time for which tasks of a class waited and none of them started,
// although there was room for them in zones that no fault affected.
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

// Contention selects the intervals between samples in which a class had to wait for room.
type Contention struct {
	Class      string        // that waited
	MinWaiting int           // at least so many of its tasks, at both ends of an interval
	From, To   time.Duration // since the history began
}

// StartsDuring counts the starts of a class's tasks in the intervals that c selects.
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

// FirstStarts lists the times at which machines of a zone had their first start after a given time,
// in order. Tasks without a class do not count.
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

// CompletionsIn counts the tasks that completed in a zone after a given time.
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

// RestartedTasks lists the tasks of a class that started more than once although no fault affected
// them.
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

// MachinesUsed counts the machines that had a start.
func (h *History) MachinesUsed() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	used := map[string]bool{}
	for _, s := range h.starts {
		used[s.Machine] = true
	}
	return len(used)
}

// RepeatedWork returns the time that tasks spent on machines without completing there.
func (h *History) RepeatedWork() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.repeatedWork
}

// EachRuntime calls visit with the time on its machine of each task that completed. It holds the
// history's lock meanwhile.
func (h *History) EachRuntime(visit func(class string, runtime time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.completions {
		visit(c.Class, c.Duration)
	}
}

// EachWait calls visit with the time from acceptance to first start of each task of a job that was
// accepted after a given time. It holds the history's lock meanwhile.
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

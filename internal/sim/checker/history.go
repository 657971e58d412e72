package checker

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// History is what workers and users saw of classes of jobs over some zones, and what can be
// judged from that alone. It knows nothing of what any node thinks.
type History struct {
	ClassOf func(task string) string
	// Affected tells whether a trouble meets the machines of a zone now; what runs there may have to
	// begin again. It is called under the history's lock.
	Affected func(zone string) bool
	// UnreportedFor is for how long the end of a task may not have been reported.
	UnreportedFor time.Duration

	mu       sync.Mutex
	began    time.Time
	on       map[string]placed // by task
	begun    map[string]int    // starts of a task
	done     map[string]bool
	tainted  map[string]bool // tasks that a trouble met
	sizes    map[string]int  // accepted tasks by class
	accepted map[string]time.Duration
	starts   []TaskRecord
	ends     []TaskRecord // of what was done
	repeated time.Duration
	samples  []Sample
	sampled  int // starts as of the last sample
}

// placed is a task on a machine.
type placed struct {
	TaskEvent
	since time.Time
}

// TaskRecord is a start or an end as its machine saw it, at a time since the history began.
type TaskRecord struct {
	At                         time.Duration
	Class, Task, Machine, Zone string
	Duration                   time.Duration // on the machine, of an end
}

// Sample is what was so at a moment.
type Sample struct {
	At           time.Duration
	Waiting      map[string]int // by class: tasks that are accepted, not done, and on no machine
	Starts       map[string]int // the same: since the sample before
	Running      map[string]int // tasks on machines by zone
	FreeCPUs     int            // for tasks of one CPU, in zones that no trouble meets
	PricePerHour float64        // of all machines an hour
}

// NewHistory begins a history.
func NewHistory() *History {
	return &History{
		began:    time.Now(),
		on:       map[string]placed{},
		begun:    map[string]int{},
		done:     map[string]bool{},
		tainted:  map[string]bool{},
		sizes:    map[string]int{},
		accepted: map[string]time.Duration{},
	}
}

// Elapsed is the time since the history began.
func (h *History) Elapsed() time.Duration { return time.Since(h.began) }

// ObserveTask takes over what a task did; see Rules.Watch.
func (h *History) ObserveTask(e TaskEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := TaskRecord{At: h.Elapsed(), Class: h.ClassOf(e.Task), Task: e.Task, Machine: e.Machine, Zone: e.Zone}
	switch {
	case e.Started:
		h.on[e.Task] = placed{e, time.Now()}
		h.begun[e.Task]++
		h.starts = append(h.starts, m)
		h.taint(e.Task, e.Zone)
		return
	case e.Done:
		h.done[e.Task] = true
		m.Duration = time.Since(h.on[e.Task].since)
		h.ends = append(h.ends, m)
	default:
		h.repeated += time.Since(h.on[e.Task].since)
	}
	delete(h.on, e.Task)
}

// taint notes that a task may have to begin again, if a trouble meets its zone.
func (h *History) taint(task, zone string) {
	if h.Affected(zone) {
		h.tainted[task] = true
	}
}

// ObserveFault notes which tasks the troubles meet that have just begun.
func (h *History) ObserveFault() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for task, p := range h.on {
		h.taint(task, p.Zone)
	}
	for _, e := range h.ends {
		if h.Elapsed()-e.At < h.UnreportedFor {
			h.taint(e.Task, e.Zone)
		}
	}
}

// ObserveAccepted notes that a user's job was accepted.
func (h *History) ObserveAccepted(job, class string, tasks int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.accepted[job] = h.Elapsed()
	h.sizes[class] += tasks
}

// Jobs lists the accepted jobs, by name.
func (h *History) Jobs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.accepted))
}

// Machine is a machine that is up, as its worker and its price show it.
type Machine struct {
	Zone         string
	CPUs         int
	PricePerHour float64
}

// RecordSample records the present state, with these machines up.
func (h *History) RecordSample(machines []Machine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := Sample{At: h.Elapsed(), Waiting: map[string]int{}, Starts: map[string]int{}, Running: map[string]int{}}
	for class, n := range h.sizes {
		s.Waiting[class] = n
	}
	for task := range h.done {
		s.Waiting[h.ClassOf(task)]--
	}
	for task, p := range h.on {
		if s.Running[p.Zone]++; !h.done[task] {
			s.Waiting[h.ClassOf(task)]--
		}
	}
	room := map[string]int{}
	for _, m := range machines {
		room[m.Zone] += m.CPUs
		s.PricePerHour += m.PricePerHour
	}
	for zone, n := range room {
		if !h.Affected(zone) {
			s.FreeCPUs += max(0, n-s.Running[zone])
		}
	}
	for _, start := range h.starts[h.sampled:] {
		s.Starts[start.Class]++
	}
	h.sampled = len(h.starts)
	h.samples = append(h.samples, s)
}

// LongestStall is for how long tasks of a class waited at the longest, although they had room where
// they might lawfully run, and none of them began.
func (h *History) LongestStall(class string) (longest time.Duration) {
	var since time.Duration
	for i, s := range h.Samples() {
		if s.Waiting[class] <= 0 || s.FreeCPUs == 0 || s.Starts[class] > 0 {
			since = 0
			continue
		}
		if since == 0 && i > 0 {
			since = h.samples[i-1].At
		}
		longest = max(longest, s.At-since)
	}
	return longest
}

// StartsWhileWaiting counts the starts of two classes, between two moments, in seconds in which at
// least so many tasks of the first one waited all the time.
func (h *History) StartsWhileWaiting(first, second string, waiting int, from, to time.Duration) (ofFirst, ofSecond int) {
	all := h.Samples()
	for i, s := range all {
		if i == 0 || s.At < from || s.At > to || min(all[i-1].Waiting[first], s.Waiting[first]) < waiting {
			continue
		}
		ofFirst += s.Starts[first]
		ofSecond += s.Starts[second]
	}
	return ofFirst, ofSecond
}

// FirstStarts lists when machines of a zone had their first start of a class's task after a
// moment, in order.
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

// CompletionsIn counts the tasks that were done in a zone after a moment.
func (h *History) CompletionsIn(zone string, after time.Duration) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.ends {
		if e.Zone == zone && e.At > after {
			n++
		}
	}
	return n
}

// RestartedTasks lists the tasks of a class that began more than once although no trouble met them.
func (h *History) RestartedTasks(class string) (tasks []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for task, n := range h.begun {
		if n > 1 && !h.tainted[task] && h.ClassOf(task) == class {
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

// RepeatedWork is the time on machines of starts that did not end done.
func (h *History) RepeatedWork() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.repeated
}

// Samples lists all samples.
func (h *History) Samples() []Sample {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.samples
}

// EachRuntime tells of each task that was done how long it was on its machine.
func (h *History) EachRuntime(tell func(class string, run time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.ends {
		tell(e.Class, e.Duration)
	}
}

// EachWait tells of each task of a job accepted after a moment how long it waited for its first
// start.
func (h *History) EachWait(after time.Duration, tell func(class string, wait time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	for _, s := range h.starts {
		job, _, _ := strings.Cut(s.Task, "/")
		if at, ok := h.accepted[job]; ok && at >= after && !seen[s.Task] {
			seen[s.Task] = true
			tell(s.Class, s.At-at)
		}
	}
}

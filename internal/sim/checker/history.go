package checker

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// History is what workers and users saw of classes of jobs over some zones, and what follows from
// that alone. It is safe for concurrent use; the exported fields are set before the first
// observation, and are called under the history's lock.
type History struct {
	// ClassOf returns the class of a task's job; empty: of none that is compared.
	ClassOf func(task string) string
	// IsZoneAffected reports whether a fault affects the machines of a zone now, so that what runs there
	// may have to start again.
	IsZoneAffected func(zone string) bool
	// MaxReportDelay is for how long the completion of a task may remain unreported.
	MaxReportDelay time.Duration

	mu            sync.Mutex
	startedAt     time.Time
	running       map[string]runningTask // by task
	startCounts   map[string]int         // by task
	done          map[string]bool        // tasks
	affected      map[string]bool        // tasks that a fault affected
	acceptedTasks map[string]int         // by class
	acceptedAt    map[string]time.Duration
	starts        []TaskRecord
	completions   []TaskRecord
	repeatedWork  time.Duration
	samples       []Sample
	sampledStarts int // the number of starts as of the last sample
}

// runningTask is a task on a machine.
type runningTask struct {
	zone      string
	startedAt time.Time
}

// TaskRecord is a start or a completion as its machine saw it.
type TaskRecord struct {
	At                         time.Duration // since the history began
	Class, Task, Machine, Zone string
	Duration                   time.Duration // on the machine; of a completion
}

// Sample is the state of a cluster at one time.
type Sample struct {
	At           time.Duration  // since the history began
	Waiting      map[string]int // by class: tasks that are accepted, not done, and on no machine
	Starts       map[string]int // by class: starts since the sample before
	Running      map[string]int // by zone: tasks on machines
	FreeCPUs     int            // in zones that no fault affects
	PricePerHour float64        // of all machines
}

// Machine is a machine that is up, as its worker and its price show it.
type Machine struct {
	Zone         string
	CPUs         int
	PricePerHour float64
}

// NewHistory begins a history at the present time.
func NewHistory() *History {
	return &History{
		startedAt:     time.Now(),
		running:       map[string]runningTask{},
		startCounts:   map[string]int{},
		done:          map[string]bool{},
		affected:      map[string]bool{},
		acceptedTasks: map[string]int{},
		acceptedAt:    map[string]time.Duration{},
	}
}

// Elapsed returns the time since the history began.
func (h *History) Elapsed() time.Duration { return time.Since(h.startedAt) }

// ObserveTaskEvent records what a task did; it serves as Rules.OnTaskEvent.
func (h *History) ObserveTaskEvent(e TaskEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	record := TaskRecord{At: h.Elapsed(), Class: h.ClassOf(e.Task), Task: e.Task, Machine: e.Machine, Zone: e.Zone}
	switch e.Kind {
	case TaskStarted:
		h.running[e.Task] = runningTask{e.Zone, time.Now()}
		h.startCounts[e.Task]++
		h.starts = append(h.starts, record)
		h.markIfAffected(e.Task, e.Zone)
		return
	case TaskCompleted:
		h.done[e.Task] = true
		record.Duration = time.Since(h.running[e.Task].startedAt)
		h.completions = append(h.completions, record)
	case TaskExitedIncomplete:
		h.repeatedWork += time.Since(h.running[e.Task].startedAt)
	}
	delete(h.running, e.Task)
}

// markIfAffected notes that a task may have to start again if a fault affects its zone; the caller
// holds the lock.
func (h *History) markIfAffected(task, zone string) {
	if h.IsZoneAffected(zone) {
		h.affected[task] = true
	}
}

// ObserveFault notes which tasks are affected by faults that have just begun.
func (h *History) ObserveFault() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for task, r := range h.running {
		h.markIfAffected(task, r.zone)
	}
	for _, c := range h.completions {
		if h.Elapsed()-c.At < h.MaxReportDelay {
			h.markIfAffected(c.Task, c.Zone)
		}
	}
}

// ObserveAcceptedJob records that a user's job was accepted.
func (h *History) ObserveAcceptedJob(job, class string, tasks int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acceptedAt[job] = h.Elapsed()
	h.acceptedTasks[class] += tasks
}

// Jobs lists the accepted jobs, by name.
func (h *History) Jobs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.acceptedAt))
}

// RecordSample records the present state, with these machines up.
func (h *History) RecordSample(machines []Machine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := Sample{At: h.Elapsed(), Waiting: maps.Clone(h.acceptedTasks), Starts: map[string]int{}, Running: map[string]int{}}
	for task := range h.done {
		s.Waiting[h.ClassOf(task)]--
	}
	for task, r := range h.running {
		if s.Running[r.zone]++; !h.done[task] {
			s.Waiting[h.ClassOf(task)]--
		}
	}
	cpus := map[string]int{} // by zone
	for _, m := range machines {
		cpus[m.Zone] += m.CPUs
		s.PricePerHour += m.PricePerHour
	}
	for zone, n := range cpus {
		if !h.IsZoneAffected(zone) {
			s.FreeCPUs += max(0, n-s.Running[zone]) // each task takes one CPU
		}
	}
	for _, start := range h.starts[h.sampledStarts:] {
		s.Starts[start.Class]++
	}
	h.sampledStarts = len(h.starts)
	h.samples = append(h.samples, s)
}

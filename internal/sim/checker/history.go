package checker

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// History records what workers and users observe of jobs, by class of job and by zone, and computes statistics from
// these observations alone. It is safe for concurrent use. The exported fields must be set before the first
// observation; the functions are called with the lock held.
type History struct {
	// ClassOf returns the class of a task's job; empty if the job belongs to no class.
	ClassOf func(task string) string
	// IsZoneAffected reports whether a fault currently affects the machines of a zone, so that tasks there may have
	// to start again.
	IsZoneAffected func(zone string) bool
	// MaxReportDelay is the maximum time between the completion of a task and its report to the leader. A fault that
	// begins within this time may lose the report, so that the task starts again.
	MaxReportDelay time.Duration

	mu            sync.Mutex
	startedAt     time.Time
	running       map[string]runningTask   // the tasks that are on machines, by task
	startCounts   map[string]int           // number of starts, by task
	done          map[string]bool          // the tasks that completed
	affected      map[string]bool          // the tasks that a fault affected
	acceptedTasks map[string]int           // number of accepted tasks, by class
	acceptedAt    map[string]time.Duration // time since startedAt, by job
	starts        []TaskRecord
	completions   []TaskRecord
	repeatedWork  time.Duration
	samples       []Sample
	sampledStarts int // the number of starts at the last sample
}

// runningTask is a task on a machine.
type runningTask struct {
	zone      string
	startedAt time.Time
}

// TaskRecord is the start or the completion of a task, as its machine observed it.
type TaskRecord struct {
	At                         time.Duration // time since the start of the history
	Class, Task, Machine, Zone string
	Duration                   time.Duration // time on the machine; set for a completion only
}

// Sample is the state of a cluster at a point in time.
type Sample struct {
	At           time.Duration  // time since the start of the history
	Waiting      map[string]int // by class: number of tasks that are accepted, not done, and not on a machine
	Starts       map[string]int // by class: number of starts since the previous sample
	Running      map[string]int // by zone: number of tasks on machines
	FreeCPUs     int            // in zones that are not affected by a fault
	PricePerHour float64        // total of all machines
}

// Machine describes a machine that is up.
type Machine struct {
	Zone         string
	CPUs         int
	PricePerHour float64
}

// NewHistory returns an empty history that starts at the current time.
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

// Elapsed returns the time since the start of the history.
func (h *History) Elapsed() time.Duration { return time.Since(h.startedAt) }

// ObserveTaskEvent records the start or exit of a task; it is a callback for Rules.OnTaskEvent.
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

// markIfAffected marks a task as affected if a fault affects its zone. The caller holds the lock.
func (h *History) markIfAffected(task, zone string) {
	if h.IsZoneAffected(zone) {
		h.affected[task] = true
	}
}

// ObserveFault marks the tasks that a fault affects. It must be called whenever a fault begins. The affected tasks are
// those that are on a machine in an affected zone, and those that completed there less than MaxReportDelay ago.
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

// ObserveAcceptedJob records that a job was accepted.
func (h *History) ObserveAcceptedJob(job, class string, tasks int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acceptedAt[job] = h.Elapsed()
	h.acceptedTasks[class] += tasks
}

// Jobs returns the IDs of the accepted jobs, sorted.
func (h *History) Jobs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.acceptedAt))
}

// RecordSample records a sample of the current state. machines are the machines that are up.
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
			s.FreeCPUs += max(0, n-s.Running[zone]) // each task uses one CPU
		}
	}
	for _, start := range h.starts[h.sampledStarts:] {
		s.Starts[start.Class]++
	}
	h.sampledStarts = len(h.starts)
	h.samples = append(h.samples, s)
}

package checker

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// newTestHistory returns a history in which the class of a task is the ID of its job without trailing digits. A fault
// affects zone b while *faultInB is true.
func newTestHistory() (h *History, faultInB *bool) {
	h, faultInB = NewHistory(), new(bool)
	h.ClassOf = func(task string) string { return strings.TrimRight(strings.Split(task, "/")[0], "0123456789") }
	h.IsZoneAffected = func(zone string) bool { return zone == "b" && *faultInB }
	h.MaxReportDelay = 3 * time.Second
	return h, faultInB
}

// observeEvent waits for one second and then passes an event of a task to a history.
func observeEvent(h *History, task, machine string, kind TaskEventKind) {
	time.Sleep(time.Second)
	zone, _, _ := strings.Cut(machine, "-")
	h.ObserveTaskEvent(TaskEvent{Task: task, Machine: machine, Zone: zone, Kind: kind})
}

// TestHistoryTasks checks the statistics on starts and exits of tasks. Two tasks start again because of a fault, and one
// although no fault affected it.
func TestHistoryTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, faultInB := newTestHistory()
		h.ObserveAcceptedJob("scan1", "scan", 3)
		observeEvent(h, "scan1/0", "a-1", TaskStarted)          // at 1 s
		observeEvent(h, "scan1/1", "b-1", TaskStarted)          // at 2 s
		observeEvent(h, "scan1/2", "b-2", TaskStarted)          // at 3 s
		observeEvent(h, "scan1/0", "a-1", TaskExitedIncomplete) // at 4 s: no fault
		observeEvent(h, "scan1/2", "b-2", TaskCompleted)        // at 5 s
		*faultInB = true
		h.ObserveFault()
		*faultInB = false
		observeEvent(h, "scan1/1", "b-1", TaskExitedIncomplete) // at 6 s
		observeEvent(h, "scan1/0", "a-1", TaskStarted)          // at 7 s
		observeEvent(h, "scan1/1", "a-1", TaskStarted)          // at 8 s
		observeEvent(h, "scan1/2", "a-2", TaskStarted)          // at 9 s: its completion was not reported
		observeEvent(h, "scan1/0", "a-1", TaskCompleted)        // at 10 s
		if got := h.RestartedTasks("scan"); !slices.Equal(got, []string{"scan1/0"}) {
			t.Errorf("tasks restarted without a fault: got %v, want scan1/0", got)
		}
		if got := h.RepeatedWork(); got != 7*time.Second {
			t.Errorf("repeated work %v, want 7 s (3 s and 4 s)", got)
		}
		if got := h.MachinesUsed(); got != 4 {
			t.Errorf("%d machines used, want 4", got)
		}
		if a, b := h.CompletionsIn("a", 0), h.CompletionsIn("b", 5*time.Second); a != 1 || b != 0 {
			t.Errorf("%d completions in zone a and %d in zone b after 5 s, want 1 and 0", a, b)
		}
		if got := h.FirstStarts("a", 2*time.Second); !slices.Equal(got, []time.Duration{7 * time.Second, 9 * time.Second}) {
			t.Errorf("first starts in zone a after 2 s: got %v, want 7 s and 9 s", got)
		}
		var runtimes, waits []time.Duration
		h.EachRuntime(func(_ string, d time.Duration) { runtimes = append(runtimes, d) })
		h.EachWait(0, func(_ string, d time.Duration) { waits = append(waits, d) })
		if want := []time.Duration{2 * time.Second, 3 * time.Second}; !slices.Equal(runtimes, want) {
			t.Errorf("runtimes %v, want %v", runtimes, want)
		}
		if want := []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}; !slices.Equal(waits, want) {
			t.Errorf("waits %v, want %v", waits, want)
		}
		if got := h.Jobs(); !slices.Equal(got, []string{"scan1"}) {
			t.Errorf("jobs %v, want scan1", got)
		}
	})
}

// TestHistorySamples checks samples and the statistics on them. A stall counts only while there are free CPUs in zones
// that are not affected by a fault.
func TestHistorySamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, faultInB := newTestHistory()
		machines := []Machine{{Zone: "a", CPUs: 1, PricePerHour: 0.5}, {Zone: "b", CPUs: 2, PricePerHour: 1}}
		sampleAt := func(at time.Duration) {
			time.Sleep(at - h.Elapsed())
			h.RecordSample(machines)
		}
		sampleAt(time.Second)
		h.ObserveAcceptedJob("scan1", "scan", 3)
		h.ObserveAcceptedJob("update1", "update", 1)
		observeEvent(h, "scan1/0", "a-1", TaskStarted)
		sampleAt(2 * time.Second)
		sampleAt(6 * time.Second) // there are free CPUs in zone b
		*faultInB = true
		sampleAt(10 * time.Second) // there are no free CPUs
		*faultInB = false
		sampleAt(12 * time.Second)
		observeEvent(h, "scan1/1", "b-1", TaskStarted)
		observeEvent(h, "update1/0", "b-1", TaskStarted)
		sampleAt(20 * time.Second)
		s := h.Samples()[1]
		if want := map[string]int{"scan": 2, "update": 1}; !maps.Equal(s.Waiting, want) {
			t.Errorf("waiting tasks by class at 2 s: got %v, want %v", s.Waiting, want)
		}
		if s.At != 2*time.Second || s.Starts["scan"] != 1 || s.Running["a"] != 1 || s.FreeCPUs != 2 || s.PricePerHour != 1.5 {
			t.Errorf("sample at 2 s is %+v, want 1 start of scan, 1 task in zone a, 2 free CPUs, price 1.5 per hour", s)
		}
		if during := h.Samples()[3]; during.FreeCPUs != 0 {
			t.Errorf("%d free CPUs during the fault, want 0: zone b is affected", during.FreeCPUs)
		}
		if got := h.LongestStall("update"); got != 5*time.Second {
			t.Errorf("longest stall of updates is %v, want 5 s, from the sample before they waited to the last one before the fault", got)
		}
		contended := Contention{Class: "scan", MinWaiting: 1, From: 10 * time.Second, To: 20 * time.Second}
		if scans, updates := h.StartsDuring(contended, "scan"), h.StartsDuring(contended, "update"); scans != 1 || updates != 1 {
			t.Errorf("%d scans and %d updates started while scans waited, want 1 each", scans, updates)
		}
		contended.MinWaiting = 2
		if scans := h.StartsDuring(contended, "scan"); scans != 0 {
			t.Errorf("%d scans started while at least 2 scans waited, want 0", scans)
		}
	})
}

// TestLongestStallFromStart checks that a stall which exists at the first sample counts from the start of the history.
// The time before that sample used to be lost, because a start time of 0 stood both for no stall and for a stall since
// the start.
func TestLongestStallFromStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newTestHistory()
		machines := []Machine{{Zone: "a", CPUs: 1}}
		h.ObserveAcceptedJob("scan1", "scan", 1)
		for range 3 {
			time.Sleep(2 * time.Second)
			h.RecordSample(machines)
		}
		if got := h.LongestStall("scan"); got != 6*time.Second {
			t.Errorf("longest stall is %v, want 6 s", got)
		}
	})
}

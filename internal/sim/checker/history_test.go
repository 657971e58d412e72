package checker

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// newTestHistory begins a history of tasks whose class is their job's name up to a digit. A fault
// affects zone b while the returned flag is set.
func newTestHistory() (h *History, faultInB *bool) {
	h, faultInB = NewHistory(), new(bool)
	h.ClassOf = func(task string) string { return strings.TrimRight(strings.Split(task, "/")[0], "0123456789") }
	h.IsZoneAffected = func(zone string) bool { return zone == "b" && *faultInB }
	h.MaxReportDelay = 3 * time.Second
	return h, faultInB
}

// observe has a task of a history do something, a second after what was before.
func observe(h *History, task, machine string, kind TaskEventKind) {
	time.Sleep(time.Second)
	zone, _, _ := strings.Cut(machine, "-")
	h.ObserveTaskEvent(TaskEvent{Task: task, Machine: machine, Zone: zone, Kind: kind})
}

// TestHistoryTasks checks what follows from the starts and ends of tasks, of which one restarts
// because of a fault, and one for no reason.
func TestHistoryTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, faultInB := newTestHistory()
		h.ObserveAcceptedJob("scan1", "scan", 3)
		observe(h, "scan1/0", "a-1", TaskStarted)          // at 1 s
		observe(h, "scan1/1", "b-1", TaskStarted)          // at 2 s
		observe(h, "scan1/2", "b-2", TaskStarted)          // at 3 s
		observe(h, "scan1/0", "a-1", TaskExitedIncomplete) // at 4 s: no fault
		observe(h, "scan1/2", "b-2", TaskCompleted)        // at 5 s
		*faultInB = true
		h.ObserveFault()
		*faultInB = false
		observe(h, "scan1/1", "b-1", TaskExitedIncomplete) // at 6 s
		observe(h, "scan1/0", "a-1", TaskStarted)          // at 7 s
		observe(h, "scan1/1", "a-1", TaskStarted)          // at 8 s
		observe(h, "scan1/2", "a-2", TaskStarted)          // at 9 s: its completion was not reported
		observe(h, "scan1/0", "a-1", TaskCompleted)        // at 10 s
		if got := h.RestartedTasks("scan"); !slices.Equal(got, []string{"scan1/0"}) {
			t.Errorf("restarted without a fault: %v", got)
		}
		if got := h.RepeatedWork(); got != 7*time.Second {
			t.Errorf("repeated work %v, want 3 s and 4 s", got)
		}
		if got := h.MachinesUsed(); got != 4 {
			t.Errorf("%d machines used, want 4", got)
		}
		if a, b := h.CompletionsIn("a", 0), h.CompletionsIn("b", 5*time.Second); a != 1 || b != 0 {
			t.Errorf("%d completions in a, %d in b after 5 s, want 1 and 0", a, b)
		}
		if got := h.FirstStarts("a", 2*time.Second); !slices.Equal(got, []time.Duration{7 * time.Second, 9 * time.Second}) {
			t.Errorf("first starts in a after 2 s: %v", got)
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
			t.Errorf("jobs %v", got)
		}
	})
}

// TestHistorySamples checks samples, and what follows from them: a stall counts only while there is
// room in zones that no fault affects.
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
		observe(h, "scan1/0", "a-1", TaskStarted)
		sampleAt(2 * time.Second)
		sampleAt(6 * time.Second) // there is room in b
		*faultInB = true
		sampleAt(10 * time.Second) // there is none
		*faultInB = false
		sampleAt(12 * time.Second)
		observe(h, "scan1/1", "b-1", TaskStarted)
		observe(h, "update1/0", "b-1", TaskStarted)
		sampleAt(20 * time.Second)
		s := h.Samples()[1]
		if want := map[string]int{"scan": 2, "update": 1}; !maps.Equal(s.Waiting, want) {
			t.Errorf("waiting %v, want %v", s.Waiting, want)
		}
		if s.At != 2*time.Second || s.Starts["scan"] != 1 || s.Running["a"] != 1 || s.FreeCPUs != 2 || s.PricePerHour != 1.5 {
			t.Errorf("sample at 2 s: %+v", s)
		}
		if during := h.Samples()[3]; during.FreeCPUs != 0 {
			t.Errorf("%d CPUs are free in affected zones", during.FreeCPUs)
		}
		if got := h.LongestStall("update"); got != 5*time.Second {
			t.Errorf("updates stalled for %v, want 5 s, from the sample before they waited until the last before the fault", got)
		}
		contended := Contention{Class: "scan", MinWaiting: 1, From: 10 * time.Second, To: 20 * time.Second}
		if scans, updates := h.StartsDuring(contended, "scan"), h.StartsDuring(contended, "update"); scans != 1 || updates != 1 {
			t.Errorf("%d scans and %d updates started while scans waited, want one of each", scans, updates)
		}
		contended.MinWaiting = 2
		if scans := h.StartsDuring(contended, "scan"); scans != 0 {
			t.Errorf("%d scans started while two waited all the time, want none", scans)
		}
	})
}

// TestLongestStallFromStart has a class stall from the first sample on: the time before that sample counts as well.
// It was lost, as no stall and one since the history began were both a time of 0.
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
			t.Errorf("stalled for %v, want 6 s", got)
		}
	})
}

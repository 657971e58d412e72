package standby

import (
	"maps"
	"slices"
)

// snapshotPage is the part of the view after a machine's name, as much as one message holds.
func (v *View) snapshotPage(afterMachine string) *SnapshotPage {
	names := slices.Sorted(maps.Keys(v.Machines))
	first, found := slices.BinarySearch(names, afterMachine)
	if found {
		first++
	}
	page := &SnapshotPage{Machines: []MachineRecord{}}
	tasks := 0
	for _, name := range names[first:] {
		if len(page.Machines) >= maxPageEntries || tasks >= maxPageTasks {
			page.HasMore = true
			return page
		}
		record := v.Machines[name].record(name)
		tasks += len(record.Tasks)
		page.Machines = append(page.Machines, record)
	}
	page.Handover = v.Handover
	for _, class := range slices.Sorted(maps.Keys(v.Estimates)) {
		page.Estimates = append(page.Estimates, EstimateUpdated{class, v.Estimates[class]})
	}
	return page
}

// record is the machine for a snapshot.
func (m *Machine) record(name string) MachineRecord {
	record := MachineRecord{Name: name, MachineState: m.MachineState, Terminating: m.Terminating}
	for _, task := range slices.Sorted(maps.Keys(m.Tasks)) {
		record.Tasks = append(record.Tasks, TaskRecord{task, m.Tasks[task]})
	}
	return record
}

// addSnapshotPage applies a page of a snapshot.
func (v *View) addSnapshotPage(page *SnapshotPage) {
	for _, record := range page.Machines {
		m := &Machine{MachineState: record.MachineState, Terminating: record.Terminating, Tasks: make(map[string]TaskState, len(record.Tasks))}
		for _, task := range record.Tasks {
			m.Tasks[task.Task] = task.TaskState
		}
		v.Machines[record.Name] = m
	}
	if page.Handover != nil {
		v.Handover = page.Handover
	}
	for _, estimate := range page.Estimates {
		v.Estimates[estimate.Class] = estimate.Moments
	}
}

// snapshotPhase is how far taking a snapshot is.
type snapshotPhase int

const (
	firstPageMissing snapshotPhase = iota
	laterPagesMissing
	// entriesMissing: all pages are there, and until completeAt, entries may be older than what the pages show.
	entriesMissing
)

// snapshotProgress is a snapshot that a follower is taking.
type snapshotProgress struct {
	phase        snapshotPhase
	afterMachine string // the last one of the pages so far
	completeAt   uint64 // in phase entriesMissing: the position from which on the view is as the leader's was
}

// needsPage reports whether the follower is to ask for a page of the snapshot; nil is no snapshot.
func (s *snapshotProgress) needsPage() bool { return s != nil && s.phase != entriesMissing }

// isComplete reports whether a view at a position has all of the snapshot, and the entries that bring its pages
// together.
func (s *snapshotProgress) isComplete(position uint64) bool {
	return s.phase == entriesMissing && position >= s.completeAt
}

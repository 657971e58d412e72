package standby

import (
	"maps"
	"slices"
)

// snapshotPage returns a page with the machines whose IDs sort after afterMachine, up to the bounds of one page. The
// last page also holds the estimates and the handover.
func (v *View) snapshotPage(afterMachine string) *SnapshotPage {
	ids := slices.Sorted(maps.Keys(v.Machines))
	first, found := slices.BinarySearch(ids, afterMachine)
	if found {
		first++
	}
	page := &SnapshotPage{Machines: []MachineRecord{}}
	tasks := 0
	for _, id := range ids[first:] {
		if len(page.Machines) >= maxPageEntries || tasks >= maxPageTasks {
			page.HasMore = true
			return page
		}
		record := v.Machines[id].record(id)
		tasks += len(record.Tasks)
		page.Machines = append(page.Machines, record)
	}
	page.Handover = v.Handover
	for _, class := range slices.Sorted(maps.Keys(v.Estimates)) {
		page.Estimates = append(page.Estimates, EstimateUpdated{class, v.Estimates[class]})
	}
	return page
}

// record returns the machine, which has the given ID, as a MachineRecord with its tasks sorted by ID.
func (m *Machine) record(id string) MachineRecord {
	record := MachineRecord{Name: id, MachineState: m.MachineState, Terminating: m.Terminating}
	for _, task := range slices.Sorted(maps.Keys(m.Tasks)) {
		record.Tasks = append(record.Tasks, TaskRecord{task, m.Tasks[task]})
	}
	return record
}

// addSnapshotPage adds the content of a page of a snapshot to the view.
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

// snapshotPhase is the progress in fetching a snapshot.
type snapshotPhase int

const (
	awaitingFirstPage snapshotPhase = iota
	awaitingLaterPages
	// awaitingEntries means that all pages are applied, but some entries up to position completeAt are not. The view may
	// therefore mix older and newer states, because the pages were made at different positions.
	awaitingEntries
)

// snapshotProgress is the state of a follower that is fetching a snapshot.
type snapshotProgress struct {
	phase        snapshotPhase
	afterMachine string // ID of the last machine in the page applied last
	completeAt   uint64 // in phase awaitingEntries: the position at which the view is consistent
}

// needsPage reports whether the follower must query another page of the snapshot. A nil receiver means that no
// snapshot is being fetched.
func (s *snapshotProgress) needsPage() bool { return s != nil && s.phase != awaitingEntries }

// isComplete reports whether a view at the given position contains all pages of the snapshot, and all entries that are
// needed to make the pages consistent.
func (s *snapshotProgress) isComplete(position uint64) bool {
	return s.phase == awaitingEntries && position >= s.completeAt
}

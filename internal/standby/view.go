package standby

import (
	"maps"
	"slices"
)

// View is what a term's leader is known to have decided and observed, up to a position.
type View struct {
	FencingToken uint64
	Position     uint64
	Machines     map[string]*Machine
	Estimates    map[string][]float64 // moments by class
	// Handover is the term's last entry, nil unless the leader has handed over.
	Handover *Handover
}

// Machine is a machine of a view.
type Machine struct {
	MachineState
	Terminating bool
	Tasks       map[string]TaskState
}

// NewView is a view of a term that knows nothing yet.
func NewView(token uint64) *View {
	return &View{FencingToken: token, Machines: map[string]*Machine{}, Estimates: map[string][]float64{}}
}

// machine is the machine with a name, which is made if it is not known.
func (v *View) machine(name string) *Machine {
	m := v.Machines[name]
	if m == nil {
		m = &Machine{Tasks: map[string]TaskState{}}
		v.Machines[name] = m
	}
	return m
}

// apply takes over the entry after the view's position, which must have been checked.
func (v *View) apply(e *Entry) {
	v.Position++
	switch {
	case e.TaskAssigned != nil:
		v.machine(e.TaskAssigned.Machine).Tasks[e.TaskAssigned.Task] = e.TaskAssigned.TaskState
	case e.TaskRemoved != nil:
		if m := v.Machines[e.TaskRemoved.Machine]; m != nil {
			delete(m.Tasks, e.TaskRemoved.Task)
		}
	case e.MachineObserved != nil:
		v.machine(e.MachineObserved.Machine).MachineState = e.MachineObserved.MachineState
	case e.MachineTerminating != nil:
		v.machine(e.MachineTerminating.Machine).Terminating = true
	case e.MachineTerminated != nil:
		delete(v.Machines, e.MachineTerminated.Machine)
	case e.EstimateUpdated != nil:
		v.Estimates[e.EstimateUpdated.Class] = e.EstimateUpdated.Moments
	case e.Handover != nil:
		v.Handover = e.Handover
	}
}

// page is the part of the view after a machine's name.
func (v *View) page(after string) *SnapshotPage {
	names := slices.Sorted(maps.Keys(v.Machines))
	first, found := slices.BinarySearch(names, after)
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
		m := v.Machines[name]
		record := MachineRecord{Name: name, MachineState: m.MachineState, Terminating: m.Terminating}
		for _, task := range slices.Sorted(maps.Keys(m.Tasks)) {
			record.Tasks = append(record.Tasks, TaskRecord{task, m.Tasks[task]})
		}
		tasks += len(record.Tasks)
		page.Machines = append(page.Machines, record)
	}
	page.Handover = v.Handover
	for _, class := range slices.Sorted(maps.Keys(v.Estimates)) {
		page.Estimates = append(page.Estimates, EstimateUpdated{class, v.Estimates[class]})
	}
	return page
}

// add takes over a page of a snapshot.
func (v *View) add(page *SnapshotPage) {
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
	for _, e := range page.Estimates {
		v.Estimates[e.Class] = e.Moments
	}
}

// CountTasks counts the tasks on all machines.
func (v *View) CountTasks() (n int) {
	for _, m := range v.Machines {
		n += len(m.Tasks)
	}
	return n
}

// ProvesAssignments tells whether the view says for sure, to the leader with a token, which tasks may be
// on machines: the leader of the term before handed over complete, and nobody led since.
func (v *View) ProvesAssignments(token uint64) bool {
	return v.Handover != nil && v.Handover.Complete && v.FencingToken+1 == token
}

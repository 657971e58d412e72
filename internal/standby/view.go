package standby

// View is the state that results from a term's entries up to Position. It is not safe for concurrent use.
type View struct {
	FencingToken uint64 // of the view's term
	Position     uint64
	Machines     map[string]*Machine  // by ID
	Estimates    map[string][]float64 // EstimateUpdated.Moments by class of jobs
	// Handover is the term's last entry, or nil if the leader has not handed over.
	Handover *Handover
}

// Machine is a machine in a view.
type Machine struct {
	MachineState
	Terminating bool
	Tasks       map[string]TaskState // by ID
}

// NewView returns an empty view of the term with the given fencing token.
func NewView(token uint64) *View {
	return &View{FencingToken: token, Machines: map[string]*Machine{}, Estimates: map[string][]float64{}}
}

// ProvesAssignments reports whether the view proves to the leader with the given fencing token which tasks may be on
// machines. The proof needs a view of the term immediately before, whose leader handed over while the tasks of all
// machines were known. Any other view is only a hint.
func (v *View) ProvesAssignments(token uint64) bool {
	return v.Handover != nil && v.Handover.Complete && v.FencingToken+1 == token
}

// CountTasks returns the number of tasks on all machines.
func (v *View) CountTasks() (count int) {
	for _, m := range v.Machines {
		count += len(m.Tasks)
	}
	return count
}

// getOrCreateMachine returns the machine with the given ID, and adds it to the view if it is not known.
func (v *View) getOrCreateMachine(id string) *Machine {
	m := v.Machines[id]
	if m == nil {
		m = &Machine{Tasks: map[string]TaskState{}}
		v.Machines[id] = m
	}
	return m
}

// apply applies the entry that follows the view's position. An entry from another node must have passed Entry.check.
func (v *View) apply(e *Entry) {
	v.Position++
	switch {
	case e.TaskAssigned != nil:
		v.getOrCreateMachine(e.TaskAssigned.Machine).Tasks[e.TaskAssigned.Task] = e.TaskAssigned.TaskState
	case e.TaskRemoved != nil:
		if m := v.Machines[e.TaskRemoved.Machine]; m != nil {
			delete(m.Tasks, e.TaskRemoved.Task)
		}
	case e.MachineObserved != nil:
		v.getOrCreateMachine(e.MachineObserved.Machine).MachineState = e.MachineObserved.MachineState
	case e.MachineTerminating != nil:
		v.getOrCreateMachine(e.MachineTerminating.Machine).Terminating = true
	case e.MachineTerminated != nil:
		delete(v.Machines, e.MachineTerminated.Machine)
	case e.EstimateUpdated != nil:
		v.Estimates[e.EstimateUpdated.Class] = e.EstimateUpdated.Moments
	case e.Handover != nil:
		v.Handover = e.Handover
	}
}

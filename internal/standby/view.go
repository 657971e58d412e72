package standby

// View is what a term's leader is known to have decided and observed, up to a position. It holds no lock.
type View struct {
	FencingToken uint64 // of the term
	Position     uint64
	Machines     map[string]*Machine  // by ID
	Estimates    map[string][]float64 // moments by class
	// Handover is the term's last entry, nil unless the leader has handed over.
	Handover *Handover
}

// Machine is a machine of a view.
type Machine struct {
	MachineState
	Terminating bool
	Tasks       map[string]TaskState // by ID
}

// NewView is a view of a term that knows nothing yet.
func NewView(token uint64) *View {
	return &View{FencingToken: token, Machines: map[string]*Machine{}, Estimates: map[string][]float64{}}
}

// ProvesAssignments reports whether the view proves, to the leader with a token, which tasks may be
// on machines: the leader of the term before handed over with all machines' tasks known, and nobody led since.
// Otherwise the view is a hint.
func (v *View) ProvesAssignments(token uint64) bool {
	return v.Handover != nil && v.Handover.Complete && v.FencingToken+1 == token
}

// CountTasks counts the tasks on all machines.
func (v *View) CountTasks() (count int) {
	for _, m := range v.Machines {
		count += len(m.Tasks)
	}
	return count
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

// apply applies the entry after the view's position, which must have been checked.
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

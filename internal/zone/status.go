package zone

// Status describes a zone to operators. The leader fills in Work, from what it knows of the zone's tasks.
type Status struct {
	Zone      string     `json:"zone"`
	State     string     `json:"state"`
	Reason    Reason     `json:"reason"`
	SinceS    float64    `json:"since_s"`        // seconds in the state or step
	Step      int        `json:"step,omitempty"` // step of Reopening, from 1
	Steps     int        `json:"steps,omitempty"`
	OpenShare float64    `json:"open"`
	HoldDownS float64    `json:"hold_s,omitempty"` // seconds until a hold-down may end
	Flaps     int        `json:"flaps"`
	Evidence  Evidence   `json:"evidence"`
	Work      WorkStatus `json:"work"`
}

// WorkStatus counts what happened to a zone's tasks in this term, by class of jobs, and the zone's machines that are not
// fully used now.
type WorkStatus struct {
	Displaced map[string]int `json:"displaced,omitempty"` // tasks lost with the zone
	Moved     map[string]int `json:"moved,omitempty"`     // displaced tasks that were started in another zone
	Restarted map[string]int `json:"restarted,omitempty"` // displaced tasks that were started again in the zone itself
	// LeasedMachines and LeasedTasks count the unusable machines whose leases have not expired, and their tasks, which
	// may not start elsewhere yet.
	LeasedMachines   int     `json:"machines,omitempty"`
	LeasedTasks      int     `json:"tasks,omitempty"`
	NextLeaseEndS    float64 `json:"next_end_s,omitempty"` // seconds until the first of their leases expires
	LastLeaseEndS    float64 `json:"last_end_s,omitempty"` // seconds until the last of their leases expires
	ClosedMachines   int     `json:"closed,omitempty"`     // machines that get no tasks which could run elsewhere
	ReplacedMachines int     `json:"replaced,omitempty"`   // machines that do not count as supply
}

// AddLease counts a machine with the given number of tasks, whose lease expires in endS seconds. Its tasks may not start
// elsewhere before then.
func (w *WorkStatus) AddLease(tasks int, endS float64) {
	if w.LeasedMachines == 0 || endS < w.NextLeaseEndS {
		w.NextLeaseEndS = endS
	}
	w.LastLeaseEndS = max(w.LastLeaseEndS, endS)
	w.LeasedMachines++
	w.LeasedTasks += tasks
}

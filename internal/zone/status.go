package zone

// Status describes a zone for operators. The leader adds what it knows of its tasks.
type Status struct {
	Zone      string     `json:"zone"`
	State     string     `json:"state"`
	Reason    Reason     `json:"reason"`
	SinceS    float64    `json:"since_s"`        // seconds in the state or step
	Step      int        `json:"step,omitempty"` // of Reopening, from 1
	Steps     int        `json:"steps,omitempty"`
	OpenShare float64    `json:"open"`
	HoldDownS float64    `json:"hold_s,omitempty"` // seconds until a hold-down may end
	Flaps     int        `json:"flaps"`
	Evidence  Evidence   `json:"evidence"`
	Work      WorkStatus `json:"work"`
}

// WorkStatus is what became of a zone's work in this term, in tasks by class.
type WorkStatus struct {
	Displaced map[string]int `json:"displaced,omitempty"` // lost with the zone
	Moved     map[string]int `json:"moved,omitempty"`     // of these, started in another zone
	Restarted map[string]int `json:"restarted,omitempty"` // of these, started in the zone itself
	// Unusable machines whose leases have not expired hold tasks that may not start elsewhere yet.
	LeasedMachines   int     `json:"machines,omitempty"`
	LeasedTasks      int     `json:"tasks,omitempty"`
	NextLeaseEndS    float64 `json:"next_end_s,omitempty"` // seconds until the first of their leases expires
	LastLeaseEndS    float64 `json:"last_end_s,omitempty"` // and the last
	ClosedMachines   int     `json:"closed,omitempty"`     // get no tasks which could run elsewhere
	ReplacedMachines int     `json:"replaced,omitempty"`   // do not count as supply
}

// AddLease counts a machine whose tasks have to wait until its lease expires, in endS seconds.
func (w *WorkStatus) AddLease(tasks int, endS float64) {
	if w.LeasedMachines == 0 || endS < w.NextLeaseEndS {
		w.NextLeaseEndS = endS
	}
	w.LastLeaseEndS = max(w.LastLeaseEndS, endS)
	w.LeasedMachines++
	w.LeasedTasks += tasks
}

package settings

// State holds the state service's limits, which all nodes share: the present ones and, in
// Upcoming, those that come into force some time later without notice.
type State struct {
	RPS      float64        `toml:"rps"`       // requests a second
	WriteRPS float64        `toml:"write_rps"` // operations of transactions a second
	ValueKB  float64        `toml:"value_kb"`  // KiB of a value
	TxnOps   int            `toml:"txn_ops"`   // operations in a transaction
	Upcoming UpcomingLimits `toml:"next"`
}

// UpcomingLimits holds the limits after a change; what is nil does not change.
type UpcomingLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// AfterChange returns the limits after the change; without one they are the present ones.
func (s State) AfterChange() State {
	return State{
		RPS:      upcomingOr(s.Upcoming.RPS, s.RPS),
		WriteRPS: upcomingOr(s.Upcoming.WriteRPS, s.WriteRPS),
		ValueKB:  upcomingOr(s.Upcoming.ValueKB, s.ValueKB),
		TxnOps:   upcomingOr(s.Upcoming.TxnOps, s.TxnOps),
	}
}

// upcomingOr returns a limit's upcoming value, or the present one if it does not change.
func upcomingOr[T any](upcoming *T, present T) T {
	if upcoming == nil {
		return present
	}
	return *upcoming
}

// Strictest returns the limits that hold at any time, before the change and after it: the
// smaller of each two. The change comes without notice, so a node that kept to the present ones
// would learn of it by refusals, in the middle of whatever it does.
func (s State) Strictest() State {
	after := s.AfterChange()
	return State{
		RPS:      min(s.RPS, after.RPS),
		WriteRPS: min(s.WriteRPS, after.WriteRPS),
		ValueKB:  min(s.ValueKB, after.ValueKB),
		TxnOps:   min(s.TxnOps, after.TxnOps),
	}
}

// Cloud holds the cloud's limits.
type Cloud struct {
	RPS      float64 `toml:"rps"`        // requests a second
	ListLagS float64 `toml:"list_lag_s"` // seconds by which its list of instances is usually late
}

// Limits is what the process may take of its machine.
type Limits struct {
	CPU        float64 `toml:"cpu"` // CPUs
	MemoryMB   float64 `toml:"mem_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

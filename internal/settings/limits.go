package settings

// State holds the state service's limits: the present ones and, in Next, those that
// come into force some time later without notice.
type State struct {
	RPS      float64        `toml:"rps"`
	WriteRPS float64        `toml:"write_rps"`
	ValueKB  float64        `toml:"value_kb"`
	TxnOps   int            `toml:"txn_ops"`
	Upcoming UpcomingLimits `toml:"next"`
}

// UpcomingLimits holds limits of a later time; what is nil does not change.
type UpcomingLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// AfterChange is the limits after the change; without one they are the present ones.
func (s State) AfterChange() State {
	return State{
		RPS:      orPresent(s.Upcoming.RPS, s.RPS),
		WriteRPS: orPresent(s.Upcoming.WriteRPS, s.WriteRPS),
		ValueKB:  orPresent(s.Upcoming.ValueKB, s.ValueKB),
		TxnOps:   orPresent(s.Upcoming.TxnOps, s.TxnOps),
	}
}

// orPresent is a limit's later value, or the present one if it does not change.
func orPresent[T any](later *T, present T) T {
	if later == nil {
		return present
	}
	return *later
}

// Strictest is the limits that hold at any time, before the change and after it: the
// smaller of each two. The change comes without notice, so a node that kept to the
// present ones would learn of it by refusals, in the middle of whatever it does.
func (s State) Strictest() State {
	later := s.AfterChange()
	return State{
		RPS:      min(s.RPS, later.RPS),
		WriteRPS: min(s.WriteRPS, later.WriteRPS),
		ValueKB:  min(s.ValueKB, later.ValueKB),
		TxnOps:   min(s.TxnOps, later.TxnOps),
	}
}

// Cloud holds the cloud's limits.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits is what the process may take of its machine.
type Limits struct {
	CPU        float64 `toml:"cpu"`
	MemoryMB   float64 `toml:"mem_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

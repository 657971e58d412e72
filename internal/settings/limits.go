package settings

// State holds the limits of the state service, which all nodes share: the current limits and, in Upcoming, the limits
// that take effect at a later time, without notice.
type State struct {
	RPS      float64        `toml:"rps"`       // requests per second
	WriteRPS float64        `toml:"write_rps"` // operations per second, summed over all transactions
	ValueKB  float64        `toml:"value_kb"`  // size of a value in KiB
	TxnOps   int            `toml:"txn_ops"`   // operations per transaction
	Upcoming UpcomingLimits `toml:"next"`
}

// UpcomingLimits holds the limits after the change. A limit that is nil does not change.
type UpcomingLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// AfterChange returns the limits that apply after the change, which are the current limits if there is no change.
func (s State) AfterChange() State {
	return State{
		RPS:      upcomingOr(s.Upcoming.RPS, s.RPS),
		WriteRPS: upcomingOr(s.Upcoming.WriteRPS, s.WriteRPS),
		ValueKB:  upcomingOr(s.Upcoming.ValueKB, s.ValueKB),
		TxnOps:   upcomingOr(s.Upcoming.TxnOps, s.TxnOps),
	}
}

// upcomingOr returns the upcoming value of a limit, or the current value if the limit does not change.
func upcomingOr[T any](upcoming *T, current T) T {
	if upcoming == nil {
		return current
	}
	return *upcoming
}

// Strictest returns limits that are safe both before and after the change: the smaller value of each limit. The change
// happens without notice, so a node that relied on the current limits would learn of it from rejected requests, in the
// middle of an operation.
func (s State) Strictest() State {
	after := s.AfterChange()
	return State{
		RPS:      min(s.RPS, after.RPS),
		WriteRPS: min(s.WriteRPS, after.WriteRPS),
		ValueKB:  min(s.ValueKB, after.ValueKB),
		TxnOps:   min(s.TxnOps, after.TxnOps),
	}
}

// Cloud holds the limits of the cloud API.
type Cloud struct {
	RPS      float64 `toml:"rps"`        // requests per second
	ListLagS float64 `toml:"list_lag_s"` // usual delay of the list of instances, in seconds
}

// Limits holds the resources of its machine that the node process may use.
type Limits struct {
	CPU        float64 `toml:"cpu"` // CPUs
	MemoryMB   float64 `toml:"mem_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

package settings

import "caperlatch/internal/membership"

// membershipElement enables membership and contains its settings.
const membershipElement = "membership"

// membershipSection returns the section whose fields are stored in c.
func membershipSection(c *membership.Config) section {
	return section{check: c.Check, fields: map[string]field{
		"heartbeat_ms":     millisecondsField(&c.HeartbeatInterval, 50, 5_000),
		"suspect_ms":       millisecondsField(&c.SuspectAfter, 200, 60_000),
		"confirm_least_ms": millisecondsField(&c.MinSuspicionTimeout, 100, 60_000),
		"confirm_most_ms":  millisecondsField(&c.MaxSuspicionTimeout, 100, 60_000),
	}}
}

package settings

import "caperlatch/internal/membership"

// membershipElement turns membership on and holds its settings.
const membershipElement = "membership"

// membershipSection returns the section that sets c.
func membershipSection(c *membership.Config) section {
	return section{check: c.Check, fields: map[string]field{
		"heartbeat_ms":     milliseconds(&c.HeartbeatInterval, 50, 5_000),
		"suspect_ms":       milliseconds(&c.SuspectAfter, 200, 60_000),
		"confirm_least_ms": milliseconds(&c.MinSuspicionTimeout, 100, 60_000),
		"confirm_most_ms":  milliseconds(&c.MaxSuspicionTimeout, 100, 60_000),
	}}
}

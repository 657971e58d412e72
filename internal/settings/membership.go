package settings

import "caperlatch/internal/membership"

// membershipSection is the element that turns membership on and holds its settings.
const membershipSection = "membership"

// membershipElements are the elements of the section.
func membershipElements(p *elementParser, c *membership.Config) section {
	return section{check: c.Check, fields: map[string]field{
		"heartbeat_ms":     p.milliseconds(&c.HeartbeatInterval, 50, 5_000),
		"suspect_ms":       p.milliseconds(&c.SuspectAfter, 200, 60_000),
		"confirm_least_ms": p.milliseconds(&c.MinSuspicionTimeout, 100, 60_000),
		"confirm_most_ms":  p.milliseconds(&c.MaxSuspicionTimeout, 100, 60_000),
	}}
}

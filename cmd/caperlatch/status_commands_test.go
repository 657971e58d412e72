package main

import (
	"testing"

	"caperlatch/internal/api"
	"caperlatch/internal/membership"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// TestStatusCommands checks the output of the members and zones commands, and their errors, for several responses of a
// node.
func TestStatusCommands(t *testing.T) {
	reopening := zone.Status{
		Zone: "b", State: "returning", Reason: zone.ReasonStepSucceeded, SinceS: 4, Step: 2, Steps: 4, OpenShare: 0.25, Flaps: 1, Evidence: zone.Evidence{Running: 40, Silent: 2, Recovered: 38},
		Work: zone.WorkStatus{Displaced: map[string]int{"scan": 30, "news": 4}, Moved: map[string]int{"scan": 20}, LeasedMachines: 2, LeasedTasks: 8, NextLeaseEndS: 1, LastLeaseEndS: 9, ClosedMachines: 30, ReplacedMachines: 15},
	}
	suspicions := membership.Status{Member: "host-0", Slow: true, Isolated: true, Counts: membership.EventCounts{Suspicions: 3, Failures: 1}, Members: []membership.MemberStatus{
		{Member: "host-1", State: membership.Suspected, SinceS: 1.2, SilenceS: 4.2, SuspicionLeftS: 2.1, ConfirmedBy: []string{"host-2", "host-3"}},
		{Member: "host-2", State: membership.Alive, SinceS: 60, SilenceS: 9, RoundTripS: 0.0005, HeardThrough: "host-3"},
		{Member: "host-3", State: membership.Suspected, FailureWithheld: true},
	}}
	cases := []struct {
		name       string
		command    string
		status     int
		body       any
		wantOutput []string
		wantError  string
	}{
		{"members", "members", 200, suspicions, []string{"as host-0 sees them", "host-1: suspected for 1.2 s, heard 4.2 s ago\n  verdict in 2.1 s\n  doubted as well by host-2, host-3",
			"host-2: alive for 60.0 s, heard 9.0 s ago, last answered in 0.5 ms\n  heard by host-3 alone", "no verdict: its session lives", "host-0 is slow itself",
			"hears neither the state service nor any node", "3 suspicions, 1 verdicts, 0 doubts of itself refuted"}, ""},
		{"members, disabled", "members", 404, wire.ErrorResponse{Message: api.ErrMembershipDisabled.Error()}, nil, "membership is off"},
		{"members, not supported by the version of the node", "members", 404, nil, nil, "404 Not Found"},
		{"zones, all healthy", "zones", 200, api.ZonesStatus{Leader: "host-1", Zones: []zone.Status{{Zone: "a", State: "healthy", Reason: zone.ReasonHeartbeatsArrive, OpenShare: 1}}},
			[]string{"as host-1 sees them", "a: healthy: its machines are heard"}, ""},
		{"zones, one reopening", "zones", 200, api.ZonesStatus{Leader: "host-1", Zones: []zone.Status{reopening}},
			[]string{"b: returning, step 2 of 4 for 4 s: starts succeed there", "40 up, 0 late, 2 silent", "losses not forgotten: 1", "25% open, 30 machines closed, 15 being replaced elsewhere",
				"lost with the zone: news 4, scan 30", "begun again elsewhere: scan 20", "8 tasks on 2 machines wait for the ends of their leases, in 1 to 9 s"}, ""},
		{"zones, one held down", "zones", 200, api.ZonesStatus{Zones: []zone.Status{{Zone: "b", State: "held down", HoldDownS: 3}}}, []string{"held down for 3 s more"}, ""},
		{"zones, disabled", "zones", 404, wire.ErrorResponse{Message: api.ErrZonePolicyDisabled.Error()}, nil, "the policy on zones is off"},
		{"zones, without a leader", "zones", 503, wire.ErrorResponse{Message: "no leader known"}, nil, "no leader known"},
		{"zones, not supported by the version of the node", "zones", 404, nil, nil, "404 Not Found"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			node := startFakeNode(t, "GET /"+c.command, func() (int, any) { return c.status, c.body })
			checkCommandOutput(t, c.wantOutput, c.wantError, c.command, "--node", node)
		})
	}
}

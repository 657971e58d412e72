package main

import (
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"caperlatch/internal/api"
	"caperlatch/internal/standby"
)

// standbyCommand returns the command that prints a node's status of the warm standby.
func standbyCommand() *cobra.Command {
	return statusCommand("standby", "Print which node leads, how far its followers lag behind, and how the last failover went", http.MethodGet, "/standby", printStandby)
}

// printStandby prints the status of the warm standby in readable form.
func printStandby(w io.Writer, s *api.StandbyStatus) {
	fmt.Fprintf(w, "%s: %s, term %d led by %s\n", s.Member, s.Phase, s.FencingToken, s.Leader)
	if s.Leading {
		fmt.Fprintf(w, "  position %d\n", s.Position)
		for _, f := range s.Followers {
			printFollower(w, s.Position, f)
		}
	}
	if p := s.Progress; p != nil {
		printProgress(w, p)
	}
	if s.LastFailover != nil {
		printFailover(w, s.LastFailover)
	}
}

// printFollower prints how far a follower lags behind the leader's position.
func printFollower(w io.Writer, position uint64, f standby.FollowerState) {
	if !f.Complete {
		fmt.Fprintf(w, "  %s: takes a snapshot, asked %.1f s ago\n", f.Member, f.AgeS)
		return
	}
	fmt.Fprintf(w, "  %s: position %d, %d entries behind, asked %.1f s ago\n", f.Member, f.Position, position-min(position, f.Position), f.AgeS)
}

// printProgress prints the progress of the queried node as a follower.
func printProgress(w io.Writer, p *standby.Progress) {
	state := "whole"
	if !p.Complete {
		state = "taking a snapshot"
	}
	fmt.Fprintf(w, "  follows term %d: position %d, %s, %d machines, %d tasks\n", p.FencingToken, p.Position, state, p.Machines, p.Tasks)
	if p.LagS >= 0 {
		fmt.Fprintf(w, "  behind: %d entries, %.1f s\n", p.LagEntries, p.LagS)
	}
	for kind, n := range p.Rejected {
		fmt.Fprintf(w, "  refused pages: %d, %s\n", n, kind)
	}
}

// printFailover prints the kind, evidence and phases of a failover.
func printFailover(w io.Writer, r *standby.FailoverRecord) {
	kind := "cold"
	switch {
	case r.Evidence.HandedOver:
		kind = "handed over"
	case r.Warm:
		kind = "warm"
	}
	fmt.Fprintf(w, "  last take-over here: token %d, %s; key taken at revision %d, read through %d\n",
		r.Evidence.FencingToken, kind, r.Evidence.Revision, r.Evidence.ReadThrough)
	for _, p := range r.Phases {
		fmt.Fprintf(w, "    %s after %.3f s\n", p.Phase, p.PreviousPhaseS)
	}
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"caperlatch/internal/membership"
)

// membersCommand returns the command that prints a node's view of the other nodes.
func membersCommand() *cobra.Command {
	return statusCommand("members", "Print which nodes are alive, suspected or failed in the view of a node, and which nodes share a suspicion",
		http.MethodGet, "/members", printMembers)
}

// printMembers prints a node's view of the other nodes in readable form.
func printMembers(w io.Writer, s *membership.Status) {
	fmt.Fprintf(w, "as %s sees them:\n", s.Member)
	for i := range s.Members {
		printMember(w, &s.Members[i])
	}
	if s.Slow {
		fmt.Fprintf(w, "%s is slow itself: it waits longer for its verdicts\n", s.Member)
	}
	if s.Isolated {
		fmt.Fprintf(w, "%s hears neither the state service nor any node: it gives no verdict\n", s.Member)
	}
	fmt.Fprintf(w, "since %s started: %d suspicions, %d verdicts, %d doubts of itself refuted\n",
		s.Member, s.Counts.Suspicions, s.Counts.Failures, s.Counts.Refutations)
}

// printMember prints the state of one member.
func printMember(w io.Writer, m *membership.MemberStatus) {
	fmt.Fprintf(w, "%s: %s for %.1f s, heard %.1f s ago", m.Member, m.State, m.SinceS, m.SilenceS)
	if m.RoundTripS > 0 {
		fmt.Fprintf(w, ", last answered in %.1f ms", 1000*m.RoundTripS)
	}
	fmt.Fprintln(w)
	if m.HeardThrough != "" {
		fmt.Fprintf(w, "  heard by %s alone\n", m.HeardThrough)
	}
	if m.FailureWithheld {
		fmt.Fprintln(w, "  no verdict: its session lives, or this node hears nobody")
	} else if m.State == membership.Suspected {
		fmt.Fprintf(w, "  verdict in %.1f s\n", m.SuspicionLeftS)
	}
	if len(m.ConfirmedBy) > 0 {
		fmt.Fprintf(w, "  doubted as well by %s\n", strings.Join(m.ConfirmedBy, ", "))
	}
}

package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"caperlatch"
	"caperlatch/internal/api"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
)

// runUntilTerminated runs a node that hands over and leaves when it is told to end by SIGTERM.
func runUntilTerminated(ctx context.Context, n *caperlatch.Node) error {
	terminated, stop := signal.NotifyContext(ctx, syscall.SIGTERM)
	defer stop()
	running, end := context.WithCancel(ctx)
	defer end()
	go func() {
		<-terminated.Done()
		n.HandOverOnShutdown()
		n.Leave()
		end()
	}()
	return n.Run(running)
}

// standbyCommand asks a node how far the warm standby is.
func standbyCommand() *cobra.Command {
	return statusCommand("standby", "Say who leads, how far the others follow, and how the last take-over went", http.MethodGet, "/standby", printStandby)
}

// handoverCommand has a leader hand over.
func handoverCommand() *cobra.Command {
	return statusCommand("handover", "Have the leader on this machine hand over to the standby that is furthest", http.MethodPost, "/standby/handover", printHandover)
}

// printHandover writes whom a leader handed over to.
func printHandover(w io.Writer, done *api.HandoverResponse) {
	fmt.Fprintln(w, "handed over to", cmp.Or(done.To, "any node, as none follows closely"))
}

// ask sends a request to a node and decodes its answer; any other status is an error.
func ask(ctx context.Context, method, node, path string, out any) error {
	status, body, err := request(ctx, method, node, path, nil)
	if err != nil {
		return err
	}
	if status == http.StatusOK {
		return wire.Unmarshal(body, out)
	}
	var why wire.ErrorResponse
	if err := wire.Unmarshal(body, &why); err != nil || why.Error == "" {
		why.Error = fmt.Sprintf("%d %s (a version without it?)", status, http.StatusText(status))
	}
	return fmt.Errorf("%s answers: %s", node, why.Error)
}

// printStandby writes a status for people.
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
		printRecord(w, s.LastFailover)
	}
}

// printFollower writes how far a follower is behind a position.
func printFollower(w io.Writer, position uint64, f standby.FollowerState) {
	if !f.Complete {
		fmt.Fprintf(w, "  %s: takes a snapshot, asked %.1f s ago\n", f.Member, f.AgeS)
		return
	}
	fmt.Fprintf(w, "  %s: position %d, %d entries behind, asked %.1f s ago\n", f.Member, f.Position, position-min(position, f.Position), f.AgeS)
}

// printProgress writes how far the asked follower is.
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

// printRecord writes how a take-over went.
func printRecord(w io.Writer, r *standby.FailoverRecord) {
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
		fmt.Fprintf(w, "    %s after %.3f s\n", p.Phase, p.TookS)
	}
}

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"caperlatch/internal/peer"
	"caperlatch/internal/wire"
)

// versionsCommand asks a node which versions serve.
func versionsCommand() *cobra.Command {
	run := func(cmd *cobra.Command, node string, _ []string) error {
		ready, v, err := askVersions(cmd.Context(), node)
		if err != nil {
			return err
		}
		printVersions(cmd.OutOrStdout(), node, ready, v)
		return nil
	}
	return nodeCommand("versions", "Say which nodes serve with which version", cobra.NoArgs, run)
}

// askVersions asks a node; one of version 0 does not tell any.
func askVersions(ctx context.Context, node string) (ready bool, v peer.Versions, err error) {
	status, body, err := get(ctx, node, "/ready")
	if err != nil {
		return false, v, err
	}
	if status != http.StatusOK && status != http.StatusServiceUnavailable {
		return false, v, fmt.Errorf("%s answers %d", node, status)
	}
	if len(body) > 0 {
		err = wire.Unmarshal(body, &v)
	}
	return status == http.StatusOK, v, err
}

// printVersions writes a line for each node.
func printVersions(w io.Writer, node string, ready bool, v peer.Versions) {
	state := "ready"
	if !ready {
		state = "not ready"
	}
	if v.Member == "" {
		fmt.Fprintf(w, "%s: version 0 (it does not say), %s; ask a node of a later version for the others\n", node, state)
		return
	}
	fmt.Fprintf(w, "%s: version %d, %s\n", v.Member, v.Version, state)
	for _, p := range v.Peers {
		if p.Responding {
			fmt.Fprintf(w, "%s: version %d\n", p.Member, p.Version)
		} else {
			fmt.Fprintf(w, "%s: not heard by %s, counts as version 0\n", p.Member, v.Member)
		}
	}
	fmt.Fprintf(w, "known to be spoken by all: version %d\n", v.Common)
}

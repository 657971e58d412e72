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

// nodeVersions holds the readiness of a node and the protocol versions of all nodes, as that node knows them.
type nodeVersions struct {
	isReady  bool
	versions peer.Versions // Member is empty for a node of version 0, which does not report versions
}

// versionsCommand returns the command that prints the protocol version of each node, as a node knows them.
func versionsCommand() *cobra.Command {
	run := func(cmd *cobra.Command, node string, _ []string) error {
		v, err := fetchVersions(cmd.Context(), node)
		if err != nil {
			return err
		}
		printVersions(cmd.OutOrStdout(), node, v)
		return nil
	}
	return nodeCommand("versions", "Print the protocol version of each node", cobra.NoArgs, run)
}

// fetchVersions requests the readiness and the versions from a node.
func fetchVersions(ctx context.Context, node string) (v nodeVersions, err error) {
	resp, err := request(ctx, http.MethodGet, node, "/ready", nil)
	if err != nil {
		return v, err
	}
	if resp.status != http.StatusOK && resp.status != http.StatusServiceUnavailable {
		return v, fmt.Errorf("%s responded with HTTP status %d", node, resp.status)
	}
	v.isReady = resp.status == http.StatusOK
	if len(resp.body) > 0 {
		err = wire.Unmarshal(resp.body, &v.versions)
	}
	return v, err
}

// printVersions prints the version of each node, and the version that all nodes are known to support.
func printVersions(w io.Writer, node string, v nodeVersions) {
	state := "ready"
	if !v.isReady {
		state = "not ready"
	}
	all := v.versions
	if all.Member == "" {
		fmt.Fprintf(w, "%s: version 0 (it does not say), %s; ask a node of a later version for the others\n", node, state)
		return
	}
	fmt.Fprintf(w, "%s: version %d, %s\n", all.Member, all.Version, state)
	for _, p := range all.Peers {
		if p.Responding {
			fmt.Fprintf(w, "%s: version %d\n", p.Member, p.Version)
		} else {
			fmt.Fprintf(w, "%s: not heard by %s, counts as version 0\n", p.Member, all.Member)
		}
	}
	fmt.Fprintf(w, "known to be spoken by all: version %d\n", all.Common)
}

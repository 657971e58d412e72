package main

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"caperlatch/internal/api"
)

// handoverTimeout is longer than handover_ms may be, and than a node then waits for the next leader.
const handoverTimeout = 20 * time.Second

// handoverCommand returns the command that has a leader hand over. It fails unless the named standby leads then.
func handoverCommand() *cobra.Command {
	return nodeCommand("handover", "Have the leader on this machine hand over to the standby that is furthest", cobra.NoArgs, func(cmd *cobra.Command, node string, _ []string) error {
		var response api.HandoverResponse
		if err := askWithin(cmd.Context(), handoverTimeout, http.MethodPost, node, "/standby/handover", &response); err != nil {
			return err
		}
		printHandover(cmd.OutOrStdout(), &response)
		return nil
	})
}

// printHandover prints to whom a leader handed over. Only nodes of versions up to 01da0cf answer without a name.
func printHandover(w io.Writer, r *api.HandoverResponse) {
	fmt.Fprintln(w, "handed over to", cmp.Or(r.To, "any node, as none follows closely"))
}

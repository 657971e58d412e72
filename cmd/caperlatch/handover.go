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

// handoverTimeout is longer than the maximum of handover_ms plus the time for which a node then waits for the next
// leader.
const handoverTimeout = 20 * time.Second

// handoverCommand returns the command that makes a leader hand over its leadership. The command fails unless the standby
// that the leader chose becomes the leader.
func handoverCommand() *cobra.Command {
	return nodeCommand("handover", "Transfer leadership from the leader on this machine to the most up-to-date standby", cobra.NoArgs, func(cmd *cobra.Command, node string, _ []string) error {
		var response api.HandoverResponse
		if err := callWithTimeout(cmd.Context(), handoverTimeout, http.MethodPost, node, "/standby/handover", &response); err != nil {
			return err
		}
		printHandover(cmd.OutOrStdout(), &response)
		return nil
	})
}

// printHandover prints the node to which a leader handed over. Only nodes of versions up to 01da0cf respond without the
// name of a node.
func printHandover(w io.Writer, r *api.HandoverResponse) {
	fmt.Fprintln(w, "handed over to", cmp.Or(r.To, "any node, as none follows closely"))
}

package main

import (
	"cmp"
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"caperlatch/internal/api"
)

// handoverCommand returns the command that has a leader hand over.
func handoverCommand() *cobra.Command {
	return statusCommand("handover", "Have the leader on this machine hand over to the standby that is furthest", http.MethodPost, "/standby/handover", printHandover)
}

// printHandover prints to whom a leader handed over.
func printHandover(w io.Writer, r *api.HandoverResponse) {
	fmt.Fprintln(w, "handed over to", cmp.Or(r.To, "any node, as none follows closely"))
}

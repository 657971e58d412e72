package main

import (
	"cmp"
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"caperlatch/internal/api"
)

// handoverCommand has a leader hand over.
func handoverCommand() *cobra.Command {
	return statusCommand("handover", "Have the leader on this machine hand over to the standby that is furthest", http.MethodPost, "/standby/handover", printHandover)
}

// printHandover writes whom a leader handed over to.
func printHandover(w io.Writer, done *api.HandoverResponse) {
	fmt.Fprintln(w, "handed over to", cmp.Or(done.To, "any node, as none follows closely"))
}

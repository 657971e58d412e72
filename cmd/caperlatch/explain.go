package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"caperlatch/internal/explain"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// explainCommand returns the command that prints why a job is in its state, as a node knows it.
func explainCommand() *cobra.Command {
	run := func(cmd *cobra.Command, node string, args []string) error {
		e, err := fetchExplanation(cmd.Context(), node, args[0])
		if err != nil {
			return err
		}
		printExplanation(cmd.OutOrStdout(), e)
		return nil
	}
	return nodeCommand("explain JOB", "Explain why a job is waiting, was stopped or has ended", cobra.ExactArgs(1), run)
}

// fetchExplanation requests the explanation of a job from a node. Any status other than 200 is an error.
func fetchExplanation(ctx context.Context, node, job string) (e explain.Explanation, err error) {
	resp, err := request(ctx, http.MethodGet, node, "/v1/jobs/"+job+"/why", nil)
	if err != nil {
		return e, err
	}
	if resp.status == http.StatusOK {
		return e, wire.Unmarshal(resp.body, &e)
	}
	return e, fmt.Errorf("%s: %s responded: %s", job, node, cmp.Or(resp.errorText(), resp.statusText()))
}

// printExplanation prints an explanation in readable form.
func printExplanation(w io.Writer, e explain.Explanation) {
	fmt.Fprintf(w, "%s: %s, submitted %s", e.Job, e.State, formatTime(e.SubmittedAt))
	if e.EndedAt != 0 {
		fmt.Fprintf(w, ", ended %s", formatTime(e.EndedAt))
	}
	fmt.Fprintln(w)
	if e.Tasks > 0 {
		fmt.Fprintf(w, "  class %s, team %s, priority %s: %d tasks, %d done, %d running, %d waiting\n",
			e.Class, e.Team, e.Priority, e.Tasks, e.Done, e.Running, e.Waiting)
	}
	for _, reason := range e.Reasons {
		fmt.Fprintln(w, "  "+reason)
	}
	for _, t := range e.Placements {
		fmt.Fprintf(w, "  %s attempt %d on %s since %s: %s\n", t.Task, t.Attempt, t.Machine, formatTime(t.Since), t.State)
	}
	for _, s := range e.Stops {
		fmt.Fprintf(w, "  %s attempt %d stopped on %s at %s: %s\n", s.Task, s.Attempt, s.Machine, formatTime(s.At), s.Reason)
	}
	for _, note := range e.Notes {
		fmt.Fprintln(w, "  note: "+note)
	}
	fmt.Fprintf(w, "  as %s knew it", e.Member)
	if e.AgeS >= 1 {
		fmt.Fprintf(w, " %.0f s ago", e.AgeS)
	}
	fmt.Fprintln(w)
}

// formatTime formats a wall-clock time in UTC, as RFC 3339.
func formatTime(t micros.Micros) string {
	return time.UnixMicro(int64(t)).UTC().Format(time.RFC3339)
}

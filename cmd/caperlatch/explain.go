package main

import (
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

// explainCommand asks a node about a job.
func explainCommand() *cobra.Command {
	run := func(cmd *cobra.Command, node string, args []string) error {
		e, err := askExplanation(cmd.Context(), node, args[0])
		if err != nil {
			return err
		}
		printExplanation(cmd.OutOrStdout(), e)
		return nil
	}
	return nodeCommand("explain JOB", "Say why a job waits, was stopped or ended", cobra.ExactArgs(1), run)
}

// askExplanation asks a node about a job; any answer but an explanation is an error.
func askExplanation(ctx context.Context, node, job string) (e explain.Explanation, err error) {
	status, body, err := get(ctx, node, "/v1/jobs/"+job+"/why")
	if err != nil {
		return e, err
	}
	if status == http.StatusOK {
		return e, wire.Unmarshal(body, &e)
	}
	var why wire.ErrorResponse
	if err := wire.Unmarshal(body, &why); err != nil || why.Message == "" {
		why.Message = fmt.Sprintf("%d %s", status, http.StatusText(status))
	}
	return e, fmt.Errorf("%s: %s answers: %s", job, node, why.Message)
}

// printExplanation writes an explanation for people.
func printExplanation(w io.Writer, e explain.Explanation) {
	at := func(t micros.Micros) string { return time.UnixMicro(int64(t)).UTC().Format(time.RFC3339) }
	fmt.Fprintf(w, "%s: %s, submitted %s", e.Job, e.State, at(e.SubmittedAt))
	if e.EndedAt != 0 {
		fmt.Fprintf(w, ", ended %s", at(e.EndedAt))
	}
	fmt.Fprintln(w)
	if e.Tasks > 0 {
		fmt.Fprintf(w, "  class %s, team %s, priority %s: %d tasks, %d done, %d running, %d waiting\n",
			e.Class, e.Team, e.Priority, e.Tasks, e.Done, e.Running, e.Waiting)
	}
	for _, why := range e.Reasons {
		fmt.Fprintln(w, "  "+why)
	}
	for _, t := range e.Placements {
		fmt.Fprintf(w, "  %s attempt %d on %s since %s: %s\n", t.Task, t.Attempt, t.Machine, at(t.Since), t.State)
	}
	for _, s := range e.Stops {
		fmt.Fprintf(w, "  %s attempt %d stopped on %s at %s: %s\n", s.Task, s.Attempt, s.Machine, at(s.At), s.Reason)
	}
	for _, n := range e.Notes {
		fmt.Fprintln(w, "  note: "+n)
	}
	fmt.Fprintf(w, "  as %s knew it", e.Member)
	if e.AgeS >= 1 {
		fmt.Fprintf(w, " %.0f s ago", e.AgeS)
	}
	fmt.Fprintln(w)
}

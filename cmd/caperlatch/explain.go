package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"caperlatch/internal/leader"
	"caperlatch/internal/wire"
)

func explainCommand() *cobra.Command {
	var node string
	cmd := &cobra.Command{
		Use: "explain JOB", Short: "Say why a job waits, was stopped or ended", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			e, err := askNode(cmd.Context(), node, args[0])
			if err != nil {
				return err
			}
			printExplanation(cmd.OutOrStdout(), e)
			return nil
		},
	}
	cmd.Flags().StringVar(&node, "node", "127.0.0.1:8080", "address of any node (its client_listen)")
	return cmd
}

func askNode(ctx context.Context, node, job string) (e leader.Explanation, err error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/v1/jobs/"+job+"/why", nil)
	if err != nil {
		return e, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return e, err
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	if _, err := io.Copy(&b, io.LimitReader(resp.Body, 1<<20)); err != nil {
		return e, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return e, wire.Unmarshal(b.Bytes(), &e)
	case http.StatusNotFound:
		return e, fmt.Errorf("%s is not known", job)
	}
	return e, fmt.Errorf("node %s answered %s; ask again or ask another", node, resp.Status)
}

func printExplanation(w io.Writer, e leader.Explanation) {
	fmt.Fprintf(w, "%s", e.Job)
	if e.Tasks > 0 {
		fmt.Fprintf(w, " (team %s): %d tasks, %d done, %d running, %d waiting", e.Team, e.Tasks, e.Done, e.Running, e.Waiting)
	}
	fmt.Fprintln(w)
	for _, why := range e.Why {
		fmt.Fprintln(w, "  "+why)
	}
	for _, s := range e.Stops {
		fmt.Fprintf(w, "  %s stopped on %s at %s: %s\n", s.Task, s.Machine,
			time.UnixMicro(int64(s.At)).UTC().Format(time.RFC3339), s.Why)
	}
}

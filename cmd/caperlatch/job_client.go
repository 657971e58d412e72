package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"caperlatch/internal/wire"
)

// How a user's request is repeated: at the next node, and after a pause once all were asked.
const (
	maxJobAttempts = 30
	jobRetryPause  = 500 * time.Millisecond
)

// Forms of output.
const (
	outputText = "text"
	outputJSON = "json"
)

// Errors of users' requests.
var (
	errNoAnswer   = errors.New("no node answers for sure; it may have been carried out, ask again")
	errOutputForm = errors.New("--output must be text or json")
)

// jobClient sends users' requests as the protocol says: to the next node where one does not
// answer or says to come back.
type jobClient struct {
	nodes  []string // addresses, at least one
	output string   // form of what is printed
}

// addFlags lets the user choose the nodes and the output.
func (c *jobClient) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&c.nodes, "node", []string{defaultNode}, "addresses of nodes (their client_listen), any number")
	cmd.Flags().StringVar(&c.output, "output", outputText, "text or json")
}

// check reports what is wrong with the flags, before anything is sent.
func (c *jobClient) check() error {
	if c.output != outputText && c.output != outputJSON {
		return usage(errOutputForm)
	}
	return nil
}

// show sends a request and prints the job's status.
func (c *jobClient) show(cmd *cobra.Command, method, path string, body any) error {
	status, err := c.send(cmd.Context(), method, path, body)
	if err != nil {
		return err
	}
	if c.output == outputJSON {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(status)
	}
	line := status.ID + ": " + status.State
	if status.Done != nil && status.Running != nil {
		line += fmt.Sprintf(", %d tasks done, %d running", *status.Done, *status.Running)
	}
	fmt.Fprintln(cmd.OutOrStdout(), line)
	return nil
}

// send sends a request until a node answers it for sure. The error is errNoAnswer if none does.
func (c *jobClient) send(ctx context.Context, method, path string, body any) (status wire.JobStatus, err error) {
	lastErr := errNoAnswer
	for attempt := range maxJobAttempts {
		node := c.nodes[attempt%len(c.nodes)]
		resp, err := request(ctx, method, node, path, body)
		switch {
		case err != nil:
			lastErr = fmt.Errorf("%w (%s: %w)", errNoAnswer, node, err)
		case resp.status == http.StatusTooManyRequests || resp.status >= http.StatusInternalServerError:
			lastErr = fmt.Errorf("%w (%s answers %d)", errNoAnswer, node, resp.status)
		default:
			return readJobStatus(resp)
		}
		if (attempt+1)%len(c.nodes) == 0 {
			time.Sleep(jobRetryPause)
		}
	}
	return status, lastErr
}

// readJobStatus returns the job's status in a response, or the error that it holds.
func readJobStatus(resp *response) (status wire.JobStatus, err error) {
	if resp.status == http.StatusOK || resp.status == http.StatusCreated {
		return status, wire.Unmarshal(resp.body, &status)
	}
	return status, errors.New(cmp.Or(resp.errorText(), strings.ToLower(http.StatusText(resp.status))))
}

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

// Limits of the retries of a user's request. A retry goes to the next node, after a pause once all nodes have been tried.
const (
	maxJobAttempts = 30
	jobRetryPause  = 500 * time.Millisecond
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// Errors of users' requests.
var (
	errNoDefiniteResponse = errors.New("no definite response from any node; the request may have been carried out, retry it")
	errOutputFormat       = errors.New("--output must be text or json")
)

// jobClient sends users' requests as the protocol requires: if a node does not respond, or responds that the request
// should be retried, the request is sent to the next node.
type jobClient struct {
	nodes  []string // addresses, at least one
	output string   // output format
}

// addFlags adds the flags that set the nodes and the output format.
func (c *jobClient) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&c.nodes, "node", []string{defaultNode}, "addresses of nodes (their client_listen), may be repeated")
	cmd.Flags().StringVar(&c.output, "output", outputText, "text or json")
}

// check validates the flags, before any request is sent.
func (c *jobClient) check() error {
	if c.output != outputText && c.output != outputJSON {
		return asUsageError(errOutputFormat)
	}
	return nil
}

// sendAndPrint sends a request and prints the status of the job in the response.
func (c *jobClient) sendAndPrint(cmd *cobra.Command, method, path string, body any) error {
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

// send repeats a request until a node gives a definite response. The error wraps errNoDefiniteResponse if none does.
func (c *jobClient) send(ctx context.Context, method, path string, body any) (status wire.JobStatus, err error) {
	lastErr := errNoDefiniteResponse
	for attempt := range maxJobAttempts {
		node := c.nodes[attempt%len(c.nodes)]
		resp, err := request(ctx, method, node, path, body)
		switch {
		case err != nil:
			lastErr = fmt.Errorf("%w (%s: %w)", errNoDefiniteResponse, node, err)
		case resp.status == http.StatusTooManyRequests || resp.status >= http.StatusInternalServerError:
			lastErr = fmt.Errorf("%w (%s responded with HTTP status %d)", errNoDefiniteResponse, node, resp.status)
		default:
			return decodeJobStatus(resp)
		}
		if (attempt+1)%len(c.nodes) == 0 {
			time.Sleep(jobRetryPause)
		}
	}
	return status, lastErr
}

// decodeJobStatus returns the job status in a response, or an error with the message of an error response.
func decodeJobStatus(resp *response) (status wire.JobStatus, err error) {
	if resp.status == http.StatusOK || resp.status == http.StatusCreated {
		return status, wire.Unmarshal(resp.body, &status)
	}
	return status, errors.New(cmp.Or(resp.errorText(), strings.ToLower(http.StatusText(resp.status))))
}

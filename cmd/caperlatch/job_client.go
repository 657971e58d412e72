package main

import (
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
	jobTries = 30
	jobPause = 500 * time.Millisecond
)

// jobClient sends users' requests as the protocol says: to the next node where one does not
// answer or says to come back.
type jobClient struct {
	nodes  []string
	output string
}

// show sends a request and prints the answer.
func (c *jobClient) show(cmd *cobra.Command, method, path string, body any) error {
	status, err := c.send(cmd.Context(), method, path, body)
	if err != nil {
		return err
	}
	if c.output == "json" {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(status)
	}
	line := status.ID + ": " + status.Status
	if status.Done != nil && status.Running != nil {
		line += fmt.Sprintf(", %d tasks done, %d running", *status.Done, *status.Running)
	}
	fmt.Fprintln(cmd.OutOrStdout(), line)
	return nil
}

// send sends a request until a node answers it for sure.
func (c *jobClient) send(ctx context.Context, method, path string, body any) (status wire.JobStatus, err error) {
	if ctx == nil {
		ctx = context.Background()
	}
	last := errNoAnswer
	for try := range jobTries {
		node := c.nodes[try%len(c.nodes)]
		code, answer, err := request(ctx, method, node, path, body)
		switch {
		case err != nil:
			last = fmt.Errorf("%w (%s: %w)", errNoAnswer, node, err)
		case code == http.StatusTooManyRequests || code >= http.StatusInternalServerError:
			last = fmt.Errorf("%w (%s answers %d)", errNoAnswer, node, code)
		default:
			return readStatus(code, answer)
		}
		if (try+1)%len(c.nodes) == 0 {
			time.Sleep(jobPause)
		}
	}
	return status, last
}

// readStatus reads a job's status, or why there is none.
func readStatus(code int, answer []byte) (status wire.JobStatus, err error) {
	if code == http.StatusOK || code == http.StatusCreated {
		return status, wire.Unmarshal(answer, &status)
	}
	var why wire.ErrorResponse
	if wire.Unmarshal(answer, &why) != nil || why.Error == "" {
		why.Error = strings.ToLower(http.StatusText(code))
	}
	return status, errors.New(why.Error)
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
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

// Errors of users' requests.
var (
	errNoAnswer   = errors.New("no node answers for sure; it may have been carried out, ask again")
	errOutputForm = errors.New("--output must be text or json")
)

// jobClient sends users' requests as the protocol says: to the next node where one does not
// answer or says to come back.
type jobClient struct {
	nodes  []string
	output string
}

// jobCommand is a command that sends users' requests.
func jobCommand(use, short string, args cobra.PositionalArgs, run func(*cobra.Command, *jobClient, []string) error) *cobra.Command {
	var c jobClient
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  args,
		RunE: func(cmd *cobra.Command, args []string) error {
			if c.output != "text" && c.output != "json" {
				return usage(errOutputForm)
			}
			return run(cmd, &c, args)
		},
	}
	cmd.Flags().StringSliceVar(&c.nodes, "node", []string{"127.0.0.1:8080"}, "addresses of nodes (their client_listen), any number")
	cmd.Flags().StringVar(&c.output, "output", "text", "text or json")
	return cmd
}

// submitCommand submits a job.
func submitCommand() *cobra.Command {
	return jobCommand("submit FILE", "Submit a job, described as in deploy/job.example.json; - reads standard input", cobra.ExactArgs(1),
		func(cmd *cobra.Command, c *jobClient, args []string) error {
			job, err := readJob(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			return c.show(cmd, http.MethodPost, "/v1/jobs", job)
		})
}

// jobsCommand tells how jobs are.
func jobsCommand() *cobra.Command {
	return jobCommand("jobs ID...", "Say how jobs are", cobra.MinimumNArgs(1),
		func(cmd *cobra.Command, c *jobClient, args []string) error {
			for _, id := range args {
				if err := c.show(cmd, http.MethodGet, "/v1/jobs/"+id, nil); err != nil {
					return err
				}
			}
			return nil
		})
}

// cancelCommand cancels a job.
func cancelCommand() *cobra.Command {
	return jobCommand("cancel ID", "Cancel a job", cobra.ExactArgs(1),
		func(cmd *cobra.Command, c *jobClient, args []string) error {
			return c.show(cmd, http.MethodPost, "/v1/jobs/"+args[0]+"/abort", nil)
		})
}

// readJob reads a job's description.
func readJob(in io.Reader, file string) (job map[string]any, err error) {
	content, err := readFile(in, file)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	if err := decoder.Decode(&job); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	for key, value := range job {
		if job[key], err = number(value); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", file, key, err)
		}
	}
	return job, nil
}

// readFile reads a file, or standard input for -.
func readFile(in io.Reader, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(file)
}

// number is a value, or the number that one stands for; counts stay whole.
func number(value any) (any, error) {
	text, is := value.(json.Number)
	if !is {
		return value, nil
	}
	if n, err := text.Int64(); err == nil {
		return n, nil
	}
	return text.Float64()
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
	line := status.ID + ": " + status.State
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
	if wire.Unmarshal(answer, &why) != nil || why.Message == "" {
		why.Message = strings.ToLower(http.StatusText(code))
	}
	return status, errors.New(why.Message)
}

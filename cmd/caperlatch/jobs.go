package main

import (
	"net/http"

	"github.com/spf13/cobra"
)

// jobCommand returns a command that sends users' requests.
func jobCommand(use, short string, args cobra.PositionalArgs, run func(*cobra.Command, *jobClient, []string) error) *cobra.Command {
	var c jobClient
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  args,
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := c.check(); err != nil {
				return err
			}
			return run(cmd, &c, args)
		},
	}
	c.addFlags(cmd)
	return cmd
}

// submitCommand returns the command that submits a job.
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

// jobsCommand returns the command that prints the status of jobs.
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

// cancelCommand returns the command that cancels a job.
func cancelCommand() *cobra.Command {
	return jobCommand("cancel ID", "Cancel a job", cobra.ExactArgs(1),
		func(cmd *cobra.Command, c *jobClient, args []string) error {
			return c.show(cmd, http.MethodPost, "/v1/jobs/"+args[0]+"/abort", nil)
		})
}

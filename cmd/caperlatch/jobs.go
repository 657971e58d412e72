package main

import (
	"net/http"

	"github.com/spf13/cobra"
)

// jobCommand returns a command that sends users' requests with a jobClient, which its flags configure.
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
	return jobCommand("submit FILE", "Submit the job described in a file, as in deploy/job.example.json; - reads standard input", cobra.ExactArgs(1),
		func(cmd *cobra.Command, c *jobClient, args []string) error {
			job, err := readJobDescription(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			return c.sendAndPrint(cmd, http.MethodPost, "/v1/jobs", job)
		})
}

// jobsCommand returns the command that prints the status of jobs.
func jobsCommand() *cobra.Command {
	return jobCommand("jobs ID...", "Print the status of jobs", cobra.MinimumNArgs(1),
		func(cmd *cobra.Command, c *jobClient, args []string) error {
			for _, id := range args {
				if err := c.sendAndPrint(cmd, http.MethodGet, "/v1/jobs/"+id, nil); err != nil {
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
			return c.sendAndPrint(cmd, http.MethodPost, "/v1/jobs/"+args[0]+"/abort", nil)
		})
}

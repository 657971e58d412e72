// Command caperlatch runs and inspects a controller node.
//
// It owns the command line, the output of the commands and the exit codes. It must not implement any function of a
// node: it either runs a node of package caperlatch or sends requests to a running node over HTTP.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "caperlatch:", err)
		os.Exit(exitCode(err))
	}
}

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError is an error in the command line or in a file that it names, found before anything was started.
type usageError struct{ error }

// Unwrap returns the underlying error.
func (e usageError) Unwrap() error { return e.error }

// asUsageError marks an error as a usageError.
func asUsageError(err error) error { return usageError{err} }

// exitCode returns the exit code of the program for an error.
func exitCode(err error) int {
	var usageErr usageError
	if errors.As(err, &usageErr) {
		return exitUsage
	}
	return exitFailed
}

// rootCommand returns the root command with all its subcommands. Without a subcommand it runs a node.
func rootCommand() *cobra.Command {
	var files nodeFiles
	root := &cobra.Command{
		Use:           "caperlatch",
		Short:         "A cluster scheduler that rents its machines from a cloud",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          files.run,
	}
	files.addFlags(root)
	root.AddCommand(runCommand(&files), checkCommand(), explainCommand(), versionsCommand(), versionCommand(),
		standbyCommand(), handoverCommand(), zonesCommand(), membersCommand(),
		labCommand(), submitCommand(), jobsCommand(), cancelCommand())
	return root
}

// Command caperlatch runs and inspects a controller node.
//
// It owns the command line and what it prints. It does no work of a node itself: it runs
// one of package caperlatch or asks a running one over HTTP.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := rootCommand()
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "caperlatch:", err)
		os.Exit(exitCode(err))
	}
}

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError is a request that cannot be carried out as it stands; nothing was begun.
type usageError struct{ error }

// Unwrap is what is wrong.
func (e usageError) Unwrap() error { return e.error }

// usage marks an error as the user's.
func usage(err error) error { return usageError{err} }

// exitCode is the program's exit code after an error.
func exitCode(err error) int {
	if errors.As(err, &usageError{}) {
		return exitUsage
	}
	return exitFailed
}

// rootCommand is the program with all its commands; without one it runs a node.
func rootCommand() *cobra.Command {
	var config string
	var files featureFiles
	run := func(cmd *cobra.Command, _ []string) error { return runNode(cmd.Context(), config, files) }
	root := &cobra.Command{
		Use:           "caperlatch",
		Short:         "A cluster scheduler that rents its machines",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          run,
	}
	runCmd := &cobra.Command{
		Use:   "run",
		Short: "Run a node until it is killed",
		Args:  cobra.NoArgs,
		RunE:  run,
	}
	for _, cmd := range []*cobra.Command{root, runCmd} {
		cmd.Flags().StringVar(&config, "config", "", "settings file (TOML)")
		files.addFlags(cmd)
	}
	root.AddCommand(runCmd, checkCommand(), explainCommand(), versionsCommand(), versionCommand(),
		standbyCommand(), handoverCommand(), zonesCommand(), membersCommand(),
		labCommand(), submitCommand(), jobsCommand(), cancelCommand())
	return root
}

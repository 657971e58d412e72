// Command caperlatch runs and inspects a controller node.
//
// It owns the command line, what the commands print and the exit codes. It must do no work of a
// node itself: it runs one of package caperlatch or asks a running one over HTTP.
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

// usageError is a request that cannot be carried out as it stands; nothing was started.
type usageError struct{ error }

// Unwrap returns what is wrong.
func (e usageError) Unwrap() error { return e.error }

// usage marks an error as the user's.
func usage(err error) error { return usageError{err} }

// exitCode returns the program's exit code after an error.
func exitCode(err error) int {
	var wrongUse usageError
	if errors.As(err, &wrongUse) {
		return exitUsage
	}
	return exitFailed
}

// rootCommand returns the program with all its commands; without one it runs a node.
func rootCommand() *cobra.Command {
	var files nodeFiles
	root := &cobra.Command{
		Use:           "caperlatch",
		Short:         "A cluster scheduler that rents its machines",
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

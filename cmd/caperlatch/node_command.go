package main

import (
	"io"

	"github.com/spf13/cobra"
)

// nodeCommand returns a command that sends requests to a node, whose address the user may set by a flag.
func nodeCommand(use, short string, args cobra.PositionalArgs, run func(cmd *cobra.Command, node string, args []string) error) *cobra.Command {
	var node string
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  args,
		RunE:  func(cmd *cobra.Command, args []string) error { return run(cmd, node, args) },
	}
	cmd.Flags().StringVar(&node, "node", defaultNode, "address of any node (its client_listen)")
	return cmd
}

// statusCommand returns a command that requests a status of type T from a node and prints it.
func statusCommand[T any](use, short, method, path string, write func(io.Writer, *T)) *cobra.Command {
	return nodeCommand(use, short, cobra.NoArgs, func(cmd *cobra.Command, node string, _ []string) error {
		var status T
		if err := call(cmd.Context(), method, node, path, &status); err != nil {
			return err
		}
		write(cmd.OutOrStdout(), &status)
		return nil
	})
}

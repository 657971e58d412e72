package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"caperlatch/internal/settings"
)

// checkCommand returns the command that validates settings files without starting a node.
func checkCommand() *cobra.Command {
	var files featureFiles
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file, and the tuning and feature files if they are given",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Read(args[0])
			if err != nil {
				return err
			}
			if _, err := settings.ReadTuning(); err != nil {
				return err
			}
			if _, err := files.read(s); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "ok: member %s of %d nodes, %d teams\n", s.Member, len(s.Peers)+1, len(s.Params.Teams))
			return nil
		},
	}
	files.addFlags(cmd)
	return cmd
}

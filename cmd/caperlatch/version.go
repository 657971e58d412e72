package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionCommand returns the command that prints the version of this program. The versions of running nodes are printed
// by versionsCommand.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this program",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			version, goVersion := "(devel)", ""
			if info, ok := debug.ReadBuildInfo(); ok {
				version, goVersion = info.Main.Version, info.GoVersion
			}
			fmt.Fprintln(cmd.OutOrStdout(), "caperlatch", version, goVersion)
		},
	}
}

// Command caperlatch runs and inspects a controller node.
//
// It owns the command line and what it prints. It does no work of a node itself: it runs
// one of package caperlatch or asks a running one over HTTP.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"caperlatch"
	"caperlatch/internal/settings"
)

func main() {
	root := rootCommand()
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "caperlatch:", err)
		os.Exit(1)
	}
}

// rootCommand is the program with all its commands; without one it runs a node.
func rootCommand() *cobra.Command {
	var config, standbyFile string
	run := func(cmd *cobra.Command, _ []string) error { return runNode(cmd.Context(), config, standbyFile) }
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
		addStandbyFlag(cmd, &standbyFile)
	}
	root.AddCommand(runCmd, checkCommand(), explainCommand(), versionsCommand(), versionCommand(),
		standbyCommand(), handoverCommand())
	return root
}

// runNode runs a node with the settings in a file until ctx ends; with a warm standby if
// there is a file of its settings.
func runNode(ctx context.Context, config, standbyFile string) error {
	if config == "" {
		return fmt.Errorf("--config is missing")
	}
	setLogLevel()
	s, err := settings.Read(config)
	if err != nil {
		return err
	}
	t, err := settings.ReadTuning()
	if err != nil {
		return err
	}
	if ctx == nil {
		ctx = context.Background()
	}
	if standbyFile == "" {
		return caperlatch.NewNode(s, t, nil).Run(ctx)
	}
	b, err := settings.ReadStandby(standbyFile)
	if err != nil {
		return err
	}
	return runUntilTerminated(ctx, caperlatch.NewNode(s, t, b))
}

// setLogLevel logs to standard error as much as LOG_LEVEL says.
func setLogLevel() {
	level := slog.LevelInfo
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
}

// checkCommand checks settings without running anything.
func checkCommand() *cobra.Command {
	var standbyFile string
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file, and the tuning and standby files, if they are named",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Read(args[0])
			if err != nil {
				return err
			}
			if _, err := settings.ReadTuning(); err != nil {
				return err
			}
			if standbyFile != "" {
				if _, err := settings.ReadStandby(standbyFile); err != nil {
					return err
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "ok: member %s of %d nodes, %d teams\n", s.Member, len(s.Peers)+1, len(s.Params.Teams))
			return nil
		},
	}
	addStandbyFlag(cmd, &standbyFile)
	return cmd
}

// versionCommand prints the version of this program, unlike versionsCommand.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
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

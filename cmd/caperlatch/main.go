// Command caperlatch runs and inspects a controller node.
//
// It owns the command line and what it prints. It does no work of a node itself: it runs
// one of package caperlatch or asks a running one over HTTP.
package main

import (
	"context"
	"errors"
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

// runNode runs a node with the settings in a file until ctx ends, with the optional parts
// that files turn on.
func runNode(ctx context.Context, config string, files featureFiles) error {
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
	features, err := files.read(s)
	if err != nil {
		return err
	}
	node := caperlatch.NewNode(s, t, features)
	if features.Standby == nil && features.Membership == nil {
		return node.Run(ctx)
	}
	return runUntilTerminated(ctx, node)
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
	var files featureFiles
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file, and those of tuning and of optional parts, if they are named",
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

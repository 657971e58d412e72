package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"caperlatch"
	"caperlatch/internal/settings"
)

// errNoConfig means that the command line names no settings.
var errNoConfig = errors.New("--config is missing")

// nodeFiles names the files that describe a node.
type nodeFiles struct {
	config   string // its settings
	features featureFiles
}

// addFlags lets the operator name the files.
func (f *nodeFiles) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.config, "config", "", "settings file (TOML)")
	f.features.addFlags(cmd)
}

// runCommand returns the command that runs a node with the settings in files, which its flags
// name.
func runCommand(files *nodeFiles) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run a node until it is killed",
		Args:  cobra.NoArgs,
		RunE:  files.run,
	}
	files.addFlags(cmd)
	return cmd
}

// run runs a node until the command's context ends or, with optional parts that have something
// to do on shutdown, until SIGTERM.
func (f *nodeFiles) run(cmd *cobra.Command, _ []string) error {
	if f.config == "" {
		return errNoConfig
	}
	setLogLevel()
	s, err := settings.Read(f.config)
	if err != nil {
		return err
	}
	t, err := settings.ReadTuning()
	if err != nil {
		return err
	}
	features, err := f.features.read(s)
	if err != nil {
		return err
	}
	node := caperlatch.NewNode(s, t, features)
	if features.Standby == nil && features.Membership == nil {
		return node.Run(cmd.Context())
	}
	return runUntilTerminated(cmd.Context(), node)
}

// runUntilTerminated runs a node that hands over and leaves when SIGTERM ends it.
func runUntilTerminated(ctx context.Context, n *caperlatch.Node) error {
	terminated, stop := signal.NotifyContext(ctx, syscall.SIGTERM)
	defer stop()
	running, end := context.WithCancel(ctx)
	defer end()
	// It is what ends the node on SIGTERM. Nobody waits for it: the process ends with the node.
	go func() {
		<-terminated.Done()
		n.HandOverOnShutdown()
		n.Leave()
		end()
	}()
	return n.Run(running)
}

// setLogLevel logs to standard error as much as LOG_LEVEL says: error, info (the default) or
// debug.
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

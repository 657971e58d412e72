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

// errNoConfig means that the command line does not name a settings file.
var errNoConfig = errors.New("--config is required")

// nodeFiles holds the paths of the files that configure a node.
type nodeFiles struct {
	config   string // settings file
	features featureFiles
}

// addFlags adds the flags that set the paths.
func (f *nodeFiles) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.config, "config", "", "settings file (TOML)")
	f.features.addFlags(cmd)
}

// runCommand returns the command that runs a node. Its flags set the paths in files.
func runCommand(files *nodeFiles) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run a node until it is terminated",
		Args:  cobra.NoArgs,
		RunE:  files.run,
	}
	files.addFlags(cmd)
	return cmd
}

// run runs a node until the context of the command ends. With the warm standby or membership, which have to act on
// shutdown, the node handles SIGTERM, see runUntilTerminated; without them, SIGTERM kills the process.
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

// runUntilTerminated runs a node that, on SIGTERM, hands over its leadership and announces its departure before it stops.
func runUntilTerminated(ctx context.Context, n *caperlatch.Node) error {
	terminated, stop := signal.NotifyContext(ctx, syscall.SIGTERM)
	defer stop()
	nodeCtx, stopNode := context.WithCancel(ctx)
	defer stopNode()
	// This goroutine stops the node on SIGTERM. Nothing waits for it, as the process exits when the node has stopped.
	go func() {
		<-terminated.Done()
		n.HandOverOnShutdown()
		n.Leave()
		stopNode()
	}()
	return n.Run(nodeCtx)
}

// setLogLevel makes the default logger write to standard error, at the level in the environment variable LOG_LEVEL:
// error, info (the default) or debug.
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

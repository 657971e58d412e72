package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"caperlatch"
	"caperlatch/internal/settings"
)

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

// runUntilTerminated runs a node that hands over and leaves when it is told to end by SIGTERM.
func runUntilTerminated(ctx context.Context, n *caperlatch.Node) error {
	terminated, stop := signal.NotifyContext(ctx, syscall.SIGTERM)
	defer stop()
	running, end := context.WithCancel(ctx)
	defer end()
	go func() {
		<-terminated.Done()
		n.HandOverOnShutdown()
		n.Leave()
		end()
	}()
	return n.Run(running)
}

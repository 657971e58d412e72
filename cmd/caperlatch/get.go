package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"
)

const (
	// getTimeout is within what a node answers, also when it cannot reach the leader.
	getTimeout = 5 * time.Second
	// maxAnswer is how many bytes of an answer are read.
	maxAnswer = 1 << 20
)

// nodeCommand is a command that asks a node, which the user may name.
func nodeCommand(use, short string, args cobra.PositionalArgs, run func(cmd *cobra.Command, node string, args []string) error) *cobra.Command {
	var node string
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  args,
		RunE:  func(cmd *cobra.Command, args []string) error { return run(cmd, node, args) },
	}
	cmd.Flags().StringVar(&node, "node", "127.0.0.1:8080", "address of any node (its client_listen)")
	return cmd
}

// get asks a running node.
func get(ctx context.Context, node, path string) (status int, body []byte, err error) {
	return request(ctx, http.MethodGet, node, path)
}

// request sends a running node a request without a body.
func request(ctx context.Context, method, node, path string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	_, err = io.Copy(&b, io.LimitReader(resp.Body, maxAnswer))
	return resp.StatusCode, b.Bytes(), err
}

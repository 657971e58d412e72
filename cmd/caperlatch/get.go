package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"caperlatch/internal/wire"
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

// statusCommand is a command that asks a node for a value at a path and prints it.
func statusCommand[T any](use, short, method, path string, print func(io.Writer, *T)) *cobra.Command {
	return nodeCommand(use, short, cobra.NoArgs, func(cmd *cobra.Command, node string, _ []string) error {
		var status T
		if err := ask(cmd.Context(), method, node, path, &status); err != nil {
			return err
		}
		print(cmd.OutOrStdout(), &status)
		return nil
	})
}

// get asks a running node.
func get(ctx context.Context, node, path string) (status int, body []byte, err error) {
	return request(ctx, http.MethodGet, node, path, nil)
}

// request sends a running node a request, with in as its body unless that is nil.
func request(ctx context.Context, method, node, path string, in any) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	var content io.Reader
	if in != nil {
		encoded, err := wire.Marshal(in)
		if err != nil {
			return 0, nil, err
		}
		content = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, content)
	if err != nil {
		return 0, nil, err
	}
	if in != nil {
		req.Header.Set("Content-Type", wire.ContentType)
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

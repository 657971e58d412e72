package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"caperlatch/internal/wire"
)

const (
	// getTimeout is within what a node answers, also when it cannot reach the leader.
	getTimeout = 5 * time.Second
	// maxAnswer is how many bytes of an answer are read.
	maxAnswer = 1 << 20
)

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

// ask sends a request to a node and decodes its answer; any other status is an error.
func ask(ctx context.Context, method, node, path string, out any) error {
	status, body, err := request(ctx, method, node, path, nil)
	if err != nil {
		return err
	}
	if status == http.StatusOK {
		return wire.Unmarshal(body, out)
	}
	var why wire.ErrorResponse
	if err := wire.Unmarshal(body, &why); err != nil || why.Error == "" {
		why.Error = fmt.Sprintf("%d %s (a version without it?)", status, http.StatusText(status))
	}
	return fmt.Errorf("%s answers: %s", node, why.Error)
}

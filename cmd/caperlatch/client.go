package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"caperlatch/internal/wire"
)

// defaultNode is the address of a node on this machine that listens where the example of settings says.
const defaultNode = "127.0.0.1:8080"

const (
	// requestTimeout is longer than a node takes to answer, also when it cannot reach the leader.
	requestTimeout = 5 * time.Second
	// maxResponseBytes is how much of a response's body is read.
	maxResponseBytes = 1 << 20
)

// response is what a node answered.
type response struct {
	status int // of HTTP
	body   []byte
}

// errorText returns the text of an error response, empty if it holds none.
func (r *response) errorText() string {
	var decoded wire.ErrorResponse
	if err := wire.Unmarshal(r.body, &decoded); err != nil {
		return ""
	}
	return decoded.Message
}

// statusText returns the status for people, as in "404 Not Found".
func (r *response) statusText() string {
	return fmt.Sprintf("%d %s", r.status, http.StatusText(r.status))
}

// request sends a request to a running node, with in as its body unless that is nil. Any status
// is a response and no error.
func request(ctx context.Context, method, node, path string, in any) (*response, error) {
	return requestWithin(ctx, requestTimeout, method, node, path, in)
}

// requestWithin is request with a time limit of the caller's.
func requestWithin(ctx context.Context, timeout time.Duration, method, node, path string, in any) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var content io.Reader
	if in != nil {
		encoded, err := wire.Marshal(in)
		if err != nil {
			return nil, err
		}
		content = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, content)
	if err != nil {
		return nil, err
	}
	if in != nil {
		req.Header.Set("Content-Type", wire.ContentType)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	return &response{status: resp.StatusCode, body: body}, nil
}

// ask sends a request without a body to a node and decodes the response; any status but 200 is
// an error.
func ask(ctx context.Context, method, node, path string, out any) error {
	return askWithin(ctx, requestTimeout, method, node, path, out)
}

// askWithin is ask with a time limit of the caller's.
func askWithin(ctx context.Context, timeout time.Duration, method, node, path string, out any) error {
	resp, err := requestWithin(ctx, timeout, method, node, path, nil)
	if err != nil {
		return err
	}
	if resp.status == http.StatusOK {
		return wire.Unmarshal(resp.body, out)
	}
	return fmt.Errorf("%s answers: %s", node, cmp.Or(resp.errorText(), resp.statusText()+" (a version without it?)"))
}

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

// defaultNode is the address of a node on this machine that uses the client_listen port of the example settings.
const defaultNode = "127.0.0.1:8080"

const (
	// requestTimeout is longer than a node takes to respond, even when it cannot reach the leader.
	requestTimeout = 5 * time.Second
	// maxResponseBytes is the maximum length that is read of a response body.
	maxResponseBytes = 1 << 20
)

// response is the HTTP response of a node.
type response struct {
	status int // HTTP status code
	body   []byte
}

// errorText returns the message of an error response, or an empty string if the body contains none.
func (r *response) errorText() string {
	var decoded wire.ErrorResponse
	if err := wire.Unmarshal(r.body, &decoded); err != nil {
		return ""
	}
	return decoded.Message
}

// statusText returns the status in readable form, as in "404 Not Found".
func (r *response) statusText() string {
	return fmt.Sprintf("%d %s", r.status, http.StatusText(r.status))
}

// request sends a request to a running node, with in as its body unless in is nil. A response of any status is not an
// error.
func request(ctx context.Context, method, node, path string, in any) (*response, error) {
	return requestWithTimeout(ctx, requestTimeout, method, node, path, in)
}

// requestWithTimeout is request with a timeout chosen by the caller.
func requestWithTimeout(ctx context.Context, timeout time.Duration, method, node, path string, in any) (*response, error) {
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

// call sends a request without a body to a node and decodes the response into out. Any status other than 200 is an
// error.
func call(ctx context.Context, method, node, path string, out any) error {
	return callWithTimeout(ctx, requestTimeout, method, node, path, out)
}

// callWithTimeout is call with a timeout chosen by the caller.
func callWithTimeout(ctx context.Context, timeout time.Duration, method, node, path string, out any) error {
	resp, err := requestWithTimeout(ctx, timeout, method, node, path, nil)
	if err != nil {
		return err
	}
	if resp.status == http.StatusOK {
		return wire.Unmarshal(resp.body, out)
	}
	return fmt.Errorf("%s responded: %s", node, cmp.Or(resp.errorText(), resp.statusText()+" (its version may not support this request)"))
}

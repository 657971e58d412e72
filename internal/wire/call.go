package wire

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
)

// Call sends a request, with in as its body unless that is nil, and reads
// the whole answer. After an error nobody knows whether it was carried out.
func Call(ctx context.Context, c *http.Client, method, url string, in any) (status int, answer []byte, err error) {
	var body io.Reader
	if in != nil {
		b, err := Marshal(in)
		if err != nil {
			return 0, nil, fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, nil, err
	}
	if in != nil {
		req.Header.Set("Content-Type", ContentType)
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// ErrorResponse says what was wrong.
type ErrorResponse struct {
	Message string `json:"error"`
}

package wire

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
)

// Call sends an HTTP request and returns the status and the complete body of the response. The request's body is the
// encoded message, or empty if message is nil. After an error it is unknown whether the request was or will be
// executed.
func Call(ctx context.Context, client *http.Client, method, url string, message any) (status int, response []byte, err error) {
	var body io.Reader
	if message != nil {
		encoded, err := Marshal(message)
		if err != nil {
			return 0, nil, fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, nil, err
	}
	if message != nil {
		req.Header.Set("Content-Type", ContentType)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	response, err = io.ReadAll(resp.Body)
	return resp.StatusCode, response, err
}

// ErrorResponse is the body of a response with an error status.
type ErrorResponse struct {
	Message string `json:"error"`
}

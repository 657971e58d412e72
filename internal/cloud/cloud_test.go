package cloud

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// countingTransport counts requests and answers each with an empty list of machines.
type countingTransport struct{ requests int }

func (c *countingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	c.requests++
	body, err := wire.Marshal(wire.InstanceIDs{IDs: []string{}})
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}, nil
}

// TestTermEndsWhileWaiting has a leader's term end while its requests wait for the rate
// limit. The cloud knows no token: a return sent then would take machines from the next
// leader.
func TestTermEndsWhileWaiting(t *testing.T) {
	calls := map[string]func(c *Client, mayGo func() bool) error{
		"return": func(c *Client, mayGo func() bool) error {
			return c.Terminate(context.Background(), []string{"i-1"}, mayGo)
		},
		"rental": func(c *Client, mayGo func() bool) error {
			_, err := c.Launch(context.Background(), wire.LaunchRequest{RequestID: "r-1", Count: 1}, mayGo)
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := &countingTransport{}
				c := New("cloud", settings.Cloud{RPS: 1}, transport)
				begun := time.Now()
				held := func() bool { return time.Since(begun) < time.Second/2 }
				if err := call(c, held); err != nil {
					t.Fatalf("while the term lasts: %v", err)
				}
				if err := call(c, held); !errors.Is(err, ErrNotSent) {
					t.Errorf("after the term: %v", err)
				}
				if time.Since(begun) < time.Second || transport.requests != 1 {
					t.Errorf("%d requests were sent in %v", transport.requests, time.Since(begun))
				}
			})
		})
	}
}

package cloud

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// fakeCloud is a transport that gives the same response to all requests, and counts them.
type fakeCloud struct {
	status   int
	body     any
	requests int
}

// RoundTrip implements http.RoundTripper.
func (f *fakeCloud) RoundTrip(*http.Request) (*http.Response, error) {
	f.requests++
	body, err := wire.Marshal(f.body)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: f.status, Body: io.NopCloser(bytes.NewReader(body))}, nil
}

// alwaysSend is a canSend function that lets every request be sent.
func alwaysSend() bool { return true }

// TestNotSentAfterTermEnd checks that a request is not sent if the leader's term ends while the request waits for the
// rate limit. The cloud has no fencing tokens, so a termination sent then would take instances from the next leader.
func TestNotSentAfterTermEnd(t *testing.T) {
	calls := map[string]func(c *Client, canSend func() bool) error{
		"termination": func(c *Client, canSend func() bool) error {
			return c.Terminate(context.Background(), []string{"i-1"}, canSend)
		},
		"launch": func(c *Client, canSend func() bool) error {
			_, err := c.Launch(context.Background(), wire.LaunchRequest{RequestID: "r-1", Count: 1}, canSend)
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := &fakeCloud{status: http.StatusOK, body: wire.InstanceIDs{IDs: []string{}}}
				c := New("cloud", settings.Cloud{RPS: 1}, transport)
				start := time.Now()
				inTerm := func() bool { return time.Since(start) < time.Second/2 }
				if err := call(c, inTerm); err != nil {
					t.Fatalf("error %v while the term lasts, want nil", err)
				}
				if err := call(c, inTerm); !errors.Is(err, ErrNotSent) {
					t.Errorf("error %v after the term, want ErrNotSent", err)
				}
				if time.Since(start) < time.Second || transport.requests != 1 {
					t.Errorf("%d requests were sent in %v, want 1 in at least 1 s", transport.requests, time.Since(start))
				}
			})
		})
	}
}

// TestResponseErrors checks that errors name the request, and that only the cloud's response for it results in
// ErrNoCapacity.
func TestResponseErrors(t *testing.T) {
	launch := func(c *Client) error {
		_, err := c.Launch(context.Background(), wire.LaunchRequest{RequestID: "r-1", Count: 1}, alwaysSend)
		return err
	}
	terminate := func(c *Client) error {
		return c.Terminate(context.Background(), []string{"i-1", "i-2"}, alwaysSend)
	}
	list := func(c *Client) error { _, err := c.ListInstances(context.Background()); return err }
	types := func(c *Client) error { _, err := c.InstanceTypes(context.Background()); return err }
	noCapacity := wire.ErrorResponse{Message: "no capacity"}
	cases := []struct {
		name       string
		call       func(c *Client) error
		status     int
		body       any
		want       string // the prefix of the error; empty for no error
		noCapacity bool
	}{
		{"a launch", launch, 200, wire.InstanceIDs{IDs: []string{"i-1"}}, "", false},
		{"no capacity", launch, 503, noCapacity, "cloud: launch r-1: no capacity", true},
		{"no capacity with another status", launch, 400, noCapacity, "cloud: launch r-1: unexpected status 400 no capacity", false},
		{"an outage", launch, 503, wire.ErrorResponse{Message: "trouble"}, "cloud: launch r-1: unexpected status 503 trouble", false},
		{"a status without a reason", launch, 429, nil, "cloud: launch r-1: unexpected status 429", false},
		{"a response that cannot be decoded", launch, 200, 7, "cloud: launch r-1: decode response: ", false},
		{"a termination", terminate, 200, nil, "", false},
		{"a failed termination", terminate, 503, nil, "cloud: terminate 2 instances: unexpected status 503", false},
		{"a list", list, 200, wire.InstancePage{}, "", false},
		{"a failed list", list, 500, nil, `cloud: list instances after "": unexpected status 500`, false},
		{"instance types", types, 200, wire.InstanceTypeList{}, "", false},
		{"failed instance types", types, 500, nil, "cloud: list instance types: unexpected status 500", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := c.call(New("cloud", settings.Cloud{RPS: 1}, &fakeCloud{status: c.status, body: c.body}))
			if (err == nil) != (c.want == "") || err != nil && !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("error %v, want prefix %q", err, c.want)
			}
			if errors.Is(err, ErrNoCapacity) != c.noCapacity {
				t.Errorf("error %v: is ErrNoCapacity %t, want %t", err, !c.noCapacity, c.noCapacity)
			}
		})
	}
}

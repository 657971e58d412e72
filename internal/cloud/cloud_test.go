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

// fakeCloud is a transport that responds the same to all requests, and counts them.
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

// always lets every request be sent.
func always() bool { return true }

// TestTermEndsWhileWaiting has a leader's term end while its requests wait for the rate limit.
// The cloud knows no fencing token: a termination sent then would take instances from the next
// leader.
func TestTermEndsWhileWaiting(t *testing.T) {
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
					t.Fatalf("while the term lasts: %v", err)
				}
				if err := call(c, inTerm); !errors.Is(err, ErrNotSent) {
					t.Errorf("after the term: %v", err)
				}
				if time.Since(start) < time.Second || transport.requests != 1 {
					t.Errorf("%d requests were sent in %v", transport.requests, time.Since(start))
				}
			})
		})
	}
}

// TestErrors checks which responses mean that there is no capacity, and that errors name the
// request.
func TestErrors(t *testing.T) {
	launch := func(c *Client) error {
		_, err := c.Launch(context.Background(), wire.LaunchRequest{RequestID: "r-1", Count: 1}, always)
		return err
	}
	terminate := func(c *Client) error {
		return c.Terminate(context.Background(), []string{"i-1", "i-2"}, always)
	}
	list := func(c *Client) error { _, err := c.ListInstances(context.Background()); return err }
	types := func(c *Client) error { _, err := c.InstanceTypes(context.Background()); return err }
	noCapacity := wire.ErrorResponse{Message: "no capacity"}
	cases := []struct {
		name       string
		call       func(c *Client) error
		status     int
		body       any
		want       string // the beginning of the error; empty: none
		noCapacity bool
	}{
		{"a launch", launch, 200, wire.InstanceIDs{IDs: []string{"i-1"}}, "", false},
		{"no capacity", launch, 503, noCapacity, "cloud: launch r-1: no capacity", true},
		{"no capacity by another status", launch, 400, noCapacity, "cloud: launch r-1: answered 400 no capacity", false},
		{"an outage", launch, 503, wire.ErrorResponse{Message: "trouble"}, "cloud: launch r-1: answered 503 trouble", false},
		{"a status without a reason", launch, 429, nil, "cloud: launch r-1: answered 429", false},
		{"a response that is no list", launch, 200, 7, "cloud: launch r-1: decode response: ", false},
		{"a termination", terminate, 200, nil, "", false},
		{"a termination that fails", terminate, 503, nil, "cloud: terminate 2 instances: answered 503", false},
		{"a list", list, 200, wire.InstancePage{}, "", false},
		{"a list that fails", list, 500, nil, `cloud: list instances after "": answered 500`, false},
		{"instance types", types, 200, wire.InstanceTypeList{}, "", false},
		{"instance types that fail", types, 500, nil, "cloud: list instance types: answered 500", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := c.call(New("cloud", settings.Cloud{RPS: 1}, &fakeCloud{status: c.status, body: c.body}))
			if (err == nil) != (c.want == "") || err != nil && !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
			if errors.Is(err, ErrNoCapacity) != c.noCapacity {
				t.Errorf("error %v: no capacity is %t, want %t", err, !c.noCapacity, c.noCapacity)
			}
		})
	}
}

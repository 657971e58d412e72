// Package cloud provides a client of the cloud provider's instance API.
//
// The package owns the requests, their timeouts and this node's share of the cloud's rate limit. It must not decide
// which instances are launched or terminated. It never repeats a request, as one without a response may still be
// executed.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"golang.org/x/time/rate"

	"caperlatch/internal/micros"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// ErrNoCapacity means that the cloud has no instance of the requested type, in the requested zone, spot or on demand as
// requested. The launch was not executed.
var ErrNoCapacity = errors.New(wire.MessageNoCapacity)

// ErrNotSent means that a request was not sent, as this node may no longer act as the leader.
var ErrNotSent = errors.New("request not sent: the leader's term may have ended")

// The most instances in one request of each kind, and in one page of a list.
const (
	MaxInstancesPerLaunch      = 50
	MaxInstancesPerTermination = 100
	maxInstancesPerPage        = 500
)

// requestTimeout bounds a request from when it is sent.
const requestTimeout = 5 * micros.Second

// requestShare is the share of the cloud's rate limit that each node may use. It is most of the limit, as only the
// leader sends many requests.
const requestShare = 0.75

// Client sends requests to the cloud, within this node's share of the cloud's rate limit. It is safe for concurrent
// use. After any error other than ErrNoCapacity and ErrNotSent, it is unknown whether the request was or will be
// executed.
type Client struct {
	baseURL  string
	http     *http.Client
	requests *rate.Limiter
}

// New returns a client that sends requests with transport to the cloud at addr, a host and port.
func New(addr string, limits settings.Cloud, transport http.RoundTripper) *Client {
	return &Client{
		baseURL:  "http://" + addr,
		http:     &http.Client{Transport: transport},
		requests: rate.NewLimiter(rate.Limit(limits.RPS*requestShare), max(1, int(limits.RPS))),
	}
}

// request is a request to the cloud.
type request struct {
	name   string // names the request in errors
	method string
	path   string
	body   any // nil for no body
	// canSend, if set, is called right before the request is sent, after the wait for the rate limit. If it returns
	// false, the request is not sent.
	canSend func() bool
}

// call sends a request once the rate limit allows it. If the status is 200, it decodes the body of the response into
// out, unless out is nil. Its errors name the request.
func (c *Client) call(ctx context.Context, r request, out any) error {
	if err := c.send(ctx, r, out); err != nil {
		return fmt.Errorf("cloud: %s: %w", r.name, err)
	}
	return nil
}

// send does the work of call. Its errors do not name the request.
func (c *Client) send(ctx context.Context, r request, out any) error {
	if err := c.requests.Wait(ctx); err != nil {
		return err
	}
	if r.canSend != nil && !r.canSend() {
		return ErrNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	status, response, err := wire.Call(ctx, c.http, r.method, c.baseURL+r.path, r.body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return statusError(status, response)
	}
	if out == nil {
		return nil
	}
	if err := wire.Unmarshal(response, out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// statusError returns the error for a response with a status other than 200.
func statusError(status int, response []byte) error {
	var reason wire.ErrorResponse
	err := wire.Unmarshal(response, &reason)
	if err == nil && status == http.StatusServiceUnavailable && reason.Message == wire.MessageNoCapacity {
		return ErrNoCapacity
	}
	return fmt.Errorf("unexpected status %d %s", status, reason.Message)
}

// InstanceTypes returns the cloud's instance types with their current prices.
func (c *Client) InstanceTypes(ctx context.Context) (wire.InstanceTypeList, error) {
	var types wire.InstanceTypeList
	err := c.call(ctx, request{name: "list instance types", method: http.MethodGet, path: wire.PathInstanceTypes}, &types)
	return types, err
}

// Launch launches instances and returns their IDs, which may be fewer than requested. A repeated request ID gets the
// same response again. The request is sent only if canSend, called right before, returns true.
func (c *Client) Launch(ctx context.Context, launch wire.LaunchRequest, canSend func() bool) (ids []string, err error) {
	r := request{name: "launch " + launch.RequestID, method: http.MethodPost, path: wire.PathInstances, body: launch, canSend: canSend}
	var launched wire.InstanceIDs
	err = c.call(ctx, r, &launched)
	return launched.IDs, err
}

// Terminate terminates instances. Once it has returned nil, the instances and everything that ran on them are gone. The
// request is sent only if canSend, called right before, returns true: the cloud has no fencing tokens, by which it could
// refuse a leader whose term ended while the request waited for the rate limit.
func (c *Client) Terminate(ctx context.Context, ids []string, canSend func() bool) error {
	return c.call(ctx, request{
		name:    fmt.Sprintf("terminate %d instances", len(ids)),
		method:  http.MethodPost,
		path:    wire.PathTerminations,
		body:    wire.InstanceIDs{IDs: ids},
		canSend: canSend,
	}, nil)
}

// ListInstances returns the cloud's list of all instances, which may be out of date.
func (c *Client) ListInstances(ctx context.Context) ([]wire.InstanceStatus, error) {
	var all []wire.InstanceStatus
	after := ""
	for {
		query := url.Values{wire.QueryLimit: {strconv.Itoa(maxInstancesPerPage)}}
		if after != "" {
			query.Set(wire.QueryAfter, after)
		}
		r := request{name: "list instances after " + strconv.Quote(after), method: http.MethodGet, path: wire.PathInstances + "?" + query.Encode()}
		var page wire.InstancePage
		if err := c.call(ctx, r, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Instances...)
		if !page.HasMore || len(page.Instances) == 0 {
			return all, nil
		}
		after = page.Instances[len(page.Instances)-1].ID
	}
}

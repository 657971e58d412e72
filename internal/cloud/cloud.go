// Package cloud is the client of the cloud's interface for instances.
//
// It owns the requests, their timeouts and this node's share of the cloud's rate limit. It must
// not decide what is launched or terminated, and repeats nothing by itself: a request without a
// response may yet be carried out.
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

// ErrNoCapacity reports that the cloud has no instance of the requested type and zone, spot or
// on demand as requested. The launch was not carried out.
var ErrNoCapacity = errors.New(wire.MessageNoCapacity)

// ErrNotSent reports that a request was not sent, as its leader may no longer act.
var ErrNotSent = errors.New("not sent, the term may be over")

// The most instances in a request.
const (
	MaxInstancesPerLaunch      = 50
	MaxInstancesPerTermination = 100
	maxInstancesPerPage        = 500
)

// requestTimeout bounds a request once it is sent.
const requestTimeout = 5 * micros.Second

// requestShare is the share of the cloud's rate limit that a node may use: only the leader sends
// many requests, so it takes most of it.
const requestShare = 0.75

// Client sends requests to the cloud, within this node's share of its rate limit. It is safe for
// concurrent use. After any error but ErrNoCapacity and ErrNotSent it is unknown whether the
// request was or will be carried out.
type Client struct {
	base     string
	http     *http.Client
	requests *rate.Limiter
}

// New returns a client of the cloud at addr, a host and port, which goes by transport.
func New(addr string, limits settings.Cloud, transport http.RoundTripper) *Client {
	return &Client{
		base:     "http://" + addr,
		http:     &http.Client{Transport: transport},
		requests: rate.NewLimiter(rate.Limit(limits.RPS*requestShare), max(1, int(limits.RPS))),
	}
}

// request is a request to the cloud.
type request struct {
	name   string // of the request, in errors
	method string
	path   string
	body   any // nil: none
	// canSend, if set, is asked right before the request is sent, after the wait for the rate
	// limit.
	canSend func() bool
}

// call sends a request once the rate limit allows it, and decodes the body of a 200 into out
// unless that is nil. Its errors name the request.
func (c *Client) call(ctx context.Context, r request, out any) error {
	if err := c.send(ctx, r, out); err != nil {
		return fmt.Errorf("cloud: %s: %w", r.name, err)
	}
	return nil
}

// send is call, but for the name of the request in errors.
func (c *Client) send(ctx context.Context, r request, out any) error {
	if err := c.requests.Wait(ctx); err != nil {
		return err
	}
	if r.canSend != nil && !r.canSend() {
		return ErrNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	status, response, err := wire.Call(ctx, c.http, r.method, c.base+r.path, r.body)
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

// statusError returns the error that a status other than 200 stands for.
func statusError(status int, response []byte) error {
	var reason wire.ErrorResponse
	err := wire.Unmarshal(response, &reason)
	if err == nil && status == http.StatusServiceUnavailable && reason.Message == wire.MessageNoCapacity {
		return ErrNoCapacity
	}
	return fmt.Errorf("answered %d %s", status, reason.Message)
}

// InstanceTypes returns the cloud's instance types with their present prices.
func (c *Client) InstanceTypes(ctx context.Context) (wire.InstanceTypeList, error) {
	var types wire.InstanceTypeList
	err := c.call(ctx, request{name: "list instance types", method: http.MethodGet, path: wire.PathInstanceTypes}, &types)
	return types, err
}

// Launch launches instances and returns their IDs, which may be fewer than requested. The same
// request ID gets the same answer. The request is sent only if canSend returns true right before.
func (c *Client) Launch(ctx context.Context, launch wire.LaunchRequest, canSend func() bool) (ids []string, err error) {
	r := request{name: "launch " + launch.RequestID, method: http.MethodPost, path: wire.PathInstances, body: launch, canSend: canSend}
	var launched wire.InstanceIDs
	err = c.call(ctx, r, &launched)
	return launched.IDs, err
}

// Terminate terminates instances. After a nil error they and all that was on them are gone. The
// request is sent only if canSend returns true right before: the cloud knows no fencing token
// that would refuse a leader whose term has ended while it waited.
func (c *Client) Terminate(ctx context.Context, ids []string, canSend func() bool) error {
	return c.call(ctx, request{
		name:    fmt.Sprintf("terminate %d instances", len(ids)),
		method:  http.MethodPost,
		path:    wire.PathTerminations,
		body:    wire.InstanceIDs{IDs: ids},
		canSend: canSend,
	}, nil)
}

// ListInstances returns the whole list of instances, which may be old.
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

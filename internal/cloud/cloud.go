// Package cloud is the client of the cloud's interface.
//
// It owns the requests, their timeouts and this node's share of the cloud's rate limit.
// It does not decide what is rented or returned, and repeats nothing by itself.
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

// ErrNoCapacity says that the cloud has no machine of the asked type, zone and
// kind.
var ErrNoCapacity = errors.New(noCapacity)

// ErrNotSent says that a request was not sent, as its leader may no longer act.
var ErrNotSent = errors.New("cloud: not sent, the term may be over")

// Limits of the interface.
const (
	MaxInstancesPerLaunch      = 50
	MaxInstancesPerTermination = 100
	maxList                    = 500
	timeout                    = 5 * micros.Second
)

// requestShare is which part of the rate limit a node may use: only the leader calls often.
const requestShare = 0.75

// noCapacity is what the cloud says when it has no such machine.
const noCapacity = "no capacity"

// Client talks to the cloud. Any error but ErrNoCapacity leaves open whether
// the request was or will be carried out.
type Client struct {
	base  string
	http  *http.Client
	calls *rate.Limiter
}

// New makes a client for the cloud at addr. Only the leader calls it often, so
// it takes most of the limit.
func New(addr string, limits settings.Cloud, transport http.RoundTripper) *Client {
	return &Client{
		base:  "http://" + addr,
		http:  &http.Client{Transport: transport},
		calls: rate.NewLimiter(rate.Limit(limits.RPS*requestShare), max(1, int(limits.RPS))),
	}
}

// request is a request to the cloud.
type request struct {
	method, path string
	body         any
	// mayGo, if set, is asked at the moment of sending, after the wait for the rate limit.
	mayGo func() bool
}

// call sends a request and decodes a 200 into out.
func (c *Client) call(ctx context.Context, q request, out any) error {
	if err := c.calls.Wait(ctx); err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	if q.mayGo != nil && !q.mayGo() {
		return ErrNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	status, body, err := wire.Call(ctx, c.http, q.method, c.base+q.path, q.body)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	if status != http.StatusOK {
		var e wire.ErrorResponse
		if wire.Unmarshal(body, &e) == nil && status == http.StatusServiceUnavailable && e.Message == noCapacity {
			return ErrNoCapacity
		}
		return fmt.Errorf("cloud: %s answered %d %s", q.path, status, e.Message)
	}
	if out == nil {
		return nil
	}
	if err := wire.Unmarshal(body, out); err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	return nil
}

// InstanceTypes reads the machine types.
func (c *Client) InstanceTypes(ctx context.Context) (wire.InstanceTypeList, error) {
	var out wire.InstanceTypeList
	err := c.call(ctx, request{method: http.MethodGet, path: "/catalog"}, &out)
	return out, err
}

// Launch asks for machines; the same request name gets the same answer. It is sent only if
// mayGo says so at that moment.
func (c *Client) Launch(ctx context.Context, r wire.LaunchRequest, mayGo func() bool) ([]string, error) {
	var out wire.InstanceIDs
	err := c.call(ctx, request{method: http.MethodPost, path: "/hosts", body: r, mayGo: mayGo}, &out)
	return out.IDs, err
}

// Terminate gives machines back. After a nil error they and all that was on them
// are gone. It is sent only if mayGo says so at that moment: the cloud knows no token that
// would refuse a leader whose term has ended while it waited.
func (c *Client) Terminate(ctx context.Context, ids []string, mayGo func() bool) error {
	q := request{method: http.MethodPost, path: "/hosts/return", body: wire.InstanceIDs{IDs: ids}, mayGo: mayGo}
	return c.call(ctx, q, nil)
}

// ListInstances reads the whole list of machines, which may be old.
func (c *Client) ListInstances(ctx context.Context) ([]wire.InstanceStatus, error) {
	var all []wire.InstanceStatus
	after := ""
	for {
		q := url.Values{"most": {strconv.Itoa(maxList)}}
		if after != "" {
			q.Set("after", after)
		}
		var page wire.InstancePage
		if err := c.call(ctx, request{method: http.MethodGet, path: "/hosts?" + q.Encode()}, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Instances...)
		if !page.HasMore || len(page.Instances) == 0 {
			return all, nil
		}
		after = page.Instances[len(page.Instances)-1].ID
	}
}

package fake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"caperlatch/internal/wire"
)

// errConnectionRefused is what a sender gets where nobody listens.
var errConnectionRefused = errors.New("connection refused")

// Fault is what happens to a request or its response.
type Fault int

// The faults.
const (
	NoFault            Fault = iota
	ServiceUnavailable       // answered with 503, not handled
	DroppedRequest           // neither handled nor answered
	DroppedResponse          // handled, not answered
	DelayedRequest           // handled after the sender has given up, not answered
	DuplicatedRequest        // handled and answered, and a copy of it is handled later
	TooManyRequests          // answered with 429, not handled
	HighLatency              // the request and its response take messageLatency each
	DelayedStarts            // a response with start commands takes startsDelay
)

// The delays of faults.
const (
	// messageLatency is how long a message takes with HighLatency.
	messageLatency = 300 * time.Millisecond
	// startsDelay is nearly as long as a worker waits for the response to a heartbeat.
	startsDelay = 3500 * time.Millisecond
)

// requestDelay is how long the nth delayed request takes: 2 to 12 s, so that they overtake each
// other.
func requestDelay(n int) time.Duration { return 2*time.Second + time.Duration(n*7%11)*time.Second }

// duplicateDelay is how long the copy of the nth request takes that is delayed or duplicated: from
// 2 s to well over the tests' lease.
func duplicateDelay(n int) time.Duration { return 2*time.Second + time.Duration(n*7%17)*time.Second }

// FaultFunc chooses the fault of a request.
type FaultFunc func(from string, r *http.Request) Fault

// Network carries HTTP requests to handlers by host.
type Network struct {
	delayed sync.WaitGroup // requests that are handled apart from their senders

	mu                    sync.Mutex // guards what follows
	handlers              map[string]http.Handler
	fault                 FaultFunc      // nil: no faults
	workerCalls           map[string]int // to workers in progress, by sender
	maxWorkerCalls        int            // of these at a time, of any sender
	delayedRequests       int            // so far, with the duplicated ones
	delayedStartResponses int            // so far
}

// NewNetwork returns a network without handlers and faults.
func NewNetwork() *Network {
	return &Network{handlers: map[string]http.Handler{}, workerCalls: map[string]int{}}
}

// Handle sets the handler of a host; nil removes it, and connections to the host are refused.
func (n *Network) Handle(host string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[host] = h
}

// SetFault has f choose the faults of requests from now on; nil: no faults. It is called without a
// lock, for several requests at a time.
func (n *Network) SetFault(f FaultFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
}

// DelayedStartResponses counts the responses with start commands that were delayed.
func (n *Network) DelayedStartResponses() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delayedStartResponses
}

// MaxWorkerCalls returns how many calls to workers any one sender had in progress at most.
func (n *Network) MaxWorkerCalls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.maxWorkerCalls
}

// WaitDelayed waits until all delayed requests have been handled.
func (n *Network) WaitDelayed() { n.delayed.Wait() }

// From returns the network as one sender uses it.
func (n *Network) From(sender string) http.RoundTripper { return &transport{n, sender} }

// transport is a sender's way into the network.
type transport struct {
	network *Network
	sender  string
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	n := t.network
	n.mu.Lock()
	handler, chooseFault := n.handlers[r.URL.Host], n.fault
	if isWorkerHost(r.URL.Host) {
		n.workerCalls[t.sender]++
		n.maxWorkerCalls = max(n.maxWorkerCalls, n.workerCalls[t.sender])
		defer n.endWorkerCall(t.sender)
	}
	n.mu.Unlock()
	fault := NoFault
	if chooseFault != nil {
		// Not under the lock: it may look at machines, while the cloud adds one to the network.
		fault = chooseFault(t.sender, r)
	}
	if handler == nil {
		return nil, errConnectionRefused
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	return n.deliver(&call{handler, r, body}, fault)
}

// endWorkerCall counts a call to a worker as over.
func (n *Network) endWorkerCall(sender string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.workerCalls[sender]--
}

// isWorkerHost reports whether a host is a worker's address.
func isWorkerHost(host string) bool { return strings.HasSuffix(host, workerPort) }

// readBody reads and closes the body of a request.
func readBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r.Body.Close()
	return body, nil
}

// call is a request on its way to its handler.
type call struct {
	handler http.Handler
	request *http.Request
	body    []byte
}

// handle has the request handled.
func (c *call) handle(ctx context.Context) *http.Response {
	recorder := httptest.NewRecorder()
	r := c.request.Clone(ctx)
	r.Body = io.NopCloser(bytes.NewReader(c.body))
	c.handler.ServeHTTP(recorder, r)
	return recorder.Result()
}

// respond answers the request with a status code and no body.
func (c *call) respond(code int) *http.Response {
	return &http.Response{StatusCode: code, Body: http.NoBody, Header: http.Header{}, Request: c.request}
}

// deliver carries a request to its handler and the response back, with a fault.
func (n *Network) deliver(c *call, fault Fault) (*http.Response, error) {
	ctx := c.request.Context()
	switch fault {
	case NoFault:
		return n.deliverWithoutFault(c)
	case ServiceUnavailable:
		return c.respond(http.StatusServiceUnavailable), nil
	case TooManyRequests:
		return c.respond(http.StatusTooManyRequests), nil
	case HighLatency:
		time.Sleep(messageLatency)
		response := c.handle(ctx)
		time.Sleep(messageLatency)
		return response, ctx.Err()
	case DelayedStarts:
		return n.deliverWithDelayedStarts(c)
	case DuplicatedRequest:
		n.handleLater(c, duplicateDelay)
		return c.handle(ctx), nil
	case DroppedResponse:
		c.handle(ctx)
	case DelayedRequest:
		n.handleLater(c, requestDelay)
	case DroppedRequest:
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// deliverWithoutFault has a request handled. A worker handles what was sent to it also when the
// sender gives up: a machine that hangs does so once it goes on.
func (n *Network) deliverWithoutFault(c *call) (*http.Response, error) {
	ctx := c.request.Context()
	if !isWorkerHost(c.request.URL.Host) {
		return c.handle(ctx), nil
	}
	handled := make(chan *http.Response, 1)
	n.delayed.Go(func() { handled <- c.handle(context.WithoutCancel(ctx)) })
	select {
	case response := <-handled:
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// deliverWithDelayedStarts has a request handled, and delays a response with start commands.
func (n *Network) deliverWithDelayedStarts(c *call) (*http.Response, error) {
	ctx := c.request.Context()
	response := c.handle(ctx)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	if bytes.Contains(body, []byte(wire.VerbStart)) {
		n.mu.Lock()
		n.delayedStartResponses++
		n.mu.Unlock()
		time.Sleep(startsDelay)
	}
	return response, ctx.Err()
}

// handleLater has a request handled after a delay that depends on how many were delayed before.
func (n *Network) handleLater(c *call, delayOf func(n int) time.Duration) {
	n.mu.Lock()
	n.delayedRequests++
	delay := delayOf(n.delayedRequests)
	n.mu.Unlock()
	n.delayed.Go(func() {
		time.Sleep(delay)
		c.handle(context.Background())
	})
}

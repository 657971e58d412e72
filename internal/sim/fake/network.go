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

// errConnectionRefused is the error for a host that has no handler or listener, or cannot be reached.
var errConnectionRefused = errors.New("connection refused")

// Fault is a fault that is injected into a request or its response.
type Fault int

// The faults of requests.
const (
	NoFault            Fault = iota
	ServiceUnavailable       // the response is 503, and the request is not handled
	DroppedRequest           // the request is not handled, and there is no response
	DroppedResponse          // the request is handled, but there is no response
	DelayedRequest           // the request is handled after a delay (requestDelay), and there is no response
	DuplicatedRequest        // the request is handled and answered, and a copy of it is handled later
	TooManyRequests          // the response is 429, and the request is not handled
	HighLatency              // the request and its response are each delayed by messageLatency
	DelayedStarts            // a response with start commands is delayed by startResponseDelay
)

const (
	// messageLatency is the delay of each message under HighLatency.
	messageLatency = 300 * time.Millisecond
	// startResponseDelay is the delay of responses under DelayedStarts. It is slightly below responseTimeout, for
	// which a worker waits for the response to a heartbeat.
	startResponseDelay = 3500 * time.Millisecond
)

// requestDelay returns the delay of a delayed request, which is the nth of all delayed and duplicated requests: 2 to
// 12 s, so that requests overtake each other.
func requestDelay(n int) time.Duration { return 2*time.Second + time.Duration(n*7%11)*time.Second }

// duplicateDelay returns the delay of the copy of a duplicated request, which is the nth of all delayed and duplicated
// requests: from 2 s to well over the lease duration of the tests.
func duplicateDelay(n int) time.Duration { return 2*time.Second + time.Duration(n*7%17)*time.Second }

// FaultFunc returns the fault to inject into a request from a sender.
type FaultFunc func(from string, r *http.Request) Fault

// CopiesFunc returns the delays after which copies of a request from a sender arrive at the request's host, in addition
// to the request itself and whatever becomes of it. Nobody receives the responses to the copies.
type CopiesFunc func(from string, r *http.Request, body []byte) []time.Duration

// Network is an HTTP network within one process: it passes each request to the handler of its host.
type Network struct {
	delayed sync.WaitGroup // handlers that run independently of their sender

	mu                    sync.Mutex // guards the fields below
	handlers              map[string]http.Handler
	fault                 FaultFunc      // nil: no faults
	copies                CopiesFunc     // nil: no copies
	deliveredCopies       int            // number of copies that a handler has handled
	workerCalls           map[string]int // number of requests to workers in progress, by sender
	maxWorkerCalls        int            // the highest value that any entry of workerCalls has had
	delayedRequests       int            // number of delayed and duplicated requests so far
	delayedStartResponses int            // number of delayed responses with start commands so far
}

// NewNetwork returns a network without handlers or faults.
func NewNetwork() *Network {
	return &Network{handlers: map[string]http.Handler{}, workerCalls: map[string]int{}}
}

// Handle sets the handler of a host. If h is nil, it removes the handler, and connections to the host are refused.
func (n *Network) Handle(host string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[host] = h
}

// SetFault sets the function that returns the fault of each request; nil: no faults. f is called without a lock, and
// concurrently for several requests.
func (n *Network) SetFault(f FaultFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
}

// SetCopies sets the function that returns the copies of each request; nil: no copies. f is called without a lock, and
// concurrently for several requests.
func (n *Network) SetCopies(f CopiesFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.copies = f
}

// DeliveredCopies returns the number of copies of requests that were handled.
func (n *Network) DeliveredCopies() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.deliveredCopies
}

// DelayedStartResponses returns the number of responses with start commands that were delayed.
func (n *Network) DelayedStartResponses() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delayedStartResponses
}

// MaxWorkerCalls returns the highest number of requests to workers that any one sender had in progress at once.
func (n *Network) MaxWorkerCalls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.maxWorkerCalls
}

// WaitDelayed waits until all requests that are handled independently of their sender have been handled.
func (n *Network) WaitDelayed() { n.delayed.Wait() }

// From returns the transport through which a sender sends its requests.
func (n *Network) From(sender string) http.RoundTripper { return &transport{n, sender} }

// transport sends the requests of one sender to the network.
type transport struct {
	network *Network
	sender  string
}

// RoundTrip passes a request to its handler, with the fault that the network's FaultFunc returns.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	n := t.network
	n.mu.Lock()
	handler, chooseFault, copiesOf := n.handlers[r.URL.Host], n.fault, n.copies
	if isWorkerHost(r.URL.Host) {
		n.workerCalls[t.sender]++
		n.maxWorkerCalls = max(n.maxWorkerCalls, n.workerCalls[t.sender])
		defer n.endWorkerCall(t.sender)
	}
	n.mu.Unlock()
	fault := NoFault
	if chooseFault != nil {
		// The lock is not held here: chooseFault may take the cloud's lock, and the cloud holds that lock while it
		// adds a machine to the network.
		fault = chooseFault(t.sender, r)
	}
	if handler == nil {
		return nil, errConnectionRefused
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	if copiesOf != nil {
		for _, delay := range copiesOf(t.sender, r, body) {
			n.deliverCopy(r, body, delay)
		}
	}
	return n.deliver(&call{handler, r, body}, fault)
}

// deliverCopy passes a copy of a request, after a delay, to whatever handler its host then has.
func (n *Network) deliverCopy(r *http.Request, body []byte, delay time.Duration) {
	n.delayed.Go(func() {
		time.Sleep(delay)
		n.mu.Lock()
		handler := n.handlers[r.URL.Host]
		if handler != nil {
			n.deliveredCopies++
		}
		n.mu.Unlock()
		if handler != nil {
			(&call{handler, r, body}).handle(context.Background())
		}
	})
}

// endWorkerCall records that a request of a sender to a worker has ended.
func (n *Network) endWorkerCall(sender string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.workerCalls[sender]--
}

// isWorkerHost reports whether a host is the address of a worker.
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

// call is a request with its handler and its body, which may be delivered several times.
type call struct {
	handler http.Handler
	request *http.Request
	body    []byte
}

// handle calls the handler and returns its response.
func (c *call) handle(ctx context.Context) *http.Response {
	recorder := httptest.NewRecorder()
	r := c.request.Clone(ctx)
	r.Body = io.NopCloser(bytes.NewReader(c.body))
	c.handler.ServeHTTP(recorder, r)
	return recorder.Result()
}

// respond returns a response with a status code and no body.
func (c *call) respond(code int) *http.Response {
	return &http.Response{StatusCode: code, Body: http.NoBody, Header: http.Header{}, Request: c.request}
}

// deliver passes a request to its handler and returns the response, with a fault injected.
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

// deliverWithoutFault passes a request to its handler. A worker handles the request even if the sender gives up
// first: a machine that hangs handles it when it resumes.
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

// deliverWithDelayedStarts passes a request to its handler, and delays the response if it has start commands.
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
		time.Sleep(startResponseDelay)
	}
	return response, ctx.Err()
}

// handleLater handles a request in the background, after the delay that delayOf returns for the number of delayed and
// duplicated requests, including this one.
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

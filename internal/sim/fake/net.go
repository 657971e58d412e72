// Package fake holds small stand-ins of the state service, the cloud and
// the workers, for tests of whole nodes in one process. They keep to the
// protocol as far as the tests need it and watch the rules.
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

// Fault is what happens to a request on its way.
type Fault int

// The faults. With DroppedResponse the request is carried out and nobody hears of
// it; with Late it is carried out after the caller has given up; with Copied it is
// answered, and a copy of it comes late; with Slow it and its answer take a while;
// with DelayedStarts an answer that carries starts is held up for nearly as long as a worker waits.
const (
	NoFault Fault = iota
	ServiceUnavailable
	DroppedRequest
	DroppedResponse
	DelayedRequest
	DuplicatedRequest
	TooManyRequests
	HighLatency
	DelayedStarts
)

// lateBy is when the nth late request is carried out: 2 to 12 s after it was sent, so
// that they overtake each other.
func lateBy(n int) time.Duration { return 2*time.Second + time.Duration(n*7%11)*time.Second }

// copyBy is when a copy of the nth request that is copied is carried out: from 2 s later
// to well over the tests' lease.
func copyBy(n int) time.Duration { return 2*time.Second + time.Duration(n*7%17)*time.Second }

// startsBy is how long answers with starts are held up.
const startsBy = 3500 * time.Millisecond

// slowBy is how long a slow message takes.
const slowBy = 300 * time.Millisecond

// Network carries requests to handlers by host.
type Network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	fault    func(from string, r *http.Request) Fault
	late     sync.WaitGroup
	calls    map[string]int // to workers in progress, by sender
	most     int            // of these at a time, of any sender
	lates    int            // late requests so far
	starts   int            // answers with starts that were held up
}

// DelayedStartResponses counts the answers with starts that were held up.
func (n *Network) DelayedStartResponses() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts
}

// NewNetwork makes a network without faults.
func NewNetwork() *Network {
	return &Network{handlers: map[string]http.Handler{}, calls: map[string]int{}}
}

// MaxWorkerCalls is how many calls to workers a sender had in progress at most.
func (n *Network) MaxWorkerCalls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.most
}

// Handle puts a handler at a host; nil takes it away.
func (n *Network) Handle(host string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[host] = h
}

// SetFault decides what happens to requests from now on; nil lets all pass. It is called
// for several requests at a time.
func (n *Network) SetFault(f func(from string, r *http.Request) Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
}

// WaitDelayed waits until all late requests have been carried out.
func (n *Network) WaitDelayed() { n.late.Wait() }

// From is the network as seen by one sender.
func (n *Network) From(name string) http.RoundTripper { return &transport{n, name} }

type transport struct {
	net  *Network
	from string
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.net.mu.Lock()
	h := t.net.handlers[r.URL.Host]
	decide := t.net.fault
	if strings.HasSuffix(r.URL.Host, workerPort) {
		t.net.calls[t.from]++
		t.net.most = max(t.net.most, t.net.calls[t.from])
		defer func() {
			t.net.mu.Lock()
			defer t.net.mu.Unlock()
			t.net.calls[t.from]--
		}()
	}
	t.net.mu.Unlock()
	fault := NoFault
	if decide != nil {
		// Not under the lock: it may look at machines, while the cloud adds one to the net.
		fault = decide(t.from, r)
	}
	if h == nil {
		return nil, errors.New("connection refused")
	}
	var body []byte
	if r.Body != nil {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, err
		}
		r.Body.Close()
	}
	serve := func(ctx context.Context) *http.Response {
		rec := httptest.NewRecorder()
		in := r.Clone(ctx)
		in.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(rec, in)
		return rec.Result()
	}
	switch fault {
	case ServiceUnavailable:
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody, Header: http.Header{}, Request: r}, nil
	case TooManyRequests:
		return &http.Response{StatusCode: http.StatusTooManyRequests, Body: http.NoBody, Header: http.Header{}, Request: r}, nil
	case HighLatency:
		time.Sleep(slowBy)
		resp := serve(r.Context())
		time.Sleep(slowBy)
		return resp, r.Context().Err()
	case DelayedStarts:
		resp := serve(r.Context())
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			return nil, err
		}
		resp.Body = io.NopCloser(bytes.NewReader(b))
		if bytes.Contains(b, []byte(wire.VerbStart)) {
			t.net.mu.Lock()
			t.net.starts++
			t.net.mu.Unlock()
			time.Sleep(startsBy)
		}
		return resp, r.Context().Err()
	case DroppedResponse:
		serve(r.Context())
	case DelayedRequest, DuplicatedRequest:
		t.net.mu.Lock()
		t.net.lates++
		by := lateBy(t.net.lates)
		if fault == DuplicatedRequest {
			by = copyBy(t.net.lates)
		}
		t.net.mu.Unlock()
		t.net.late.Go(func() {
			time.Sleep(by)
			serve(context.Background())
		})
		if fault == DuplicatedRequest {
			return serve(r.Context()), nil
		}
	case NoFault:
		if !strings.HasSuffix(r.URL.Host, workerPort) {
			return serve(r.Context()), nil
		}
		// A machine that hangs has what was sent to it, also when the caller gives up.
		answer := make(chan *http.Response, 1)
		t.net.late.Go(func() { answer <- serve(context.WithoutCancel(r.Context())) })
		select {
		case resp := <-answer:
			return resp, nil
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	<-r.Context().Done()
	return nil, r.Context().Err()
}

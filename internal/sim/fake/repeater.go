package fake

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Repeater delivers requests to a handler several times: as they arrive, and again later. It does for real connections
// what Network.SetCopies does for requests on a Network.
type Repeater struct {
	copies  CopiesFunc
	pending sync.WaitGroup // copies that have not been handled yet
}

// NewRepeater returns a repeater of requests. copies returns the delays of the copies of each request; the sender that it
// gets is the address of the connection.
func NewRepeater(copies CopiesFunc) *Repeater { return &Repeater{copies: copies} }

// Handler returns a handler that passes requests and their copies to next. Nobody receives the responses to the copies.
func (p *Repeater) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, delay := range p.copies(r.RemoteAddr, r, body) {
			repeated := r.Clone(context.Background())
			repeated.Body = io.NopCloser(bytes.NewReader(body))
			p.pending.Go(func() {
				time.Sleep(delay)
				next.ServeHTTP(httptest.NewRecorder(), repeated)
			})
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// Wait waits until all copies have been handled.
func (p *Repeater) Wait() { p.pending.Wait() }

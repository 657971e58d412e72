package api

import (
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

const (
	// redirectTTL is how long a redirect is remembered: a worker that is back within it cannot
	// stay with the node that it was sent to.
	redirectTTL = 15 * micros.Second
	// redirectGracePeriod is how soon after its redirect a heartbeat does not show yet that the
	// worker is back.
	redirectGracePeriod = micros.Second
)

// redirects remembers for a while which workers were sent to other nodes. The zero value is
// ready for use.
type redirects struct {
	mu       sync.Mutex
	sentAt   map[string]micros.Micros // by machine
	prunedAt micros.Micros            // when expired ones were last forgotten
}

// noteOrReturned reports whether a machine was redirected a short while ago and is back; it is
// then to be answered here. Otherwise the caller redirects it, which is noted now. A machine
// that is back is redirected again once the note has expired.
func (r *redirects) noteOrReturned(machine string) (returned bool) {
	now := micros.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sentAt == nil || now-r.prunedAt > redirectTTL {
		for id, at := range r.sentAt {
			if now-at > redirectTTL {
				delete(r.sentAt, id)
			}
		}
		r.prunedAt = now
	}
	if r.sentAt == nil {
		r.sentAt = map[string]micros.Micros{}
	}
	redirectedAt, ok := r.sentAt[machine]
	if !ok || now-redirectedAt > redirectTTL {
		r.sentAt[machine] = now
		return false
	}
	return now-redirectedAt > redirectGracePeriod
}

// respondRedirect sends a worker to another node.
func respondRedirect(c echo.Context, member string) error {
	return respond(c, http.StatusMisdirectedRequest, wire.Redirect{Member: member})
}

package api

import (
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

const (
	// redirectTTL is how long a redirect is remembered. A worker that returns within this time evidently cannot use
	// the node that it was redirected to.
	redirectTTL = 15 * micros.Second
	// redirectGracePeriod is the time after a redirect within which another heartbeat does not count as a return of
	// the worker.
	redirectGracePeriod = micros.Second
)

// redirectTracker records for a limited time which workers were redirected to other nodes. The zero value is ready
// for use.
type redirectTracker struct {
	mu             sync.Mutex
	lastRedirectAt map[string]micros.Micros // by machine ID
	prunedAt       micros.Micros            // when expired entries were last removed
}

// recordUnlessReturned reports whether a machine has returned after a recent redirect. The caller must then handle
// its heartbeat instead of redirecting it again. Otherwise the caller is expected to redirect the machine, and the
// redirect is recorded, unless one was recorded within the grace period. A machine that has returned may be
// redirected again once its entry has expired.
func (r *redirectTracker) recordUnlessReturned(machine string) (returned bool) {
	now := micros.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastRedirectAt == nil || now-r.prunedAt > redirectTTL {
		for id, at := range r.lastRedirectAt {
			if now-at > redirectTTL {
				delete(r.lastRedirectAt, id)
			}
		}
		r.prunedAt = now
	}
	if r.lastRedirectAt == nil {
		r.lastRedirectAt = map[string]micros.Micros{}
	}
	redirectedAt, ok := r.lastRedirectAt[machine]
	if !ok || now-redirectedAt > redirectTTL {
		r.lastRedirectAt[machine] = now
		return false
	}
	return now-redirectedAt > redirectGracePeriod
}

// respondRedirect responds with a redirect of a worker to another node.
func respondRedirect(c echo.Context, member string) error {
	return respond(c, http.StatusMisdirectedRequest, wire.Redirect{Member: member})
}

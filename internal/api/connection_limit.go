package api

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// ConnLimiter bounds the connections that users and workers hold open. Over the limit of
// sockets new ones fail, also those to the state service, and a leader that cannot renew its
// session no longer leads: one node that was left with the connections of two thousand
// machines and their users came within a hundred of it. So a share of the sockets is reserved
// for what the node opens itself, and the connection that has been idle for longest is closed
// for a new one; workers and users open another when they need it.
type ConnLimiter struct {
	limit int

	mu   sync.Mutex
	open map[net.Conn]*list.Element // its element in idle, nil while it is in use
	idle list.List                  // of net.Conn, idle for longest first
}

// reservedSocketShare is the share of a node's sockets that is reserved for what it opens
// itself: one in so many.
const reservedSocketShare = 8

// NewConnLimiter returns a limiter for a node that may have so many sockets.
func NewConnLimiter(sockets int) *ConnLimiter {
	return &ConnLimiter{limit: sockets - sockets/reservedSocketShare, open: map[net.Conn]*list.Element{}}
}

// ConnState tracks a connection and closes one if there are too many. It is the ConnState
// of an http.Server.
func (l *ConnLimiter) ConnState(conn net.Conn, state http.ConnState) {
	if evicted := l.track(conn, state); evicted != nil {
		evicted.Close()
	}
}

// track records a connection's state and returns one that is to be closed, or nil.
func (l *ConnLimiter) track(conn net.Conn, state http.ConnState) (evicted net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if element := l.open[conn]; element != nil {
		l.idle.Remove(element)
		l.open[conn] = nil
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(l.open, conn)
		return nil
	case http.StateIdle:
		l.open[conn] = l.idle.PushBack(conn)
		return nil
	case http.StateNew:
		l.open[conn] = nil
	}
	if len(l.open) <= l.limit {
		return nil
	}
	if oldest := l.idle.Front(); oldest != nil {
		evicted = oldest.Value.(net.Conn)
		l.idle.Remove(oldest)
		l.open[evicted] = nil
		return evicted
	}
	if state == http.StateNew {
		return conn // all others are in use
	}
	return nil
}

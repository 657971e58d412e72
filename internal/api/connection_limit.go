package api

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// ConnLimiter limits the number of connections that users and workers hold open.
//
// Once a node has used up its sockets, it cannot open any more, not even to the state service, and a leader
// that cannot renew its session loses its leadership. A single node that served 2000 machines and their users
// came within 100 sockets of its limit. The limiter therefore reserves a share of the sockets for connections
// that the node opens itself. When the rest are used up, it closes the connection that has been idle longest
// to make room for a new one; workers and users reconnect when they need to.
type ConnLimiter struct {
	limit int

	mu   sync.Mutex
	open map[net.Conn]*list.Element // the connection's element in idle; nil while it is in use
	idle list.List                  // of net.Conn, longest idle first
}

// reservedSocketDivisor sets how many sockets are reserved for connections that the node opens itself: the
// node's sockets divided by this number.
const reservedSocketDivisor = 8

// NewConnLimiter returns a limiter for a node that may open the given number of sockets in total.
func NewConnLimiter(sockets int) *ConnLimiter {
	return &ConnLimiter{limit: sockets - sockets/reservedSocketDivisor, open: map[net.Conn]*list.Element{}}
}

// ConnState records a connection's new state, and closes a connection if too many are open. It is meant to be
// used as the ConnState callback of an http.Server.
func (l *ConnLimiter) ConnState(conn net.Conn, state http.ConnState) {
	if evicted := l.track(conn, state); evicted != nil {
		evicted.Close()
	}
}

// track records a connection's new state, and returns the connection that must be closed, or nil.
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
		return conn // no other connection is idle
	}
	return nil
}

package api

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// ConnLimiter bounds the connections that users and workers hold open. Over the limit of
// sockets new ones fail, also those to the state service, and a leader that cannot
// renew its session leads no more: one node that was left with the connections of two
// thousand machines and their users came within a hundred of it. So a part is kept
// free for what the node opens itself, and the connection that has been idle for
// longest makes room; workers and users open another when they need it.
type ConnLimiter struct {
	limit int

	mu   sync.Mutex
	open map[net.Conn]*list.Element // its place among the idle ones, or nil
	idle list.List                  // of net.Conn, idle for longest first
}

// reservedShare is what part of a node's sockets is kept for what it opens itself.
const reservedShare = 8

// NewConnLimiter bounds connections for a node that may have so many sockets.
func NewConnLimiter(sockets int) *ConnLimiter {
	return &ConnLimiter{limit: sockets - sockets/reservedShare, open: map[net.Conn]*list.Element{}}
}

// ConnState follows a connection, as http.Server tells of it.
func (c *ConnLimiter) ConnState(conn net.Conn, s http.ConnState) {
	if over := c.follow(conn, s); over != nil {
		over.Close()
	}
}

// follow notes a connection's state and names one that has to go.
func (c *ConnLimiter) follow(conn net.Conn, s http.ConnState) (over net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := c.open[conn]; at != nil {
		c.idle.Remove(at)
		c.open[conn] = nil
	}
	switch s {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
		return nil
	case http.StateIdle:
		c.open[conn] = c.idle.PushBack(conn)
		return nil
	case http.StateNew:
		c.open[conn] = nil
	}
	if len(c.open) <= c.limit {
		return nil
	}
	if oldest := c.idle.Front(); oldest != nil {
		over = oldest.Value.(net.Conn)
		c.idle.Remove(oldest)
		c.open[over] = nil
		return over
	}
	if s == http.StateNew {
		return conn // all are at work
	}
	return nil
}

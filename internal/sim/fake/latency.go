package fake

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// latencyConn is a connection that delivers what is written to it after a latency, in order. Its
// goroutine ends with Close, which does not wait for it: it may be in a write to a peer that does
// not read, which Close ends.
type latencyConn struct {
	net.Conn
	latency func() time.Duration // called at each write
	done    chan struct{}        // closed with the connection
	once    sync.Once
	wake    chan struct{} // capacity 1: there is something in the queue

	mu    sync.Mutex // guards the queue
	queue []delayedData
}

// delayedData is a piece of a stream on its way.
type delayedData struct {
	due  time.Time
	data []byte
}

// newLatencyConn adds latency to what is written to a connection.
func newLatencyConn(conn net.Conn, latency func() time.Duration) *latencyConn {
	c := &latencyConn{Conn: conn, latency: latency, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	go c.deliver()
	return c
}

// Write sends data on its way; it never blocks.
func (c *latencyConn) Write(data []byte) (int, error) {
	select {
	case <-c.done:
		return 0, net.ErrClosed
	default:
	}
	c.mu.Lock()
	c.queue = append(c.queue, delayedData{time.Now().Add(c.latency()), bytes.Clone(data)})
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return len(data), nil
}

// SetWriteDeadline does nothing, as no write blocks.
func (c *latencyConn) SetWriteDeadline(time.Time) error { return nil }

// Close ends the connection; what is on its way is lost.
func (c *latencyConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// deliver writes what is due until the connection ends.
func (c *latencyConn) deliver() {
	for {
		next, ok := c.pop()
		if !ok {
			select {
			case <-c.done:
				return
			case <-c.wake:
				continue
			}
		}
		select {
		case <-c.done:
			return
		case <-time.After(time.Until(next.due)):
		}
		if _, err := c.Conn.Write(next.data); err != nil {
			return
		}
	}
}

// pop takes the first piece off the queue, if there is one.
func (c *latencyConn) pop() (next delayedData, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return delayedData{}, false
	}
	next, c.queue = c.queue[0], c.queue[1:]
	return next, true
}

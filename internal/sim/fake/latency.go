package fake

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// latencyConn is a connection that delivers written data in order, after a latency. Close stops the delivering
// goroutine but does not wait until it has returned. The goroutine may be blocked in a write to a peer that does not
// read; Close makes that write fail.
type latencyConn struct {
	net.Conn
	latency func() time.Duration // called at each write
	done    chan struct{}        // closed by Close
	once    sync.Once
	wake    chan struct{} // capacity 1: signals that data was queued

	mu    sync.Mutex // guards queue
	queue []delayedData
}

// delayedData is data that is due for delivery at a given time.
type delayedData struct {
	due  time.Time
	data []byte
}

// newLatencyConn returns a connection that delivers data written to conn after the given latency.
func newLatencyConn(conn net.Conn, latency func() time.Duration) *latencyConn {
	c := &latencyConn{Conn: conn, latency: latency, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	go c.deliver()
	return c
}

// Write queues data for delivery; it never blocks.
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

// SetWriteDeadline does nothing, because Write never blocks.
func (c *latencyConn) SetWriteDeadline(time.Time) error { return nil }

// Close closes the connection; queued data is lost.
func (c *latencyConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// deliver writes queued data to the underlying connection when it is due, until the connection is closed.
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

// pop removes and returns the first element of the queue; ok is false if the queue is empty.
func (c *latencyConn) pop() (next delayedData, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return delayedData{}, false
	}
	next, c.queue = c.queue[0], c.queue[1:]
	return next, true
}

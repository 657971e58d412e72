package peer

import (
	"context"
	"fmt"
	"net"
	"sync"

	"caperlatch/internal/wire"
)

// Dial opens a connection.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// Client asks one peer.
type Client struct {
	addr string
	dial Dial

	mu      sync.Mutex
	conn    net.Conn
	nextID  uint64
	waiting map[uint64]chan Response
	sending chan struct{} // holds one while a request is being written

	forwardMu         sync.Mutex
	pendingHeartbeats []*pendingHeartbeat // to be passed on
	forwarding        bool
}

// NewClient makes a client of the peer at addr; it connects when asked.
func NewClient(addr string, dial Dial) *Client {
	return &Client{addr: addr, dial: dial, waiting: map[uint64]chan Response{}, sending: make(chan struct{}, 1)}
}

// Call sends a request and waits for its answer.
func (c *Client) Call(ctx context.Context, q Request) (Response, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return Response{}, fmt.Errorf("peer %s: %w", c.addr, err)
	}
	answer := make(chan Response, 1)
	c.mu.Lock()
	c.nextID++
	q.ID = c.nextID
	c.waiting[q.ID] = answer
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, q.ID)
		c.mu.Unlock()
	}()
	if err := c.send(ctx, conn, q); err != nil {
		c.drop(conn)
		return Response{}, fmt.Errorf("peer %s: %w", c.addr, err)
	}
	select {
	case a, ok := <-answer:
		if !ok {
			return a, fmt.Errorf("peer %s: connection lost", c.addr)
		}
		if a.Error != "" {
			return a, fmt.Errorf("peer %s: %s", c.addr, a.Error)
		}
		return a, nil
	case <-ctx.Done():
		// A stream that does not answer may be cut; a new one tells.
		c.drop(conn)
		return Response{}, fmt.Errorf("peer %s: %w", c.addr, ctx.Err())
	}
}

// send writes a request; only one is written at a time.
func (c *Client) send(ctx context.Context, conn net.Conn, q Request) error {
	select {
	case c.sending <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.sending }()
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetWriteDeadline(deadline); err != nil {
			return err
		}
	}
	return wire.NewEncoder(conn).Encode(q)
}

// connect returns the open connection, or opens one.
func (c *Client) connect(ctx context.Context) (net.Conn, error) {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	conn, err := c.dial(ctx, c.addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil { // another caller was faster
		conn.Close()
		return c.conn, nil
	}
	c.conn = conn
	go c.receive(conn)
	return conn, nil
}

// receive hands out the answers that come on a connection until it fails.
func (c *Client) receive(conn net.Conn) {
	defer c.drop(conn)
	in := &limitedReader{r: conn}
	dec := wire.NewDecoder(in)
	for {
		in.left = maxMessage
		var a Response
		if err := dec.Decode(&a); err != nil {
			return
		}
		c.mu.Lock()
		answer := c.waiting[a.ID]
		delete(c.waiting, a.ID)
		c.mu.Unlock()
		if answer != nil {
			answer <- a
		}
	}
}

// drop closes a connection and tells those who wait on it.
func (c *Client) drop(conn net.Conn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn {
		return
	}
	c.conn = nil
	for id, answer := range c.waiting {
		close(answer)
		delete(c.waiting, id)
	}
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		c.drop(conn)
	}
}

package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"caperlatch/internal/wire"
)

// Dial opens a connection to addr.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// errConnectionLost means that a request's connection ended before the response arrived.
var errConnectionLost = errors.New("connection lost")

// remoteError is the error text with which the peer answered a request.
type remoteError string

// Error returns the error text that the peer sent.
func (e remoteError) Error() string { return string(e) }

// Client sends requests to one peer. It is safe for concurrent use: requests share one connection, and responses may
// arrive in any order.
type Client struct {
	addr string
	dial Dial

	mu             sync.Mutex
	conn           net.Conn // nil while no connection is open
	nextID         uint64
	pending        map[uint64]chan Response // by request ID; closing a channel reports that the connection was lost
	writeSemaphore chan struct{}            // holds one element while a request is being written

	forwardQueue forwardQueue
}

// NewClient returns a client for the peer at addr. The client connects when it sends its first request.
func NewClient(addr string, dial Dial) *Client {
	return &Client{addr: addr, dial: dial, pending: map[uint64]chan Response{}, writeSemaphore: make(chan struct{}, 1)}
}

// Call sends a request and waits for its response. It fails if no response arrives, or with the error that the peer
// answers. Unless the peer answered, it is unknown whether the peer received the request. If ctx ends before the
// response arrives, Call closes the connection, and all requests that are pending on it fail.
func (c *Client) Call(ctx context.Context, request Request) (Response, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return Response{}, fmt.Errorf("peer %s: %w", c.addr, err)
	}
	result := make(chan Response, 1)
	c.mu.Lock()
	c.nextID++
	request.ID = c.nextID
	c.pending[request.ID] = result
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, request.ID)
		c.mu.Unlock()
	}()
	if err := c.send(ctx, conn, request); err != nil {
		c.closeConn(conn)
		return Response{}, fmt.Errorf("peer %s: %w", c.addr, err)
	}
	select {
	case response, ok := <-result:
		if !ok {
			return response, fmt.Errorf("peer %s: %w", c.addr, errConnectionLost)
		}
		if response.Error != "" {
			return response, fmt.Errorf("peer %s: %w", c.addr, remoteError(response.Error))
		}
		return response, nil
	case <-ctx.Done():
		// The network path of this connection may be broken, so the next request opens a new one.
		c.closeConn(conn)
		return Response{}, fmt.Errorf("peer %s: %w", c.addr, ctx.Err())
	}
}

// send writes a request to conn, one request at a time.
func (c *Client) send(ctx context.Context, conn net.Conn, request Request) error {
	select {
	case c.writeSemaphore <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.writeSemaphore }()
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetWriteDeadline(deadline); err != nil {
			return err
		}
	}
	return wire.NewEncoder(conn).Encode(request)
}

// connect returns the open connection, or opens a new one.
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
	if c.conn != nil { // another caller has connected meanwhile
		conn.Close()
		return c.conn, nil
	}
	c.conn = conn
	go c.receiveResponses(conn)
	return conn, nil
}

// receiveResponses delivers the responses that arrive on conn to the pending requests until conn fails or is closed by
// closeConn.
func (c *Client) receiveResponses(conn net.Conn) {
	defer c.closeConn(conn)
	limited := &limitedReader{reader: conn}
	decoder := wire.NewDecoder(limited)
	for {
		limited.remaining = maxMessageBytes
		var response Response
		if err := decoder.Decode(&response); err != nil {
			return
		}
		c.mu.Lock()
		result := c.pending[response.ID]
		delete(c.pending, response.ID)
		c.mu.Unlock()
		if result != nil {
			result <- response
		}
	}
}

// closeConn closes conn and fails the requests that are pending on it.
func (c *Client) closeConn(conn net.Conn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn {
		return
	}
	c.conn = nil
	for id, result := range c.pending {
		close(result)
		delete(c.pending, id)
	}
}

// Close closes the connection if one is open. A later request opens a new one.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		c.closeConn(conn)
	}
}

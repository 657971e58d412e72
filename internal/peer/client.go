package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"caperlatch/internal/wire"
)

// Dial opens a connection.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// errConnectionLost is the error of requests whose connection ended before their response came.
var errConnectionLost = errors.New("connection lost")

// remoteError is what the peer says went wrong there.
type remoteError string

// Error is the peer's text.
func (e remoteError) Error() string { return string(e) }

// Client sends requests to one peer. It is safe for concurrent use: requests share a connection, and responses come
// in any order.
type Client struct {
	addr string
	dial Dial

	mu      sync.Mutex
	conn    net.Conn // nil: none is open
	nextID  uint64
	waiting map[uint64]chan Response // by request ID; a channel is closed if the connection is lost
	writing chan struct{}            // holds one while a request is being written

	forwards forwardQueue
}

// NewClient makes a client of the peer at addr; it connects with the first request.
func NewClient(addr string, dial Dial) *Client {
	return &Client{addr: addr, dial: dial, waiting: map[uint64]chan Response{}, writing: make(chan struct{}, 1)}
}

// Call sends a request and waits for its response. Its error says that there is none, or what the peer says went
// wrong; unless the peer says so, nobody knows whether it got the request. If ctx ends first, the connection
// is closed, and all requests that wait on it fail.
func (c *Client) Call(ctx context.Context, request Request) (Response, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return Response{}, fmt.Errorf("peer %s: %w", c.addr, err)
	}
	result := make(chan Response, 1)
	c.mu.Lock()
	c.nextID++
	request.ID = c.nextID
	c.waiting[request.ID] = result
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, request.ID)
		c.mu.Unlock()
	}()
	if err := c.send(ctx, conn, request); err != nil {
		c.drop(conn)
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
		// The path of a stream without responses may be cut; a new one shows.
		c.drop(conn)
		return Response{}, fmt.Errorf("peer %s: %w", c.addr, ctx.Err())
	}
}

// send writes a request; only one is written at a time.
func (c *Client) send(ctx context.Context, conn net.Conn, request Request) error {
	select {
	case c.writing <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.writing }()
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetWriteDeadline(deadline); err != nil {
			return err
		}
	}
	return wire.NewEncoder(conn).Encode(request)
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

// receive hands out the responses that come on a connection until that fails or is closed by drop.
func (c *Client) receive(conn net.Conn) {
	defer c.drop(conn)
	limited := &limitedReader{reader: conn}
	decoder := wire.NewDecoder(limited)
	for {
		limited.left = maxMessageBytes
		var response Response
		if err := decoder.Decode(&response); err != nil {
			return
		}
		c.mu.Lock()
		result := c.waiting[response.ID]
		delete(c.waiting, response.ID)
		c.mu.Unlock()
		if result != nil {
			result <- response
		}
	}
}

// drop closes a connection and fails the requests that wait on it.
func (c *Client) drop(conn net.Conn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn {
		return
	}
	c.conn = nil
	for id, result := range c.waiting {
		close(result)
		delete(c.waiting, id)
	}
}

// Close closes the connection, if one is open; a later request opens another.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		c.drop(conn)
	}
}

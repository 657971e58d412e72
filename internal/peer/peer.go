// Package peer carries requests between controller nodes: CBOR values on
// streams over net, one stream a direction.
//
// It owns the messages between nodes, their transport and batching, what the peers last
// told, and the versions that they speak. It does not decide what a node answers or what
// follows from its peers' answers.
package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"caperlatch/internal/leader"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// Request asks a peer one of these things.
type Request struct {
	ID      uint64     `json:"id"`
	Probe   *Probe     `json:"probe,omitempty"`
	Relay   []wire.Raw `json:"relay,omitempty"` // workers' reports
	Explain string     `json:"explain,omitempty"`
}

// Probe tells a peer of its sender and asks for its state.
type Probe struct {
	Member string            `json:"member"`
	Token  uint64            `json:"token"`            // highest known
	Leader string            `json:"leader"`           // whose token that is
	Doubt  bool              `json:"doubt"`            // it leads, and does not know whether its hold has ended
	Counts map[string][2]int `json:"counts,omitempty"` // done and running tasks, from the leader
	Since  uint64            `json:"since"`            // revision up to which it knows all cancellations
}

// State is what a node tells of itself.
type State struct {
	Loaded     bool          `json:"loaded"`
	Token      uint64        `json:"token"`       // highest known
	Leader     string        `json:"leader"`      // whose token that is
	SinceHeard micros.Micros `json:"since_heard"` // since the state service last answered it
	Promise    micros.Micros `json:"promise"`     // for this long it will not try to lead; 0: no promise
	Fronts     bool          `json:"fronts"`      // it takes reports and passes them on to the one that asks
	// Cancelled are the cancellations that it knows of since the revision asked for: all
	// there are up to Through, and with Whole all that it ever told a user.
	Cancelled []replica.Cancellation `json:"cancelled"`
	Through   uint64                 `json:"through"`
	Whole     bool                   `json:"whole"`
	Version   int                    `json:"version,omitempty"` // that it speaks
}

// Response answers the request of the same id.
type Response struct {
	ID      uint64              `json:"id"`
	State   *State              `json:"state,omitempty"`
	Relay   []Relayed           `json:"relay,omitempty"`
	Explain *leader.Explanation `json:"explain,omitempty"`
	Error   string              `json:"error,omitempty"`
}

// Relayed is the leader's answer to one report that was passed on, or why there
// is none.
type Relayed struct {
	Answer wire.Raw `json:"answer,omitempty"`
	Error  string   `json:"error,omitempty"`
}

// Handler answers requests at once.
type Handler interface {
	Probed(p *Probe) *State
	Relayed(report wire.Raw) (wire.Raw, error)
	Explained(job string) (leader.Explanation, error)
}

// maxMessage bounds what a peer may send in one value.
const maxMessage = 1 << 20

// Serve answers requests on connections of l until ctx ends.
func Serve(ctx context.Context, l net.Listener, h Handler) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			slog.Debug("peer accept", "error", err)
			time.Sleep((100 * micros.Millisecond).Duration())
			continue
		}
		wg.Go(func() {
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			defer stop()
			defer conn.Close()
			slog.Debug("peer connection ended", "error", serveConn(conn, h))
		})
	}
}

// limitedReader ends a stream whose single value is too large.
type limitedReader struct {
	r    io.Reader
	left int
}

// Read reads at most what is left of the limit.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errors.New("message too large")
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// relayed answers reports that were passed on, as many as one message holds. The rest
// must not be shown to the leader at all: were the message too large, the starts in all
// its answers would be lost, again and again while a whole fleet waits to be filled.
func relayed(reports []wire.Raw, h Handler) []Relayed {
	out, size := make([]Relayed, len(reports)), 0
	for i, r := range reports {
		if size > maxMessage/2 {
			out[i].Error = "too many answers at once"
			continue
		}
		answer, err := h.Relayed(r)
		if out[i].Answer = answer; err != nil {
			out[i].Error = err.Error()
		}
		size += len(answer)
	}
	return out
}

// serveConn answers requests until the connection fails.
func serveConn(conn net.Conn, h Handler) error {
	in := &limitedReader{r: conn}
	dec, enc := wire.NewDecoder(in), wire.NewEncoder(conn)
	for {
		in.left = maxMessage
		var q Request
		if err := dec.Decode(&q); err != nil {
			return err
		}
		a := Response{ID: q.ID}
		var err error
		switch {
		case q.Probe != nil:
			a.State = h.Probed(q.Probe)
		case q.Relay != nil:
			a.Relay = relayed(q.Relay, h)
		case q.Explain != "":
			var e leader.Explanation
			e, err = h.Explained(q.Explain)
			a.Explain = &e
		}
		if err != nil {
			a.Error = err.Error()
		}
		if err := conn.SetWriteDeadline(time.Now().Add(2 * time.Second)); err != nil {
			return err
		}
		if err := enc.Encode(a); err != nil {
			return err
		}
	}
}

// Dial opens a connection.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// Client asks one peer.
type Client struct {
	addr string
	dial Dial

	mu      sync.Mutex
	conn    net.Conn
	next    uint64
	waiting map[uint64]chan Response
	sending chan struct{} // holds one while a request is being written

	relayMu  sync.Mutex
	reports  []*relay // to be passed on
	relaying bool
}

// NewClient makes a client of the peer at addr; it connects when asked.
func NewClient(addr string, dial Dial) *Client {
	return &Client{addr: addr, dial: dial, waiting: map[uint64]chan Response{}, sending: make(chan struct{}, 1)}
}

// Ask sends a request and waits for its answer.
func (c *Client) Ask(ctx context.Context, q Request) (Response, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return Response{}, fmt.Errorf("peer %s: %w", c.addr, err)
	}
	answer := make(chan Response, 1)
	c.mu.Lock()
	c.next++
	q.ID = c.next
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

package fake

import (
	"context"
	"net"
	"sync"
	"time"
)

// PeerNetwork connects controllers within one process with each other through pipes.
type PeerNetwork struct {
	mu          sync.Mutex // guards the fields below
	listeners   map[string]*pipeListener
	partitioned func(from, to string) bool          // nil: no partition
	latency     func(from, to string) time.Duration // nil: no latency
	connections []peerConnection                    // all connections that were made, including closed ones
}

// peerConnection is the end of a connection that the dialing node holds.
type peerConnection struct {
	from, to string
	conn     net.Conn
}

// NewPeerNetwork returns a network without listeners, partitions or latency.
func NewPeerNetwork() *PeerNetwork { return &PeerNetwork{listeners: map[string]*pipeListener{}} }

// SetPartition sets the function that reports whether a node cannot connect to another, and closes the open
// connections between such nodes. f is called with the network's lock held.
func (p *PeerNetwork) SetPartition(f func(from, to string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = f
	for _, c := range p.connections {
		if f(c.from, c.to) {
			c.conn.Close()
		}
	}
}

// SetLatency sets the function that returns the latency from one node to another; nil: no latency. It applies to
// connections that are opened afterwards.
func (p *PeerNetwork) SetLatency(f func(from, to string) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency = f
}

// Listen returns a listener for an address. It replaces any previous listener for that address.
func (p *PeerNetwork) Listen(addr string) net.Listener {
	l := &pipeListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[addr] = l
	return l
}

// Dial connects a node to the listener for an address.
func (p *PeerNetwork) Dial(ctx context.Context, from, addr string) (net.Conn, error) {
	p.mu.Lock()
	listener := p.listeners[addr]
	partitioned := p.partitioned != nil && p.partitioned(from, addr)
	latency := p.latency
	p.mu.Unlock()
	if listener == nil || partitioned {
		return nil, errConnectionRefused
	}
	clientConn, serverConn := net.Pipe()
	if latency != nil {
		clientConn = newLatencyConn(clientConn, func() time.Duration { return latency(from, addr) })
		serverConn = newLatencyConn(serverConn, func() time.Duration { return latency(addr, from) })
		time.Sleep(latency(from, addr) + latency(addr, from)) // connecting takes one round trip
	}
	accepted := false
	defer func() {
		if !accepted {
			clientConn.Close()
			serverConn.Close()
		}
	}()
	select {
	case listener.conns <- serverConn:
		accepted = true
		p.mu.Lock()
		defer p.mu.Unlock()
		p.connections = append(p.connections, peerConnection{from, addr, clientConn})
		return clientConn, nil
	case <-listener.done:
		return nil, errConnectionRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener implements net.Listener for a PeerNetwork.
type pipeListener struct {
	addr  string
	conns chan net.Conn
	done  chan struct{} // closed by Close
	once  sync.Once
}

// Accept waits for the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener; it may be called several times.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address of the listener.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: l.addr, Net: "pipe"} }

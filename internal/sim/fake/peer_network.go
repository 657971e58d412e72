package fake

import (
	"context"
	"net"
	"sync"
	"time"
)

// PeerNetwork connects controllers with each other within a process, by pipes.
type PeerNetwork struct {
	mu          sync.Mutex // guards what follows
	listeners   map[string]*pipeListener
	partitioned func(from, to string) bool          // nil: nobody is
	latency     func(from, to string) time.Duration // nil: none
	connections []peerConnection                    // all that were made, perhaps closed since
}

// peerConnection is the dialer's end of a connection.
type peerConnection struct {
	from, to string
	conn     net.Conn
}

// NewPeerNetwork returns a network without listeners, partitions and latency.
func NewPeerNetwork() *PeerNetwork { return &PeerNetwork{listeners: map[string]*pipeListener{}} }

// SetPartition has f decide who cannot connect to whom from now on; their open connections are
// reset. It is called under the network's lock.
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

// SetLatency has f decide how long what is sent takes from one node to another, on connections that
// are opened from now on; nil: no time.
func (p *PeerNetwork) SetLatency(f func(from, to string) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency = f
}

// Listen takes an address, also from a listener that had it before.
func (p *PeerNetwork) Listen(addr string) net.Listener {
	l := &pipeListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[addr] = l
	return l
}

// Dial connects to a listener.
func (p *PeerNetwork) Dial(ctx context.Context, from, addr string) (net.Conn, error) {
	p.mu.Lock()
	listener := p.listeners[addr]
	partitioned := p.partitioned != nil && p.partitioned(from, addr)
	latency := p.latency
	p.mu.Unlock()
	if listener == nil || partitioned {
		return nil, errConnectionRefused
	}
	near, far := net.Pipe()
	if latency != nil {
		near = newLatencyConn(near, func() time.Duration { return latency(from, addr) })
		far = newLatencyConn(far, func() time.Duration { return latency(addr, from) })
		time.Sleep(latency(from, addr) + latency(addr, from)) // to connect takes a message and its answer
	}
	accepted := false
	defer func() {
		if !accepted {
			near.Close()
			far.Close()
		}
	}()
	select {
	case listener.conns <- far:
		accepted = true
		p.mu.Lock()
		defer p.mu.Unlock()
		p.connections = append(p.connections, peerConnection{from, addr, near})
		return near, nil
	case <-listener.done:
		return nil, errConnectionRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener is a listener of a PeerNetwork.
type pipeListener struct {
	addr  string
	conns chan net.Conn
	done  chan struct{} // closed with the listener
	once  sync.Once
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: l.addr, Net: "pipe"} }

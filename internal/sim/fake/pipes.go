package fake

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// PeerNetwork connects peers within a process.
type PeerNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	cut       func(from, to string) bool
	lag       func(from, to string) time.Duration
	open      []opened
}

// NewPeerNetwork makes pipes between nobody yet.
func NewPeerNetwork() *PeerNetwork { return &PeerNetwork{listeners: map[string]*pipeListener{}} }

// SetPartition decides who cannot connect to whom; their open connections are reset.
func (p *PeerNetwork) SetPartition(f func(from, to string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = f
	for _, o := range p.open {
		if f(o.from, o.to) {
			o.near.Close()
		}
	}
}

// SetLatency decides how long what is sent takes from one to the other, on connections that are
// opened from now on; nil: no time.
func (p *PeerNetwork) SetLatency(f func(from, to string) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = f
}

// opened is a connection that was made, perhaps closed since.
type opened struct {
	from, to string
	near     net.Conn
}

type pipeListener struct {
	pipes *PeerNetwork
	addr  string
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Listen takes an address, also from one that had it before.
func (p *PeerNetwork) Listen(addr string) net.Listener {
	l := &pipeListener{pipes: p, addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[addr] = l
	return l
}

// Dial connects to a listener.
func (p *PeerNetwork) Dial(ctx context.Context, from, addr string) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[addr]
	cut := p.cut != nil && p.cut(from, addr)
	lag := p.lag
	p.mu.Unlock()
	if l == nil || cut {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	if lag != nil {
		near = newLaggedConn(near, func() time.Duration { return lag(from, addr) })
		far = newLaggedConn(far, func() time.Duration { return lag(addr, from) })
		time.Sleep(lag(from, addr) + lag(addr, from)) // to connect takes a message and its answer
	}
	taken := false
	defer func() {
		if !taken {
			near.Close()
			far.Close()
		}
	}()
	select {
	case l.conns <- far:
		taken = true
		p.mu.Lock()
		defer p.mu.Unlock()
		p.open = append(p.open, opened{from, addr, near})
		return near, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
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

package main

import (
	"net"
	"sync"
	"time"
)

// link carries TCP connections to one address. While it is cut, it holds all packets, new connections too, and delivers
// them in order once the cut ends.
type link struct {
	addr string // where it listens
	to   string

	mu  sync.Mutex
	cut time.Time // until then
}

func newLink(to string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	k := &link{addr: l.Addr().String(), to: to}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go k.carry(in)
		}
	}()
	return k
}

func (k *link) hold(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = time.Now().Add(d)
}

func (k *link) await() {
	for {
		k.mu.Lock()
		left := time.Until(k.cut)
		k.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (k *link) carry(in net.Conn) {
	defer in.Close()
	k.await()
	out, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer out.Close()
	var wg sync.WaitGroup
	for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
		wg.Go(func() {
			buffer := make([]byte, 16<<10)
			for {
				n, err := pair[0].Read(buffer)
				k.await()
				if n > 0 {
					if _, werr := pair[1].Write(buffer[:n]); werr != nil {
						err = werr
					}
				}
				if err != nil {
					in.Close()
					out.Close()
					return
				}
			}
		})
	}
	wg.Wait()
}

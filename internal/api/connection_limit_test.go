package api

import (
	"net"
	"net/http"
	"slices"
	"testing"
)

// TestConnLimiter opens more connections than a node's sockets allow: the one that has been
// idle for longest must be closed, none that is in use, and some sockets are left for what the
// node opens itself.
func TestConnLimiter(t *testing.T) {
	type event struct {
		conn  int
		state http.ConnState
	}
	opened := func(n int) (out []event) {
		for i := range n {
			out = append(out, event{i, http.StateNew})
		}
		return out
	}
	const limit = 14 // of 16 sockets
	cases := []struct {
		name   string
		events []event
		want   []int // closed
	}{
		{"as many as allowed", opened(limit), nil},
		{"one more, all in use", opened(limit + 1), []int{limit}},
		{"the one idle for longest is closed first", append(opened(limit), event{3, http.StateIdle}, event{1, http.StateIdle}, event{limit, http.StateNew}), []int{3}},
		{"one in use again stays open", append(opened(limit), event{3, http.StateIdle}, event{1, http.StateIdle}, event{3, http.StateActive}, event{limit, http.StateNew}), []int{1}},
		{"closed ones do not count", append(opened(limit), event{2, http.StateClosed}, event{limit, http.StateNew}), nil},
		{"none is closed twice", append(opened(limit), event{3, http.StateIdle}, event{limit, http.StateNew}, event{3, http.StateClosed}, event{limit + 1, http.StateNew}), []int{3, limit + 1}},
	}
	for _, c := range cases {
		limiter := NewConnLimiter(16)
		var all []net.Conn
		for range limit + 2 {
			conn, other := net.Pipe()
			defer other.Close()
			all = append(all, conn)
		}
		var got []int
		for _, e := range c.events {
			if evicted := limiter.track(all[e.conn], e.state); evicted != nil {
				got = append(got, slices.Index(all, evicted))
			}
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: closed %v, want %v", c.name, got, c.want)
		}
	}
}

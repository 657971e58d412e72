package api

import (
	"net"
	"net/http"
	"slices"
	"testing"
)

// TestConnLimiter opens more connections than the limit allows. The limiter must close the one that has been
// idle longest and none that is in use, and must leave the reserved sockets free.
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
	const limit = 14 // of 16 sockets, 2 are reserved
	cases := []struct {
		name   string
		events []event
		want   []int // connections that are closed, in order
	}{
		{"as many connections as allowed", opened(limit), nil},
		{"one too many, all in use: the new one is closed", opened(limit + 1), []int{limit}},
		{"the longest idle connection is closed first", append(opened(limit), event{3, http.StateIdle}, event{1, http.StateIdle}, event{limit, http.StateNew}), []int{3}},
		{"a connection that is in use again stays open", append(opened(limit), event{3, http.StateIdle}, event{1, http.StateIdle}, event{3, http.StateActive}, event{limit, http.StateNew}), []int{1}},
		{"closed connections do not count", append(opened(limit), event{2, http.StateClosed}, event{limit, http.StateNew}), nil},
		{"a connection is not closed twice", append(opened(limit), event{3, http.StateIdle}, event{limit, http.StateNew}, event{3, http.StateClosed}, event{limit + 1, http.StateNew}), []int{3, limit + 1}},
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
			t.Errorf("%s: closed connections %v, want %v", c.name, got, c.want)
		}
	}
}

package api

import (
	"context"
	"net"
	"net/http"
	"testing"
)

// TestIsFromSameMachine checks from which source addresses a handover may be requested.
func TestIsFromSameMachine(t *testing.T) {
	cases := []struct {
		name, from, local string
		want              bool
	}{
		{"loopback", "127.0.0.1:50000", "127.0.0.1", true},
		{"IPv6 loopback", "[::1]:50000", "::1", true},
		{"the address that the request was sent to", "10.0.0.1:50000", "10.0.0.1", true},
		{"another machine", "10.0.0.2:50000", "10.0.0.1", false},
		{"a malformed source address", "nobody", "10.0.0.1", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			local := &net.TCPAddr{IP: net.ParseIP(tc.local), Port: 8080}
			ctx := context.WithValue(t.Context(), http.LocalAddrContextKey, local)
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://node/standby/handover", nil)
			if err != nil {
				t.Fatal(err)
			}
			r.RemoteAddr = tc.from
			if got := isFromSameMachine(r); got != tc.want {
				t.Errorf("request from %s to %s: counts as from the same machine: %t, want %t", tc.from, tc.local, got, tc.want)
			}
		})
	}
}

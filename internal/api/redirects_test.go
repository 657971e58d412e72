package api

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRedirects has a worker come back after its redirect, sooner and later.
func TestRedirects(t *testing.T) {
	cases := []struct {
		name     string
		after    time.Duration // of the redirect
		returned bool
	}{
		{"at the same time", 0, false},
		{"within the grace period", time.Second, false},
		{"after the grace period", time.Second + time.Millisecond, true},
		{"just before the redirect expires", 15 * time.Second, true},
		{"after the redirect expired", 15*time.Second + time.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r redirects
				if r.noteOrReturned("m-1") {
					t.Error("returned before it was redirected")
				}
				time.Sleep(c.after)
				if got := r.noteOrReturned("m-1"); got != c.returned {
					t.Errorf("returned %v, want %v", got, c.returned)
				}
				if r.noteOrReturned("m-2") {
					t.Error("another worker counts as returned")
				}
			})
		})
	}
}

package api

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRedirectTracker checks after which times a worker that sends another heartbeat counts as having returned from
// a redirect.
func TestRedirectTracker(t *testing.T) {
	cases := []struct {
		name     string
		after    time.Duration // time since the redirect
		returned bool
	}{
		{"at the time of the redirect", 0, false},
		{"within the grace period", time.Second, false},
		{"after the grace period", time.Second + time.Millisecond, true},
		{"just before the redirect expires", 15 * time.Second, true},
		{"after the redirect expired", 15*time.Second + time.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r redirectTracker
				if r.recordUnlessReturned("m-1") {
					t.Error("worker m-1 counts as returned before it was redirected, want a redirect")
				}
				time.Sleep(c.after)
				if got := r.recordUnlessReturned("m-1"); got != c.returned {
					t.Errorf("worker m-1: got returned %v, want %v", got, c.returned)
				}
				if r.recordUnlessReturned("m-2") {
					t.Error("worker m-2 counts as returned after a redirect of m-1, want a redirect")
				}
			})
		})
	}
}

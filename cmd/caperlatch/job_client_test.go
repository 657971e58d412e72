package main

import (
	"testing"

	"caperlatch/internal/wire"
)

// TestSubmitRetries checks that users' requests are repeated where the protocol says so.
func TestSubmitRetries(t *testing.T) {
	cases := []struct {
		name       string
		codes      []int // of the answers; the last one is repeated
		asked      int
		wantOutput []string
		wantError  string
	}{
		{"at once", []int{201}, 1, []string{"j-100001: pending"}, ""},
		{"known already", []int{200}, 1, []string{"j-100001: pending"}, ""},
		{"overload, then an outage", []int{429, 503, 201}, 3, []string{"j-100001: pending"}, ""},
		{"rejected", []int{400}, 1, nil, "bad request"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			asked := 0
			node := serveAnswers(t, "POST /v1/jobs", func() (int, any) {
				asked++
				return c.codes[min(asked, len(c.codes))-1], wire.JobStatus{ID: "j-100001", State: wire.JobPending}
			})
			checkCommandOutput(t, c.wantOutput, c.wantError, "submit", "--node", node, "../../deploy/job.example.json")
			if asked != c.asked {
				t.Errorf("asked %d times, want %d", asked, c.asked)
			}
		})
	}
}

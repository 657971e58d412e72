package main

import (
	"testing"

	"caperlatch/internal/wire"
)

// TestSubmitRetries checks that a submission is retried after an overload or an outage, and not after a definite
// response.
func TestSubmitRetries(t *testing.T) {
	cases := []struct {
		name       string
		codes      []int // HTTP statuses of the responses; the last one is repeated
		requests   int   // number of requests expected
		wantOutput []string
		wantError  string
	}{
		{"accepted at once", []int{201}, 1, []string{"j-100001: pending"}, ""},
		{"already known", []int{200}, 1, []string{"j-100001: pending"}, ""},
		{"overload, then an outage", []int{429, 503, 201}, 3, []string{"j-100001: pending"}, ""},
		{"rejected", []int{400}, 1, nil, "bad request"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			requests := 0
			node := startFakeNode(t, "POST /v1/jobs", func() (int, any) {
				requests++
				return c.codes[min(requests, len(c.codes))-1], wire.JobStatus{ID: "j-100001", State: wire.JobPending}
			})
			checkCommandOutput(t, c.wantOutput, c.wantError, "submit", "--node", node, "../../deploy/job.example.json")
			if requests != c.requests {
				t.Errorf("the client sent %d requests, want %d", requests, c.requests)
			}
		})
	}
}

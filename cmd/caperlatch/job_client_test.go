package main

import (
	"testing"

	"caperlatch/internal/wire"
)

// TestSubmitRetries has users' requests be repeated at the next node where the protocol says so.
func TestSubmitRetries(t *testing.T) {
	cases := []struct {
		name  string
		codes []int // of the answers, the last one for ever
		asked int
		says  []string
		wrong string
	}{
		{"at once", []int{201}, 1, []string{"j-100001: pending"}, ""},
		{"known already", []int{200}, 1, []string{"j-100001: pending"}, ""},
		{"overload, then an outage", []int{429, 503, 201}, 3, []string{"j-100001: pending"}, ""},
		{"refused", []int{400}, 1, nil, "bad request"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			asked := 0
			node := answering(t, "POST /v1/jobs", func() (int, any) {
				asked++
				return c.codes[min(asked, len(c.codes))-1], wire.JobStatus{ID: "j-100001", Status: wire.JobPending}
			})
			execute(t, c.says, c.wrong, "submit", "--node", node, "../../deploy/job.example.json")
			if asked != c.asked {
				t.Errorf("asked %d times, want %d", asked, c.asked)
			}
		})
	}
}

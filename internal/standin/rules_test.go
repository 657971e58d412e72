package standin

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/wire"
)

// TestRules has each rule broken once, so that the tests which rely on the checker can
// fail, and a day on which none is.
func TestRules(t *testing.T) {
	const poll, abort = "/v1/jobs/j-000001", "/v1/jobs/j-000001/abort"
	told := func(r *Rules, method, path string, code int, status string) {
		time.Sleep(time.Millisecond)
		r.Asks(path)
		sent := time.Now()
		time.Sleep(time.Millisecond)
		r.Told(method, path, strings.Split(path+"/j-000001", "/")[3], sent, code, wire.JobStatus{ID: "j-000001", Status: status})
	}
	cases := []struct {
		rule string
		day  func(r *Rules)
	}{
		{"", func(r *Rules) {
			r.Started("j-000001/0", "i-1")
			r.Left("j-000001/0", "i-1", false)
			r.Started("j-000001/0", "i-2")
			r.Started("j-000001/1", "i-1")
			told(r, "GET", poll, 503, "")
			r.Left("j-000001/0", "i-2", true)
			r.Left("j-000001/1", "i-1", true)
			told(r, "GET", poll, 200, wire.JobDone)
			told(r, "POST", abort, 200, wire.JobDone)
		}},
		{"ran_twice", func(r *Rules) { r.Started("j-000001/0", "i-1"); r.Started("j-000001/0", "i-2") }},
		{"quota", func(r *Rules) {
			for _, task := range []string{"j-000001/0", "j-000001/1", "j-000001/2"} {
				r.Started(task, "i-1")
			}
		}},
		{"wrong_place", func(r *Rules) { r.Started("j-000001/0", "i-3") }},
		{"ran_cancelled", func(r *Rules) {
			r.Started("j-000001/0", "i-1")
			told(r, "POST", abort, 200, wire.JobCancelled)
			time.Sleep(11 * time.Second)
		}},
		{"ran_cancelled", func(r *Rules) {
			told(r, "POST", abort, 200, wire.JobCancelled)
			time.Sleep(11 * time.Second)
			r.Started("j-000001/0", "i-1")
		}},
		{"forgotten", func(r *Rules) { told(r, "GET", poll, 404, "") }},
		{"forgotten", func(r *Rules) { told(r, "POST", "/v1/jobs", 422, "") }},
		{"invented", func(r *Rules) { told(r, "GET", "/v1/jobs/j-000002", 200, wire.JobPending) }},
		{"not_done", func(r *Rules) {
			r.Started("j-000001/0", "i-1")
			r.Left("j-000001/0", "i-1", true)
			told(r, "GET", poll, 200, wire.JobDone)
		}},
		{"went_back", func(r *Rules) {
			told(r, "POST", abort, 200, wire.JobCancelled)
			told(r, "GET", poll, 200, wire.JobPending)
		}},
		{"went_back", func(r *Rules) { told(r, "GET", poll, 200, wire.JobCancelled) }},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			r := NewRules(10*time.Second, map[string]float64{"small": 2})
			for _, m := range []string{"i-1", "i-2"} {
				r.Rented(m, wire.Rental{Type: "m4", Zone: "a", Spot: true})
			}
			r.Rented("i-3", wire.Rental{Type: "m4", Zone: "b", Spot: true})
			r.Submits(wire.Job{ID: "j-000001", Team: "small", Tasks: 2, CPUs: 1, Zone: "a", Spot: true})
			told(r, "POST", "/v1/jobs", 201, wire.JobPending)
			c.day(r)
			broken := r.Broken()
			if c.rule == "" && broken != nil || c.rule != "" && (len(broken) == 0 || !strings.HasPrefix(broken[0], c.rule+":")) {
				t.Errorf("found %v, want %q", broken, c.rule)
			}
		})
	}
}

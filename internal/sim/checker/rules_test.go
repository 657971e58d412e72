package checker

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/wire"
)

// testInstanceTypes are what machines there are: one type, in zone a.
var testInstanceTypes = []wire.InstanceType{{Name: "m4", CPUs: 4, MemoryGB: 16, Zones: []string{"a"}}}

// TestRules has each rule broken once, so that the tests which rely on the checker can
// fail, and a day on which none is.
func TestRules(t *testing.T) {
	const poll, abort = "/v1/jobs/j-000001", "/v1/jobs/j-000001/abort"
	told := func(r *Rules, method, path string, code int, status string) {
		time.Sleep(time.Millisecond)
		r.ObserveRequest(path)
		sent := time.Now()
		time.Sleep(time.Millisecond)
		r.ObserveResponse(method, path, strings.Split(path+"/j-000001", "/")[3], sent, code, wire.JobStatus{ID: "j-000001", Status: status})
	}
	// apart starts the tasks of a job on these machines.
	apart := func(r *Rules, job wire.Job, machines ...string) {
		job.ID, job.Team, job.Tasks, job.AllowSpot = "j-000002", "blue", 4, true
		r.ObserveSubmission(job)
		for i, m := range machines {
			r.ObserveStart(fmt.Sprintf("j-000002/%d", i), m)
		}
	}
	accepted := func(r *Rules, job wire.Job) {
		job.ID, job.Tasks = "j-000002", max(1, job.Tasks)
		r.ObserveSubmission(job)
		r.ObserveResponse("POST", "/v1/jobs", job.ID, time.Now(), 201, wire.JobStatus{ID: job.ID, Status: wire.JobPending})
	}
	cases := []struct {
		rule string
		day  func(r *Rules)
	}{
		{"", func(r *Rules) {
			r.ObserveStart("j-000001/0", "i-1")
			r.ObserveExit("j-000001/0", "i-1", false)
			r.ObserveStart("j-000001/0", "i-2")
			r.ObserveStart("j-000001/1", "i-1")
			told(r, "GET", poll, 503, "")
			r.ObserveExit("j-000001/0", "i-2", true)
			r.ObserveExit("j-000001/1", "i-1", true)
			told(r, "GET", poll, 200, wire.JobDone)
			told(r, "POST", abort, 200, wire.JobDone)
		}},
		{"ran_unknown", func(r *Rules) { r.ObserveStart("j-000009/0", "i-1") }},
		{"ran_twice", func(r *Rules) { r.ObserveStart("j-000001/0", "i-1"); r.ObserveStart("j-000001/0", "i-2") }},
		{"quota", func(r *Rules) {
			for _, task := range []string{"j-000001/0", "j-000001/1", "j-000001/2"} {
				r.ObserveStart(task, "i-1")
			}
		}},
		{"wrong_place", func(r *Rules) { r.ObserveStart("j-000001/0", "i-3") }},
		{"ran_cancelled", func(r *Rules) {
			r.ObserveStart("j-000001/0", "i-1")
			told(r, "POST", abort, 200, wire.JobCancelled)
			time.Sleep(11 * time.Second)
		}},
		{"ran_cancelled", func(r *Rules) {
			told(r, "POST", abort, 200, wire.JobCancelled)
			time.Sleep(11 * time.Second)
			r.ObserveStart("j-000001/0", "i-1")
		}},
		{"forgotten", func(r *Rules) { told(r, "GET", poll, 404, "") }},
		{"forgotten", func(r *Rules) { told(r, "POST", "/v1/jobs", 422, "") }},
		{"invented", func(r *Rules) { told(r, "GET", "/v1/jobs/j-000002", 200, wire.JobPending) }},
		{"not_done", func(r *Rules) {
			r.ObserveStart("j-000001/0", "i-1")
			r.ObserveExit("j-000001/0", "i-1", true)
			told(r, "GET", poll, 200, wire.JobDone)
		}},
		{"went_back", func(r *Rules) {
			told(r, "POST", abort, 200, wire.JobCancelled)
			told(r, "GET", poll, 200, wire.JobPending)
		}},
		{"went_back", func(r *Rules) { told(r, "GET", poll, 200, wire.JobCancelled) }},
		{"went_back", func(r *Rules) {
			told(r, "POST", abort, 200, wire.JobCancelled)
			told(r, "POST", "/v1/jobs", 200, wire.JobPending)
		}},
		{"forgotten", func(r *Rules) { told(r, "POST", "/v1/jobs", 404, "") }},
		{"forgotten", func(r *Rules) { told(r, "POST", abort, 404, "") }},
		// A question may be answered before the submission is.
		{"forgotten", func(r *Rules) {
			r.ObserveSubmission(wire.Job{ID: "j-000003", Team: "small", Tasks: 1, CPUs: 1})
			r.ObserveResponse("GET", "/v1/jobs/j-000003", "j-000003", time.Now(), 200, wire.JobStatus{ID: "j-000003", Status: wire.JobPending})
			time.Sleep(time.Millisecond)
			r.ObserveResponse("GET", "/v1/jobs/j-000003", "j-000003", time.Now(), 404, wire.JobStatus{})
		}},
		// It left, but too late, and nothing else happened meanwhile.
		{"ran_cancelled", func(r *Rules) {
			r.ObserveStart("j-000001/0", "i-1")
			told(r, "POST", abort, 200, wire.JobCancelled)
			time.Sleep(10*time.Second + time.Millisecond)
			r.ObserveExit("j-000001/0", "i-1", false)
		}},
		{"", func(r *Rules) {
			r.ObserveStart("j-000001/0", "i-1")
			told(r, "POST", abort, 200, wire.JobCancelled)
			time.Sleep(10 * time.Second)
			r.ObserveExit("j-000001/0", "i-1", false)
		}},
		{"wrong_place", func(r *Rules) { apart(r, wire.Job{SingleZone: true}, "i-1", "i-3") }},
		{"", func(r *Rules) { apart(r, wire.Job{SingleZone: true}, "i-1", "i-2", "i-2") }},
		{"wrong_place", func(r *Rules) { apart(r, wire.Job{SpreadZones: true}, "i-1", "i-3", "i-2", "i-1") }},
		{"", func(r *Rules) { apart(r, wire.Job{SpreadZones: true}, "i-1", "i-3", "i-2") }},
		{"accepted_wrong", func(r *Rules) { accepted(r, wire.Job{Team: "small", CPUs: 3}) }},
		{"accepted_wrong", func(r *Rules) { accepted(r, wire.Job{Team: "blue", CPUs: 5}) }},
		{"accepted_wrong", func(r *Rules) {
			accepted(r, wire.Job{Team: "small", CPUs: 1, Tasks: 3, Kind: wire.KindGang})
		}},
		{"accepted_wrong", func(r *Rules) { accepted(r, wire.Job{Team: "blue", CPUs: 1, Zone: "z"}) }},
		{"accepted_wrong", func(r *Rules) { accepted(r, wire.Job{Team: "nobody's", CPUs: 1}) }},
		{"accepted_wrong", func(r *Rules) {
			r.ObserveMalformedSubmission("j-000002")
			r.ObserveResponse("POST", "/v1/jobs", "j-000002", time.Now(), 201, wire.JobStatus{ID: "j-000002", Status: wire.JobPending})
		}},
		// The repeat of a job that was accepted may say anything.
		{"", func(r *Rules) {
			r.ObserveMalformedSubmission("j-000001")
			told(r, "POST", "/v1/jobs", 200, wire.JobPending)
		}},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			r := NewRules(10*time.Second, map[string]float64{"small": 2, "blue": 0}, testInstanceTypes)
			for _, m := range []string{"i-1", "i-2"} {
				r.ObserveLaunch(m, wire.LaunchRequest{InstanceType: "m4", Zone: "a", Spot: true})
			}
			r.ObserveLaunch("i-3", wire.LaunchRequest{InstanceType: "m4", Zone: "b", Spot: true})
			r.ObserveSubmission(wire.Job{ID: "j-000001", Team: "small", Tasks: 2, CPUs: 1, Zone: "a", AllowSpot: true})
			told(r, "POST", "/v1/jobs", 201, wire.JobPending)
			c.day(r)
			broken := r.Violations()
			if c.rule == "" && broken != nil || c.rule != "" && (len(broken) == 0 || !strings.HasPrefix(broken[0], c.rule+":")) {
				t.Errorf("found %v, want %q", broken, c.rule)
			}
		})
	}
}

// TestStartsAfterCancel counts the starts of a job that its user knows to be cancelled,
// also those within cancel_s.
func TestStartsAfterCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRules(10*time.Second, map[string]float64{"blue": 0}, testInstanceTypes)
		r.ObserveSubmission(wire.Job{ID: "j-000001", Team: "blue", Tasks: 2, CPUs: 1})
		r.ObserveRequest("/v1/jobs/j-000001/abort")
		for i, want := range []int{0, 1} {
			r.ObserveStart(fmt.Sprintf("j-000001/%d", i), "i-1")
			if got := r.StartsAfterCancel(); got != want {
				t.Errorf("start %d: %d counted, want %d", i, got, want)
			}
			r.ObserveResponse("POST", "/v1/jobs/j-000001/abort", "j-000001", time.Now(), 200, wire.JobStatus{ID: "j-000001", Status: wire.JobCancelled})
			time.Sleep(time.Second)
		}
	})
}

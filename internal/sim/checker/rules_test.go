package checker

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/wire"
)

// testInstanceTypes are the instance types of the tests: one type, in zone a.
var testInstanceTypes = []wire.InstanceType{{Name: "m4", CPUs: 4, MemoryGB: 16, Zones: []string{"a"}}}

// Paths of requests about job j-000001, with which all cases start.
const (
	submitPath = "/v1/jobs"
	jobPath    = "/v1/jobs/j-000001"
	abortPath  = "/v1/jobs/j-000001/abort"
)

// requestAndRespond observes a request about a job and its response, each one millisecond after the previous
// observation, so that their times differ.
func requestAndRespond(r *Rules, method, path string, code int, status string) {
	time.Sleep(time.Millisecond)
	r.ObserveRequest(path)
	sent := time.Now()
	time.Sleep(time.Millisecond)
	r.ObserveResponse(Response{
		Method: method,
		Path:   path,
		JobID:  strings.Split(path+"/j-000001", "/")[3],
		SentAt: sent,
		Code:   code,
		Status: wire.JobStatus{ID: "j-000001", State: status},
	})
}

// respondAtOnce observes a response about a job to a request that was sent at the same time.
func respondAtOnce(r *Rules, method, path, id string, code int, status wire.JobStatus) {
	r.ObserveResponse(Response{Method: method, Path: path, JobID: id, SentAt: time.Now(), Code: code, Status: status})
}

// submitAndStart submits the job as j-000002 and starts one of its tasks on each of the machines.
func submitAndStart(r *Rules, job wire.Job, machines ...string) {
	job.ID, job.Team, job.Tasks, job.AllowSpot = "j-000002", "blue", 4, true
	r.ObserveSubmission(job)
	for i, m := range machines {
		r.ObserveStart(fmt.Sprintf("j-000002/%d", i), m)
	}
}

// submitAndAccept submits the job as j-000002 and observes a response that accepts it.
func submitAndAccept(r *Rules, job wire.Job) {
	job.ID, job.Tasks = "j-000002", max(1, job.Tasks)
	r.ObserveSubmission(job)
	respondAtOnce(r, "POST", submitPath, job.ID, 201, wire.JobStatus{ID: job.ID, State: wire.JobPending})
}

// ruleCase is a run that violates one rule or none. At its start, job j-000001 of the team "small" is accepted. The team
// has a limit of 2 CPUs, and the job has two tasks with one CPU each that may run only in zone a.
type ruleCase struct {
	name string
	rule string // the rule that the first violation must name; empty: there must be no violation
	run  func(r *Rules)
}

// taskCases covers the rules on where and when tasks run.
var taskCases = []ruleCase{
	{"all tasks complete, one on its second machine", "", func(r *Rules) {
		r.ObserveStart("j-000001/0", "i-1")
		r.ObserveExit("j-000001/0", "i-1", false)
		r.ObserveStart("j-000001/0", "i-2")
		r.ObserveStart("j-000001/1", "i-1")
		requestAndRespond(r, "GET", jobPath, 503, "")
		r.ObserveExit("j-000001/0", "i-2", true)
		r.ObserveExit("j-000001/1", "i-1", true)
		requestAndRespond(r, "GET", jobPath, 200, wire.JobDone)
		requestAndRespond(r, "POST", abortPath, 200, wire.JobDone)
	}},
	{"task of a job that was never submitted", "ran_unknown", func(r *Rules) { r.ObserveStart("j-000009/0", "i-1") }},
	{"task on two machines", "ran_twice", func(r *Rules) {
		r.ObserveStart("j-000001/0", "i-1")
		r.ObserveStart("j-000001/0", "i-2")
	}},
	{"team over its limit", "quota", func(r *Rules) {
		for _, task := range []string{"j-000001/0", "j-000001/1", "j-000001/2"} {
			r.ObserveStart(task, "i-1")
		}
	}},
	{"zone that the job does not allow", "wrong_place", func(r *Rules) { r.ObserveStart("j-000001/0", "i-3") }},
	{"cancelled task never exits", "ran_cancelled", func(r *Rules) {
		r.ObserveStart("j-000001/0", "i-1")
		requestAndRespond(r, "POST", abortPath, 200, wire.JobCancelled)
		time.Sleep(11 * time.Second)
	}},
	{"task starts long after cancellation", "ran_cancelled", func(r *Rules) {
		requestAndRespond(r, "POST", abortPath, 200, wire.JobCancelled)
		time.Sleep(11 * time.Second)
		r.ObserveStart("j-000001/0", "i-1")
	}},
	// The exit itself must reveal the violation: nothing else is observed between the timeout and the exit.
	{"cancelled task exits just too late", "ran_cancelled", func(r *Rules) {
		r.ObserveStart("j-000001/0", "i-1")
		requestAndRespond(r, "POST", abortPath, 200, wire.JobCancelled)
		time.Sleep(10*time.Second + time.Millisecond)
		r.ObserveExit("j-000001/0", "i-1", false)
	}},
	{"cancelled task exits just in time", "", func(r *Rules) {
		r.ObserveStart("j-000001/0", "i-1")
		requestAndRespond(r, "POST", abortPath, 200, wire.JobCancelled)
		time.Sleep(10 * time.Second)
		r.ObserveExit("j-000001/0", "i-1", false)
	}},
	{"single-zone job in two zones", "wrong_place", func(r *Rules) { submitAndStart(r, wire.Job{SingleZone: true}, "i-1", "i-3") }},
	{"single-zone job in one zone", "", func(r *Rules) { submitAndStart(r, wire.Job{SingleZone: true}, "i-1", "i-2", "i-2") }},
	{"over half of a spread job in one zone", "wrong_place", func(r *Rules) { submitAndStart(r, wire.Job{SpreadZones: true}, "i-1", "i-3", "i-2", "i-1") }},
	{"half of a spread job in one zone", "", func(r *Rules) { submitAndStart(r, wire.Job{SpreadZones: true}, "i-1", "i-3", "i-2") }},
}

// responseCases covers the rules on responses to users.
var responseCases = []ruleCase{
	{"query of an accepted job answers 404", "forgotten", func(r *Rules) { requestAndRespond(r, "GET", jobPath, 404, "") }},
	{"repeated submission answers 422", "forgotten", func(r *Rules) { requestAndRespond(r, "POST", submitPath, 422, "") }},
	{"repeated submission answers 404", "forgotten", func(r *Rules) { requestAndRespond(r, "POST", submitPath, 404, "") }},
	{"cancellation answers 404", "forgotten", func(r *Rules) { requestAndRespond(r, "POST", abortPath, 404, "") }},
	// The response to a query may arrive before the response to the submission.
	{"query confirms a job before its submission is answered", "forgotten", func(r *Rules) {
		r.ObserveSubmission(wire.Job{ID: "j-000003", Team: "small", Tasks: 1, CPUs: 1})
		respondAtOnce(r, "GET", "/v1/jobs/j-000003", "j-000003", 200, wire.JobStatus{ID: "j-000003", State: wire.JobPending})
		time.Sleep(time.Millisecond)
		respondAtOnce(r, "GET", "/v1/jobs/j-000003", "j-000003", 404, wire.JobStatus{})
	}},
	{"status of a job that was never submitted", "invented", func(r *Rules) { requestAndRespond(r, "GET", "/v1/jobs/j-000002", 200, wire.JobPending) }},
	{"job is done before its last task", "not_done", func(r *Rules) {
		r.ObserveStart("j-000001/0", "i-1")
		r.ObserveExit("j-000001/0", "i-1", true)
		requestAndRespond(r, "GET", jobPath, 200, wire.JobDone)
	}},
	{"query reports a cancelled job as pending", "went_back", func(r *Rules) {
		requestAndRespond(r, "POST", abortPath, 200, wire.JobCancelled)
		requestAndRespond(r, "GET", jobPath, 200, wire.JobPending)
	}},
	{"job is cancelled without a request", "went_back", func(r *Rules) { requestAndRespond(r, "GET", jobPath, 200, wire.JobCancelled) }},
	{"repeated submission reports a cancelled job as pending", "went_back", func(r *Rules) {
		requestAndRespond(r, "POST", abortPath, 200, wire.JobCancelled)
		requestAndRespond(r, "POST", submitPath, 200, wire.JobPending)
	}},
	{"one task over the team's limit is accepted", "accepted_wrong", func(r *Rules) { submitAndAccept(r, wire.Job{Team: "small", CPUs: 3}) }},
	{"task larger than any machine is accepted", "accepted_wrong", func(r *Rules) { submitAndAccept(r, wire.Job{Team: "blue", CPUs: 5}) }},
	{"gang over the team's limit is accepted", "accepted_wrong", func(r *Rules) {
		submitAndAccept(r, wire.Job{Team: "small", CPUs: 1, Tasks: 3, Kind: wire.KindGang})
	}},
	{"zone without machines is accepted", "accepted_wrong", func(r *Rules) { submitAndAccept(r, wire.Job{Team: "blue", CPUs: 1, Zone: "z"}) }},
	{"unknown team is accepted", "accepted_wrong", func(r *Rules) { submitAndAccept(r, wire.Job{Team: "nobody's", CPUs: 1}) }},
	{"malformed submission is accepted", "accepted_wrong", func(r *Rules) {
		r.ObserveMalformedSubmission("j-000002")
		respondAtOnce(r, "POST", submitPath, "j-000002", 201, wire.JobStatus{ID: "j-000002", State: wire.JobPending})
	}},
	// The content of a repeated submission of an accepted job is ignored.
	{"malformed repeat of an accepted job", "", func(r *Rules) {
		r.ObserveMalformedSubmission("j-000001")
		requestAndRespond(r, "POST", submitPath, 200, wire.JobPending)
	}},
}

// TestRuleViolations checks that the checker reports a violation of each rule, so that tests which rely on it can
// fail, and that it reports none in runs that comply with the rules.
func TestRuleViolations(t *testing.T) {
	for _, c := range append(taskCases[:len(taskCases):len(taskCases)], responseCases...) {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := NewRules(10*time.Second, map[string]float64{"small": 2, "blue": 0}, testInstanceTypes)
				for _, m := range []string{"i-1", "i-2"} {
					r.ObserveLaunch(m, wire.LaunchRequest{InstanceType: "m4", Zone: "a", Spot: true})
				}
				r.ObserveLaunch("i-3", wire.LaunchRequest{InstanceType: "m4", Zone: "b", Spot: true})
				r.ObserveSubmission(wire.Job{ID: "j-000001", Team: "small", Tasks: 2, CPUs: 1, Zone: "a", AllowSpot: true})
				requestAndRespond(r, "POST", submitPath, 201, wire.JobPending)
				c.run(r)
				violations := r.Violations()
				if c.rule == "" && violations != nil || c.rule != "" && (len(violations) == 0 || !strings.HasPrefix(violations[0], c.rule+":")) {
					t.Errorf("violations %q, want the first to name rule %q, or none if the rule is empty", violations, c.rule)
				}
			})
		})
	}
}

// TestStartsAfterCancel checks that starts after the user received the cancellation are counted, even within the
// cancellation timeout.
func TestStartsAfterCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRules(10*time.Second, map[string]float64{"blue": 0}, testInstanceTypes)
		r.ObserveSubmission(wire.Job{ID: "j-000001", Team: "blue", Tasks: 2, CPUs: 1})
		r.ObserveRequest(abortPath)
		for i, want := range []int{0, 1} {
			r.ObserveStart(fmt.Sprintf("j-000001/%d", i), "i-1")
			if got := r.StartsAfterCancel(); got != want {
				t.Errorf("after start %d: got %d starts after cancellation, want %d", i, got, want)
			}
			respondAtOnce(r, "POST", abortPath, "j-000001", 200, wire.JobStatus{ID: "j-000001", State: wire.JobCancelled})
			time.Sleep(time.Second)
		}
	})
}

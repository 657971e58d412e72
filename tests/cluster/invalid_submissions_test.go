package cluster

import (
	"fmt"
	"maps"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/wire"
)

// invalidSubmission is a submission that every node must reject.
type invalidSubmission struct {
	name        string
	makeInvalid func(job map[string]any) // makes a valid job invalid
	wantCode    int                      // 422 if a node needs the instance types or the settings to reject the job
}

var invalidSubmissions = []invalidSubmission{
	{name: "no image", makeInvalid: withoutField("bundle"), wantCode: http.StatusBadRequest},
	{name: "no number of tasks", makeInvalid: withoutField("pieces"), wantCode: http.StatusBadRequest},
	{name: "no estimate", makeInvalid: withoutField("expect_s"), wantCode: http.StatusBadRequest},
	{name: "too many tasks", makeInvalid: withField("pieces", 100001), wantCode: http.StatusBadRequest},
	{name: "unknown priority", makeInvalid: withField("rank", "high"), wantCode: http.StatusBadRequest},
	{name: "unknown team", makeInvalid: withField("desk", "nobody's"), wantCode: http.StatusUnprocessableEntity},
	{name: "task larger than any machine", makeInvalid: withField("vcpus", 5.0), wantCode: http.StatusUnprocessableEntity},
	{name: "GPUs where no machine has any", makeInvalid: withField("cards", 1.0), wantCode: http.StatusUnprocessableEntity},
	{name: "unknown zone", makeInvalid: withField("hall", "z"), wantCode: http.StatusUnprocessableEntity},
	{name: "unknown instance type", makeInvalid: withField("builds", []string{"m5"}), wantCode: http.StatusUnprocessableEntity},
	{
		name:        "task over the team's limit",
		makeInvalid: withFields(map[string]any{"desk": "small", "vcpus": 4.5}),
		wantCode:    http.StatusUnprocessableEntity,
	},
	{name: "unknown kind", makeInvalid: withField("shape", "band"), wantCode: http.StatusBadRequest},
	{name: "kind is a number", makeInvalid: withField("shape", 7), wantCode: http.StatusBadRequest},
	{name: "gang with half a task", makeInvalid: withFields(map[string]any{"shape": "gang", "pieces": 0.5}), wantCode: http.StatusBadRequest},
	{
		name:        "gang with a number for a flag",
		makeInvalid: withFields(map[string]any{"shape": "gang", "together": 1}),
		wantCode:    http.StatusBadRequest,
	},
	{
		name:        "gang with text for a number of tasks",
		makeInvalid: withFields(map[string]any{"shape": "gang", "pieces": "3"}),
		wantCode:    http.StatusBadRequest,
	},
	{name: "gang without a number of tasks", makeInvalid: gangWithoutTasks, wantCode: http.StatusBadRequest},
	{
		name:        "gang over the team's limit, each task within it",
		makeInvalid: withFields(map[string]any{"shape": "gang", "desk": "small", "pieces": 5, "vcpus": 1.0}),
		wantCode:    http.StatusUnprocessableEntity,
	},
	{
		name:        "gang with tasks larger than any machine",
		makeInvalid: withFields(map[string]any{"shape": "gang", "vcpus": 5.0}),
		wantCode:    http.StatusUnprocessableEntity,
	},
}

// withField returns a function that sets a field of a submission, by the field's name on the wire.
func withField(field string, value any) func(job map[string]any) {
	return withFields(map[string]any{field: value})
}

// withFields returns a function that sets fields of a submission, by their names on the wire.
func withFields(fields map[string]any) func(job map[string]any) {
	return func(job map[string]any) { maps.Copy(job, fields) }
}

// withoutField returns a function that removes a field of a submission.
func withoutField(field string) func(job map[string]any) {
	return func(job map[string]any) { delete(job, field) }
}

// gangWithoutTasks turns a job into a gang without the field that gives the number of tasks.
func gangWithoutTasks(job map[string]any) {
	job["shape"] = "gang"
	delete(job, "pieces")
}

// submissionFaults are faults that determine what nodes know when they get invalid submissions.
var submissionFaults = []struct {
	name                 string
	inject               func(c *cluster)
	instanceTypesUnknown bool // no node knows the instance types
}{
	{name: "no fault", inject: func(*cluster) {}},
	{name: "all nodes have just started, and the cloud is unavailable", inject: restartWithoutCloud},
	{name: "no node knows the instance types", inject: func(c *cluster) { c.setFault(refuseAllCloudRequests) }, instanceTypesUnknown: true},
}

// restartWithoutCloud makes the cloud unavailable and restarts all nodes, which then learn the instance types only from
// the state service.
func restartWithoutCloud(c *cluster) {
	c.setFault(refuseAllCloudRequests)
	c.restartNodes(0, 1, 2)
	time.Sleep(2 * time.Second)
}

// TestInvalidSubmissions submits invalid jobs to every node. Nodes must reject them also if they have just started and
// know the instance types only from the state service. Nodes that do not know the instance types must answer 503 where
// the decision depends on them.
func TestInvalidSubmissions(t *testing.T) {
	for _, fault := range submissionFaults {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				if fault.instanceTypesUnknown {
					fault.inject(c)
					time.Sleep(5 * time.Second)
				} else {
					c.submit("j-000001", 1)
					c.awaitStatus("j-000001", wire.JobDone, time.Minute)
					fault.inject(c)
				}
				for i, submission := range invalidSubmissions {
					for node := range c.size {
						job := testJob(fmt.Sprintf("j-%06d", 100+i), 1)
						submission.makeInvalid(job)
						c.checkRejected(node, job, submission, fault.instanceTypesUnknown)
						if !fault.instanceTypesUnknown {
							c.checkRepeatOfDoneJob(node, job, submission.name)
						}
					}
				}
				c.checkRules()
			})
		})
	}
}

// checkRejected submits an invalid job to a node, which must reject the job and then answer 404 for it. A node that does
// not know the instance types cannot check a job against them, and must answer 503 so that the user tries again later.
func (c *cluster) checkRejected(node int, job map[string]any, submission invalidSubmission, instanceTypesUnknown bool) {
	c.t.Helper()
	id := job["id"].(string)
	want := submission.wantCode
	if instanceTypesUnknown && want == http.StatusUnprocessableEntity {
		want = http.StatusServiceUnavailable
	}
	if code, _ := c.submitTo(node, job); code != want {
		c.t.Errorf("%s: node %d answers the submission with code %d, want %d", submission.name, node, code, want)
	}
	if code, _ := c.queryJob(node, id); code != http.StatusNotFound {
		c.t.Errorf("%s: node %d answers a query of the rejected job with code %d, want 404", submission.name, node, code)
	}
	if code, _ := c.requestCancellation(node, id); code != http.StatusNotFound {
		c.t.Errorf("%s: node %d answers a cancellation of the rejected job with code %d, want 404", submission.name, node, code)
	}
}

// checkRepeatOfDoneJob submits an invalid job under the ID of a job that is done. A node must accept it as a repeat of
// the accepted submission, whatever else it contains, and a cancellation must no longer change the job.
func (c *cluster) checkRepeatOfDoneJob(node int, job map[string]any, name string) {
	c.t.Helper()
	job["id"] = "j-000001"
	if code, s := c.submitTo(node, job); code != http.StatusOK || s.State != wire.JobDone {
		c.t.Errorf("%s: node %d answers the repeat of a job that is done with code %d, status %q, want 200, \"done\"", name, node, code, s.State)
	}
	if code, s := c.requestCancellation(node, "j-000001"); code != http.StatusOK || s.State != wire.JobDone {
		c.t.Errorf("node %d answers the cancellation of a job that is done with code %d, status %q, want 200, \"done\"", node, code, s.State)
	}
}

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
	name     string
	edit     func(job map[string]any) // makes a valid job invalid
	wantCode int                      // 422 if it takes the instance types or the settings to tell
}

var invalidSubmissions = []invalidSubmission{
	{name: "no image", edit: withoutField("bundle"), wantCode: http.StatusBadRequest},
	{name: "no number of tasks", edit: withoutField("pieces"), wantCode: http.StatusBadRequest},
	{name: "no estimate", edit: withoutField("expect_s"), wantCode: http.StatusBadRequest},
	{name: "too many tasks", edit: withField("pieces", 100001), wantCode: http.StatusBadRequest},
	{name: "unknown priority", edit: withField("rank", "high"), wantCode: http.StatusBadRequest},
	{name: "unknown team", edit: withField("desk", "nobody's"), wantCode: http.StatusUnprocessableEntity},
	{name: "task larger than any machine", edit: withField("vcpus", 5.0), wantCode: http.StatusUnprocessableEntity},
	{name: "GPUs where no machine has any", edit: withField("cards", 1.0), wantCode: http.StatusUnprocessableEntity},
	{name: "unknown zone", edit: withField("hall", "z"), wantCode: http.StatusUnprocessableEntity},
	{name: "unknown instance type", edit: withField("builds", []string{"m5"}), wantCode: http.StatusUnprocessableEntity},
	{
		name:     "task over the team's limit",
		edit:     withFields(map[string]any{"desk": "small", "vcpus": 4.5}),
		wantCode: http.StatusUnprocessableEntity,
	},
	{name: "unknown kind", edit: withField("shape", "band"), wantCode: http.StatusBadRequest},
	{name: "kind is a number", edit: withField("shape", 7), wantCode: http.StatusBadRequest},
	{name: "gang with half a task", edit: withFields(map[string]any{"shape": "gang", "pieces": 0.5}), wantCode: http.StatusBadRequest},
	{
		name:     "gang with a number for a flag",
		edit:     withFields(map[string]any{"shape": "gang", "together": 1}),
		wantCode: http.StatusBadRequest,
	},
	{
		name:     "gang with text for a number of tasks",
		edit:     withFields(map[string]any{"shape": "gang", "pieces": "3"}),
		wantCode: http.StatusBadRequest,
	},
	{name: "gang without a number of tasks", edit: gangWithoutTasks, wantCode: http.StatusBadRequest},
	{
		name:     "gang over the team's limit, each task within it",
		edit:     withFields(map[string]any{"shape": "gang", "desk": "small", "pieces": 5, "vcpus": 1.0}),
		wantCode: http.StatusUnprocessableEntity,
	},
	{
		name:     "gang with tasks larger than any machine",
		edit:     withFields(map[string]any{"shape": "gang", "vcpus": 5.0}),
		wantCode: http.StatusUnprocessableEntity,
	},
}

// withField sets a field of a submission, by the protocol's name.
func withField(field string, value any) func(job map[string]any) {
	return withFields(map[string]any{field: value})
}

// withFields sets fields of a submission, by the protocol's names.
func withFields(fields map[string]any) func(job map[string]any) {
	return func(job map[string]any) { maps.Copy(job, fields) }
}

// withoutField removes a field of a submission.
func withoutField(field string) func(job map[string]any) {
	return func(job map[string]any) { delete(job, field) }
}

// gangWithoutTasks makes a job a gang that does not say how many tasks it has.
func gangWithoutTasks(job map[string]any) {
	job["shape"] = "gang"
	delete(job, "pieces")
}

// submissionFaults are what nodes may know as they get invalid submissions.
var submissionFaults = []struct {
	name    string
	inject  func(c *cluster)
	unknown bool // the instance types are, to all nodes
}{
	{name: "no fault", inject: func(*cluster) {}},
	{name: "all nodes have just started, and the cloud is unavailable", inject: restartWithoutCloud},
	{name: "no node knows the instance types", inject: func(c *cluster) { c.setFault(refuseAllCloudRequests) }, unknown: true},
}

// restartWithoutCloud makes the cloud unavailable and restarts all nodes: they know the instance
// types only from the state service.
func restartWithoutCloud(c *cluster) {
	c.setFault(refuseAllCloudRequests)
	c.restartNodes(0, 1, 2)
	time.Sleep(2 * time.Second)
}

// TestInvalidSubmissions submits invalid jobs to every node: also to nodes that have just started,
// and to nodes that know the instance types only from the state service.
func TestInvalidSubmissions(t *testing.T) {
	for _, fault := range submissionFaults {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				if fault.unknown {
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
						submission.edit(job)
						c.checkRejected(node, job, submission, fault.unknown)
						if !fault.unknown {
							c.checkRepeatOfDoneJob(node, job, submission.name)
						}
					}
				}
				c.checkRules()
			})
		})
	}
}

// checkRejected submits an invalid job to a node, which must reject it and then not know it. A node
// that does not know the instance types cannot judge by them, and must ask for a later attempt.
func (c *cluster) checkRejected(node int, job map[string]any, submission invalidSubmission, instanceTypesUnknown bool) {
	c.t.Helper()
	id := job["id"].(string)
	want := submission.wantCode
	if instanceTypesUnknown && want == http.StatusUnprocessableEntity {
		want = http.StatusServiceUnavailable
	}
	if code, _ := c.submitTo(node, job); code != want {
		c.t.Errorf("%s: node %d answers %d, want %d", submission.name, node, code, want)
	}
	if code, _ := c.queryJob(node, id); code != http.StatusNotFound {
		c.t.Errorf("%s: node %d answers %d to a query of what it rejected", submission.name, node, code)
	}
	if code, _ := c.requestCancellation(node, id); code != http.StatusNotFound {
		c.t.Errorf("%s: node %d answers %d to a cancellation of what it rejected", submission.name, node, code)
	}
}

// checkRepeatOfDoneJob submits an invalid job under the ID of a job that is done. The repeat of an
// accepted job is accepted whatever it says, and a cancellation no longer changes the job.
func (c *cluster) checkRepeatOfDoneJob(node int, job map[string]any, name string) {
	c.t.Helper()
	job["id"] = "j-000001"
	if code, s := c.submitTo(node, job); code != http.StatusOK || s.State != wire.JobDone {
		c.t.Errorf("%s: node %d answers %d %q to the repeat of a job that is done", name, node, code, s.State)
	}
	if code, s := c.requestCancellation(node, "j-000001"); code != http.StatusOK || s.State != wire.JobDone {
		c.t.Errorf("node %d answers %d %q to a cancellation of a job that is done", node, code, s.State)
	}
}

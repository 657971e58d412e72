// Package harness runs whole clusters: stand-ins of the state service, the cloud and its workers,
// controllers as processes on loopback, and users under the checker of the protocol's rules.
//
// Tests and `caperlatch lab` use the same driver. It makes no judgement but the checker's.
package harness

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"caperlatch/internal/sim/checker"
	"caperlatch/internal/wire"
)

// Users sends users' requests to nodes and shows the answers to the checker of the rules.
type Users struct {
	Client *http.Client
	Rules  *checker.Rules
	Nodes  int
}

// Times of users.
const (
	// userPatience is how long users wait for an answer.
	userPatience = 5 * time.Second
	// pollEvery is between two questions about a job.
	pollEvery = time.Second
)

// submissions is how often a submission is repeated.
const submissions = 60

// jobsPath is where jobs are submitted, and below which each is.
const jobsPath = "/v1/jobs"

// Errors of awaiting a job.
var (
	ErrJobNotFound   = errors.New("the job was forgotten")
	ErrStatusTimeout = errors.New("the job has not got there in time")
)

// host is where a node answers users.
func host(node int) string { return fmt.Sprintf("host-%d:8080", node) }

// Request sends a user's request to a node and shows the answer to the checker of the
// rules. The code is 0 if there was no answer.
func (u *Users) Request(method string, node int, path string, body any) (int, wire.JobStatus) {
	id := cmp.Or(u.submits(body), u.Rules.ObserveRequest(path))
	sent := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), userPatience)
	defer cancel()
	code, answer, err := wire.Call(ctx, u.Client, method, "http://"+host(node)+path, body)
	if err != nil {
		return 0, wire.JobStatus{}
	}
	var status wire.JobStatus
	if len(answer) > 0 {
		_ = wire.Unmarshal(answer, &status) // an error body has no status, which the callers see
	}
	if strings.HasPrefix(path, jobsPath) {
		u.Rules.ObserveResponse(checker.Response{Method: method, Path: path, JobID: id, SentAt: sent, Code: code, Status: status})
	}
	return code, status
}

// submits shows a submission to the checker of the rules and returns its id, if it has one.
func (u *Users) submits(body any) string {
	if body == nil {
		return ""
	}
	content, err := wire.Marshal(body)
	if err != nil {
		panic(err)
	}
	id := wire.ParseSubmissionID(content)
	if spec, err := wire.ParseJob(content); err == nil {
		u.Rules.ObserveSubmission(spec)
	} else if id != "" {
		u.Rules.ObserveMalformedSubmission(id)
	}
	return id
}

// Submit submits a job to a node and tells whether it is accepted now or was before.
func (u *Users) Submit(node int, job any) bool {
	code, _ := u.Request(http.MethodPost, node, jobsPath, job)
	return code == http.StatusCreated || code == http.StatusOK
}

// SubmitWithRetries repeats a submission sixty times, each time at the next node, and tells whether it
// was taken.
func (u *Users) SubmitWithRetries(first int, pause time.Duration, job any) bool {
	for try := range submissions {
		if u.Submit((first+try)%u.Nodes, job) {
			return true
		}
		time.Sleep(pause)
	}
	return false
}

// AwaitStatus polls, each time at the next node, until a job has a status.
func (u *Users) AwaitStatus(id, status string, within time.Duration) error {
	var last wire.JobStatus
	code := 0
	for begun, try := time.Now(), 0; time.Since(begun) < within; try++ {
		code, last = u.Request(http.MethodGet, try%u.Nodes, jobsPath+"/"+id, nil)
		if code == http.StatusNotFound {
			return fmt.Errorf("%s: %w", id, ErrJobNotFound)
		}
		if last.Status == status {
			return nil
		}
		time.Sleep(pollEvery)
	}
	return fmt.Errorf("%s is %q (%d) after %v, want %s: %w", id, last.Status, code, within, status, ErrStatusTimeout)
}

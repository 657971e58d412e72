// Package harness runs whole clusters for tests, measurements and `caperlatch lab`: controllers
// within the process (InProcessCluster) or as processes on loopback (ProcessCluster), among fakes of
// all that surrounds them, and users (Users) whose requests the checker of the rules sees.
//
// It owns the lives of nodes and fakes. It must never judge a run: that is the checker's part.
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

// Users sends users' requests to nodes, and passes requests and responses on to the checker of the
// rules. It is safe for concurrent use.
type Users struct {
	Client *http.Client
	Rules  *checker.Rules
	Nodes  int // in the cluster
}

const (
	// responseTimeout is how long users wait for a response.
	responseTimeout = 5 * time.Second
	// statusPollInterval is between two queries of a job's status.
	statusPollInterval = time.Second
	// maxSubmissions is how often a submission is repeated.
	maxSubmissions = 60
)

// jobsPath is where jobs are submitted, and below which each job is.
const jobsPath = "/v1/jobs"

// Errors of awaiting a job's status.
var (
	ErrJobNotFound   = errors.New("the job was forgotten")
	ErrStatusTimeout = errors.New("the job has not got there in time")
)

// userHost is where a node answers users.
func userHost(node int) string { return fmt.Sprintf(MemberFormat+":8080", node) }

// Request sends a user's request to a node. The code is 0 if there was no response.
func (u *Users) Request(method string, node int, path string, body any) (int, wire.JobStatus) {
	id := cmp.Or(u.observeSubmission(body), u.Rules.ObserveRequest(path))
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	code, response, err := wire.Call(ctx, u.Client, method, "http://"+userHost(node)+path, body)
	if err != nil {
		return 0, wire.JobStatus{}
	}
	var status wire.JobStatus
	if len(response) > 0 {
		_ = wire.Unmarshal(response, &status) // an error body has no status, which the callers see
	}
	if strings.HasPrefix(path, jobsPath) {
		u.Rules.ObserveResponse(checker.Response{Method: method, Path: path, JobID: id, SentAt: sentAt, Code: code, Status: status})
	}
	return code, status
}

// observeSubmission passes a submission on to the checker and returns the job's ID, if it has one.
func (u *Users) observeSubmission(body any) string {
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

// Submit submits a job to a node, and reports whether it is accepted now or was before.
func (u *Users) Submit(node int, job any) bool {
	code, _ := u.Request(http.MethodPost, node, jobsPath, job)
	return code == http.StatusCreated || code == http.StatusOK
}

// SubmitWithRetries repeats a submission up to sixty times, each time at the next node, and reports
// whether it was accepted.
func (u *Users) SubmitWithRetries(firstNode int, pause time.Duration, job any) bool {
	for try := range maxSubmissions {
		if u.Submit((firstNode+try)%u.Nodes, job) {
			return true
		}
		time.Sleep(pause)
	}
	return false
}

// AwaitStatus polls, each time at the next node, until a job has a status. The error is
// ErrJobNotFound if a node does not know the job, ErrStatusTimeout if the time is over.
func (u *Users) AwaitStatus(id, status string, timeout time.Duration) error {
	var last wire.JobStatus
	code := 0
	for start, try := time.Now(), 0; time.Since(start) < timeout; try++ {
		code, last = u.Request(http.MethodGet, try%u.Nodes, jobsPath+"/"+id, nil)
		if code == http.StatusNotFound {
			return fmt.Errorf("%s: %w", id, ErrJobNotFound)
		}
		if last.State == status {
			return nil
		}
		time.Sleep(statusPollInterval)
	}
	return fmt.Errorf("%s is %q (%d) after %v, want %s: %w", id, last.State, code, timeout, status, ErrStatusTimeout)
}

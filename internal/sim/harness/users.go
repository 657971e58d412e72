// Package harness runs whole clusters for tests, measurements and `caperlatch lab`: controllers within the process
// (InProcessCluster) or as processes on loopback (ProcessCluster), fakes of the external systems, and users (Users),
// whose requests and responses it reports to the rule checker (checker.Rules).
//
// It manages the life cycle of nodes and fakes. It must never decide whether a run complies with the rules; only the
// package checker does that.
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

// Users sends requests of users to nodes, and reports the requests and responses to the rule checker. It is safe for
// concurrent use.
type Users struct {
	Client *http.Client
	Rules  *checker.Rules
	Nodes  int // number of nodes in the cluster
}

const (
	// responseTimeout is the time for which users wait for a response.
	responseTimeout = 5 * time.Second
	// statusPollInterval is the interval between two queries of a job's status.
	statusPollInterval = time.Second
	// maxSubmissions is the maximum number of attempts of SubmitWithRetries.
	maxSubmissions = 60
)

// jobsPath is the path for submissions, and the prefix of the paths of jobs.
const jobsPath = "/v1/jobs"

// Errors of AwaitStatus.
var (
	ErrJobNotFound   = errors.New("job not found")
	ErrStatusTimeout = errors.New("timed out waiting for the job status")
)

// nodeHost returns the host at which a node serves requests of users and workers.
func nodeHost(node int) string { return fmt.Sprintf(MemberFormat+":8080", node) }

// Request sends a request of a user to a node. The returned code is 0 if there was no response.
func (u *Users) Request(method string, node int, path string, body any) (int, wire.JobStatus) {
	id := cmp.Or(u.observeSubmission(body), u.Rules.ObserveRequest(path))
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	code, response, err := wire.Call(ctx, u.Client, method, "http://"+nodeHost(node)+path, body)
	if err != nil {
		return 0, wire.JobStatus{}
	}
	var status wire.JobStatus
	if len(response) > 0 {
		_ = wire.Unmarshal(response, &status) // an error response has no status; callers check the code and the status
	}
	if strings.HasPrefix(path, jobsPath) {
		u.Rules.ObserveResponse(checker.Response{Method: method, Path: path, JobID: id, SentAt: sentAt, Code: code, Status: status})
	}
	return code, status
}

// observeSubmission reports a submission to the checker and returns the job ID; empty if there is none.
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

// Submit submits a job to a node, and reports whether the job is accepted or already was.
func (u *Users) Submit(node int, job any) bool {
	code, _ := u.Request(http.MethodPost, node, jobsPath, job)
	return code == http.StatusCreated || code == http.StatusOK
}

// SubmitWithRetries submits a job to one node after the other until it is accepted, at most maxSubmissions times. It
// reports whether the job was accepted.
func (u *Users) SubmitWithRetries(firstNode int, pause time.Duration, job any) bool {
	for try := range maxSubmissions {
		if u.Submit((firstNode+try)%u.Nodes, job) {
			return true
		}
		time.Sleep(pause)
	}
	return false
}

// AwaitStatus polls one node after the other until a job has the given status. The error is ErrJobNotFound if a node
// does not know the job, or ErrStatusTimeout if the timeout expires.
func (u *Users) AwaitStatus(id, status string, timeout time.Duration) error {
	var last wire.JobStatus
	code := 0
	for start, try := time.Now(), 0; time.Since(start) < timeout; try++ {
		code, last = u.Request(http.MethodGet, try%u.Nodes, jobsPath+"/"+id, nil)
		if code == http.StatusNotFound {
			return fmt.Errorf("query status of %s: %w", id, ErrJobNotFound)
		}
		if last.State == status {
			return nil
		}
		time.Sleep(statusPollInterval)
	}
	return fmt.Errorf("status of %s is %q (code %d) after %v, want %s: %w", id, last.State, code, timeout, status, ErrStatusTimeout)
}

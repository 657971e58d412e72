package checker

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"caperlatch/internal/wire"
)

// Parts of the paths of requests about a job.
const (
	jobPathPrefix   = "/v1/jobs/"
	abortPathSuffix = "/abort"
)

// limitTolerance is the number of CPUs by which a gang may exceed its team's limit without a rejection. It allows for
// rounding in the sum of the CPUs of its tasks.
const limitTolerance = 1e-6

// Response is the response to a user's request about a job.
type Response struct {
	Method, Path string    // of the request
	JobID        string    // of the job that the request concerns
	SentAt       time.Time // when the request was sent
	Code         int       // HTTP status code
	Status       wire.JobStatus
}

// ObserveSubmission records a job that a user is about to submit.
func (r *Rules) ObserveSubmission(spec wire.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordSubmission(spec, r.rejection(&spec))
}

// ObserveMalformedSubmission records a malformed submission with a job ID that a user is about to send.
func (r *Rules) ObserveMalformedSubmission(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordSubmission(wire.Job{ID: id}, "malformed")
}

// recordSubmission records the first submission with an ID, or the first one that may be accepted if there is one. The
// content of all other submissions with the ID is ignored. The caller holds the lock.
func (r *Rules) recordSubmission(spec wire.Job, rejection string) {
	if job := r.jobs[spec.ID]; job == nil || job.rejection != "" && rejection == "" {
		r.jobs[spec.ID] = &jobRecord{spec: spec, rejection: rejection, doneTasks: map[string]bool{}, machineTasks: map[string]bool{}}
	}
}

// rejection returns the reason for which a job must be rejected, because it can never run; empty if it can run.
func (r *Rules) rejection(spec *wire.Job) string {
	limit, known := r.TeamCPULimits[spec.Team]
	switch {
	case !known:
		return "unknown team"
	case limit > 0 && spec.CPUs > limit:
		return "over the team's limit"
	case limit > 0 && spec.Kind == wire.KindGang && spec.CPUs*float64(spec.Tasks) > limit+limitTolerance:
		return "the whole gang is over the team's limit"
	}
	for i := range r.InstanceTypes {
		if canRunOn(spec, &r.InstanceTypes[i]) {
			return ""
		}
	}
	return "fits no allowed instance type"
}

// canRunOn reports whether a task of a job can run on an empty machine of an instance type.
func canRunOn(spec *wire.Job, t *wire.InstanceType) bool {
	typeAllowed := len(spec.InstanceTypes) == 0 || slices.Contains(spec.InstanceTypes, t.Name)
	zoneAllowed := spec.Zone == "" || slices.Contains(t.Zones, spec.Zone)
	return typeAllowed && zoneAllowed && spec.CPUs <= t.CPUs && spec.GPUs <= t.GPUs && spec.MemoryGB <= t.MemoryGB
}

// ObserveRequest records a request about a job that a user is about to send, and returns the job ID from the path.
func (r *Rules) ObserveRequest(path string) (id string) {
	id, abort := strings.CutSuffix(strings.TrimPrefix(path, jobPathPrefix), abortPathSuffix)
	r.mu.Lock()
	defer r.mu.Unlock()
	if job := r.jobs[id]; job != nil && abort {
		job.cancelRequested = true
	}
	return id
}

// ObserveResponse checks a response that a user has received.
func (r *Rules) ObserveResponse(response Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job := r.jobs[response.JobID]
	accepted := response.Code == http.StatusOK || response.Code == http.StatusCreated
	switch {
	case job == nil && accepted:
		r.recordViolation(ruleUnsubmittedJob, "%s was never submitted", response.JobID)
	case job == nil:
	case accepted:
		r.checkStatus(job, &response)
	case isRejection(response.Code) && !job.acceptedAt.IsZero() && job.acceptedAt.Before(response.SentAt):
		r.recordViolation(ruleAcceptedJobLost, "%s %s of an accepted job was answered with %d", response.Method, response.Path, response.Code)
	}
}

// isRejection reports whether a status code means that the job does not exist or is invalid.
func isRejection(code int) bool {
	return code == http.StatusNotFound || code == http.StatusBadRequest || code == http.StatusUnprocessableEntity
}

// checkStatus checks a response that has the status of a job. The caller holds the lock.
func (r *Rules) checkStatus(job *jobRecord, response *Response) {
	id, status := response.JobID, response.Status.State
	if job.acceptedAt.IsZero() {
		if job.rejection != "" {
			r.recordViolation(ruleAcceptedInvalid, "%s: %s", id, job.rejection)
		}
		job.acceptedAt = time.Now()
	}
	if job.finalStatus != "" && job.finalAt.Before(response.SentAt) && status != job.finalStatus {
		r.recordViolation(ruleStatusReverted, "%s had final status %s and is now %s", id, job.finalStatus, status)
	}
	switch status {
	case wire.JobDone:
		if len(job.doneTasks) < job.spec.Tasks {
			r.recordViolation(rulePrematureDone, "%s: only %d of %d tasks have completed", id, len(job.doneTasks), job.spec.Tasks)
		}
	case wire.JobCancelled:
		if !job.cancelRequested {
			r.recordViolation(ruleStatusReverted, "%s is cancelled without a cancellation request", id)
		}
	default:
		return
	}
	if job.finalStatus == "" {
		job.finalStatus, job.finalAt = status, time.Now()
		if status == wire.JobCancelled {
			r.cancelled = append(r.cancelled, job)
		}
	}
}

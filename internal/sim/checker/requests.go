package checker

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"caperlatch/internal/wire"
)

// Paths of a user's requests about a job.
const (
	jobPathPrefix   = "/v1/jobs/"
	abortPathSuffix = "/abort"
)

// limitTolerance is by how many CPUs a gang may exceed its team's limit without being rejected: it
// covers the rounding of the sum of its tasks' CPUs.
const limitTolerance = 1e-6

// Response is the response to a user's request about a job.
type Response struct {
	Method, Path string // of the request
	JobID        string // that the request is about
	SentAt       time.Time
	Code         int // status code
	Status       wire.JobStatus
}

// ObserveSubmission records that a user is about to submit a job.
func (r *Rules) ObserveSubmission(spec wire.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordSubmission(spec, r.rejection(&spec))
}

// ObserveMalformedSubmission records that a user is about to submit a job that lacks a field.
func (r *Rules) ObserveMalformedSubmission(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordSubmission(wire.Job{ID: id}, "malformed")
}

// recordSubmission keeps the first submission that may be accepted: what a later one with the same
// ID says counts for nothing. The caller holds the lock.
func (r *Rules) recordSubmission(spec wire.Job, rejection string) {
	if job := r.jobs[spec.ID]; job == nil || job.rejection != "" && rejection == "" {
		r.jobs[spec.ID] = &jobRecord{spec: spec, rejection: rejection, doneTasks: map[string]bool{}, machineTasks: map[string]bool{}}
	}
}

// rejection says why a job can never run; empty if it can.
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
	return "fits no machine"
}

// canRunOn reports whether a task of a job may run on an empty machine of a type.
func canRunOn(spec *wire.Job, t *wire.InstanceType) bool {
	typeAllowed := len(spec.InstanceTypes) == 0 || slices.Contains(spec.InstanceTypes, t.Name)
	zoneAllowed := spec.Zone == "" || slices.Contains(t.Zones, spec.Zone)
	return typeAllowed && zoneAllowed && spec.CPUs <= t.CPUs && spec.GPUs <= t.GPUs && spec.MemoryGB <= t.MemoryGB
}

// ObserveRequest records a request about a job that is about to be sent, and returns the job's ID.
func (r *Rules) ObserveRequest(path string) (id string) {
	id, abort := strings.CutSuffix(strings.TrimPrefix(path, jobPathPrefix), abortPathSuffix)
	r.mu.Lock()
	defer r.mu.Unlock()
	if job := r.jobs[id]; job != nil && abort {
		job.cancelRequested = true
	}
	return id
}

// ObserveResponse checks a response that a user has just received.
func (r *Rules) ObserveResponse(response Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job := r.jobs[response.JobID]
	accepted := response.Code == http.StatusOK || response.Code == http.StatusCreated
	switch {
	case job == nil && accepted:
		r.violate(ruleInvented, "%s", response.JobID)
	case job == nil:
	case accepted:
		r.checkStatus(job, &response)
	case isRejection(response.Code) && !job.acceptedAt.IsZero() && job.acceptedAt.Before(response.SentAt):
		r.violate(ruleForgotten, "%s %s answered %d", response.Method, response.Path, response.Code)
	}
}

// isRejection reports whether a status code says that there is no such job, or that it is invalid.
func isRejection(code int) bool {
	return code == http.StatusNotFound || code == http.StatusBadRequest || code == http.StatusUnprocessableEntity
}

// checkStatus checks a response that has a job's status; the caller holds the lock.
func (r *Rules) checkStatus(job *jobRecord, response *Response) {
	id, status := response.JobID, response.Status.State
	if job.acceptedAt.IsZero() {
		if job.rejection != "" {
			r.violate(ruleAcceptedInvalid, "%s: %s", id, job.rejection)
		}
		job.acceptedAt = time.Now()
	}
	if job.finalStatus != "" && job.finalAt.Before(response.SentAt) && status != job.finalStatus {
		r.violate(ruleWentBack, "%s was %s and is %s", id, job.finalStatus, status)
	}
	switch status {
	case wire.JobDone:
		if len(job.doneTasks) < job.spec.Tasks {
			r.violate(ruleNotDone, "%s: %d of %d tasks", id, len(job.doneTasks), job.spec.Tasks)
		}
	case wire.JobCancelled:
		if !job.cancelRequested {
			r.violate(ruleWentBack, "%s is cancelled, and nobody asked", id)
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

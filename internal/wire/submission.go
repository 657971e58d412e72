package wire

import (
	"errors"
	"fmt"
	"slices"
)

// submission is a job description as received from a user. Fields other than InstanceTypes are pointers, so that a
// missing field can be distinguished from a zero value.
//
// The fields are plain strings and numbers, and the type must keep its name: decoding errors contain the names of types
// and are shown to users.
type submission struct {
	ID                  *string  `json:"id"`
	Class               *string  `json:"lane"`
	Team                *string  `json:"desk"`
	Kind                *string  `json:"shape"`
	Priority            *string  `json:"rank"`
	Tasks               *int     `json:"pieces"`
	CPUs                *float64 `json:"vcpus"`
	GPUs                *float64 `json:"cards"`
	MemoryGB            *float64 `json:"memory_gb"`
	Image               *string  `json:"bundle"`
	ImageSizeGB         *float64 `json:"pull_gb"`
	InstanceTypes       []string `json:"builds"`
	Zone                *string  `json:"hall"`
	SingleZone          *bool    `json:"together"`
	SpreadZones         *bool    `json:"scatter"`
	AllowSpot           *bool    `json:"standby"`
	EstimatedRuntimeS   *float64 `json:"expect_s"`
	CheckpointIntervalS *float64 `json:"save_every_s"`
	CheckpointDurationS *float64 `json:"store_s"`
	DeadlineS           *float64 `json:"due_s"`
}

// ParseSubmissionID returns the job ID of a submission, or "" if it has no valid one. It does not validate the rest,
// because the response to a submission whose job ID is already in use does not depend on the rest. If the ID is
// repeated, the first one counts.
func ParseSubmissionID(body []byte) string {
	var s struct {
		ID string `json:"id"`
	}
	if Unmarshal(body, &s) != nil || !IsValidJobID(s.ID) {
		return ""
	}
	return s.ID
}

// ParseJob decodes and validates a submission. Its error texts are sent to the user with status 400.
func ParseJob(body []byte) (Job, error) {
	var s submission
	if err := Unmarshal(body, &s); err != nil {
		return Job{}, fmt.Errorf("not a job description: %w", err)
	}
	if err := checkSubmissionKeys(body); err != nil {
		return Job{}, err
	}
	job, err := s.job()
	if err != nil {
		return Job{}, err
	}
	if err := s.check(&job); err != nil {
		return Job{}, err
	}
	job.Tasks = *s.Tasks
	return job, nil
}

// job returns the described job without its number of tasks. The error names the first field that is missing or out of
// range.
func (s *submission) job() (Job, error) {
	var r fieldReader
	job := Job{
		ID:                  r.text("id", s.ID),
		Class:               r.text("lane", s.Class),
		Team:                r.text("desk", s.Team),
		Kind:                JobKind(r.text("shape", s.Kind)),
		Priority:            Priority(r.text("rank", s.Priority)),
		CPUs:                r.amount("vcpus", s.CPUs),
		GPUs:                r.amount("cards", s.GPUs),
		MemoryGB:            r.amount("memory_gb", s.MemoryGB),
		Image:               r.text("bundle", s.Image),
		ImageSizeGB:         r.amount("pull_gb", s.ImageSizeGB),
		InstanceTypes:       s.InstanceTypes,
		SingleZone:          r.flag("together", s.SingleZone),
		SpreadZones:         r.flag("scatter", s.SpreadZones),
		AllowSpot:           r.flag("standby", s.AllowSpot),
		EstimatedRuntimeS:   r.amount("expect_s", s.EstimatedRuntimeS),
		CheckpointIntervalS: r.amount("save_every_s", s.CheckpointIntervalS),
		CheckpointDurationS: r.amount("store_s", s.CheckpointDurationS),
	}
	if s.Zone != nil {
		job.Zone = r.text("hall", s.Zone)
	}
	if s.DeadlineS != nil {
		deadline := r.amount("due_s", s.DeadlineS)
		job.DeadlineS = &deadline
	}
	return job, r.err
}

// check returns an error if the protocol does not allow a value in the submission. All fields other than the number of
// tasks must have been read into job.
func (s *submission) check(job *Job) error {
	switch {
	case !IsValidJobID(job.ID):
		return errors.New("id is not in the form j-000000")
	case !slices.Contains(jobKinds, job.Kind):
		return errors.New("shape is unknown")
	case PriorityRank(job.Priority) < 0:
		return errors.New("rank is unknown")
	case s.Tasks == nil:
		return errors.New("pieces is missing")
	case *s.Tasks < 1 || *s.Tasks > MaxTasks:
		return errors.New("pieces is out of range")
	case s.InstanceTypes != nil && len(s.InstanceTypes) == 0:
		return errors.New("builds is empty")
	}
	return nil
}

// maxAmount is the maximum value of a numeric field. It is far above any realistic amount, and small enough that sums
// and products of amounts do not overflow.
const maxAmount = 1e12

// fieldReader reads required fields and records the first error. The values that it returns after an error must not be
// used.
type fieldReader struct{ err error }

// require records an error about a field if ok is false and no earlier error has been recorded.
func (r *fieldReader) require(ok bool, name, problem string) {
	if r.err == nil && !ok {
		r.err = fmt.Errorf("%s %s", name, problem)
	}
}

// required returns the value of a required field. If it is missing, required records an error and returns the zero
// value.
func required[T any](r *fieldReader, name string, value *T) T {
	r.require(value != nil, name, "is missing")
	if value == nil {
		return *new(T)
	}
	return *value
}

// text returns the value of a string field, which must not be empty.
func (r *fieldReader) text(name string, value *string) string {
	text := required(r, name, value)
	r.require(text != "", name, "is missing")
	return text
}

// amount returns the value of a numeric field, which must be between 0 and maxAmount and not NaN.
func (r *fieldReader) amount(name string, value *float64) float64 {
	amount := required(r, name, value)
	r.require(amount >= 0 && amount <= maxAmount, name, "is out of range")
	return amount
}

// flag returns the value of a boolean field.
func (r *fieldReader) flag(name string, value *bool) bool { return required(r, name, value) }

package wire

import (
	"errors"
	"fmt"
	"math"
)

// submission has a pointer for every field that must be there.
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

// ParseSubmissionID reads only the id of a submission: a known job is answered
// whatever else its repeat says. It is empty if there is none in good form.
func ParseSubmissionID(body []byte) string {
	var s struct {
		ID string `json:"id"`
	}
	if Unmarshal(body, &s) != nil || !IsValidJobID(s.ID) {
		return ""
	}
	return s.ID
}

// A CBOR value's major type stands in the top three bits of its first byte.
const (
	cborMap        = 5
	majorTypeShift = 5
)

// ParseJob decodes and checks a submission. Its errors are the user's (400).
func ParseJob(body []byte) (Job, error) {
	var s submission
	if err := Unmarshal(body, &s); err != nil {
		return Job{}, fmt.Errorf("not a job description: %w", err)
	}
	if len(body) == 0 || body[0]>>majorTypeShift != cborMap {
		return Job{}, errors.New("not a map")
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

// job copies the fields, all but the number of tasks, or tells which one is missing or no
// usable value.
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

// check tells what the protocol does not allow in a job that has all its fields.
func (s *submission) check(job *Job) error {
	switch {
	case !IsValidJobID(job.ID):
		return errors.New("id is not in the form j-000000")
	case job.Kind != KindArray && job.Kind != KindGang && job.Kind != KindService:
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

// maxAmount is far beyond any real amount, and small enough that sums and products of
// amounts stay in range.
const maxAmount = 1e12

// fieldReader reads fields that must be there and keeps the first error.
type fieldReader struct{ err error }

// text reads a text that is not empty.
func (r *fieldReader) text(name string, p *string) string {
	if r.err == nil && (p == nil || *p == "") {
		r.err = fmt.Errorf("%s is missing", name)
	}
	if r.err != nil {
		return ""
	}
	return *p
}

// amount reads a number that is finite and not negative.
func (r *fieldReader) amount(name string, p *float64) float64 {
	switch {
	case r.err != nil:
	case p == nil:
		r.err = fmt.Errorf("%s is missing", name)
	case math.IsNaN(*p) || math.IsInf(*p, 0) || *p < 0 || *p > maxAmount:
		r.err = fmt.Errorf("%s is out of range", name)
	default:
		return *p
	}
	return 0
}

// flag reads a truth value.
func (r *fieldReader) flag(name string, p *bool) bool {
	if r.err == nil && p == nil {
		r.err = fmt.Errorf("%s is missing", name)
	}
	return p != nil && *p
}

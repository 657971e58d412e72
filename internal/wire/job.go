package wire

import (
	"errors"
	"fmt"
	"math"
	"regexp"
)

// MaxTasks is the most tasks that a job may have.
const MaxTasks = 100000

// Job is a checked job description, as it is also stored.
type Job struct {
	ID          string   `json:"id"`
	Class       string   `json:"lane"`
	Team        string   `json:"desk"`
	Shape       string   `json:"shape"`
	Priority    string   `json:"rank"`
	Tasks       int      `json:"pieces"`
	CPUs        float64  `json:"vcpus"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memory_gb"`
	Image       string   `json:"bundle"`
	ImageGB     float64  `json:"pull_gb"`
	Types       []string `json:"builds,omitempty"`
	Zone        string   `json:"hall,omitempty"`
	OneZone     bool     `json:"together"`
	Spread      bool     `json:"scatter"`
	Spot        bool     `json:"standby"`
	EstimateS   float64  `json:"expect_s"`
	CheckpointS float64  `json:"save_every_s"`
	SaveS       float64  `json:"store_s"`
	DeadlineS   *float64 `json:"due_s,omitempty"`
}

// submission has a pointer for every field that must be there.
type submission struct {
	ID          *string  `json:"id"`
	Class       *string  `json:"lane"`
	Team        *string  `json:"desk"`
	Shape       *string  `json:"shape"`
	Priority    *string  `json:"rank"`
	Tasks       *int     `json:"pieces"`
	CPUs        *float64 `json:"vcpus"`
	GPUs        *float64 `json:"cards"`
	MemoryGB    *float64 `json:"memory_gb"`
	Image       *string  `json:"bundle"`
	ImageGB     *float64 `json:"pull_gb"`
	Types       []string `json:"builds"`
	Zone        *string  `json:"hall"`
	OneZone     *bool    `json:"together"`
	Spread      *bool    `json:"scatter"`
	Spot        *bool    `json:"standby"`
	EstimateS   *float64 `json:"expect_s"`
	CheckpointS *float64 `json:"save_every_s"`
	SaveS       *float64 `json:"store_s"`
	DeadlineS   *float64 `json:"due_s"`
}

var jobID = regexp.MustCompile(`^j-[0-9]{6,19}$`)

// ValidJobID tells whether an id has the protocol's form.
func ValidJobID(id string) bool { return jobID.MatchString(id) }

// SubmittedID reads only the id of a submission: a known job is answered
// whatever else its repeat says. It is empty if there is none in good form.
func SubmittedID(body []byte) string {
	var s struct {
		ID string `json:"id"`
	}
	if Unmarshal(body, &s) != nil || !ValidJobID(s.ID) {
		return ""
	}
	return s.ID
}

// ParseJob decodes and checks a submission. Its errors are the user's (400).
func ParseJob(body []byte) (Job, error) {
	var s submission
	if err := Unmarshal(body, &s); err != nil {
		return Job{}, fmt.Errorf("not a job description: %w", err)
	}
	if len(body) == 0 || body[0]>>5 != 5 { // major type 5 is a map
		return Job{}, errors.New("not a map")
	}
	var err error
	text := func(name string, p *string) string {
		if err == nil && (p == nil || *p == "") {
			err = fmt.Errorf("%s is missing", name)
		}
		if err != nil {
			return ""
		}
		return *p
	}
	amount := func(name string, p *float64, positive bool) float64 {
		switch {
		case err != nil:
		case p == nil:
			err = fmt.Errorf("%s is missing", name)
		case math.IsNaN(*p) || math.IsInf(*p, 0) || *p < 0 || positive && *p == 0 || *p > 1e12:
			err = fmt.Errorf("%s is out of range", name)
		default:
			return *p
		}
		return 0
	}
	flag := func(name string, p *bool) bool {
		if err == nil && p == nil {
			err = fmt.Errorf("%s is missing", name)
		}
		return p != nil && *p
	}
	j := Job{
		ID: text("id", s.ID), Class: text("lane", s.Class), Team: text("desk", s.Team),
		Shape: text("shape", s.Shape), Priority: text("rank", s.Priority),
		CPUs: amount("vcpus", s.CPUs, false), GPUs: amount("cards", s.GPUs, false),
		MemoryGB: amount("memory_gb", s.MemoryGB, false),
		Image:    text("bundle", s.Image), ImageGB: amount("pull_gb", s.ImageGB, false),
		Types: s.Types, OneZone: flag("together", s.OneZone), Spread: flag("scatter", s.Spread),
		Spot: flag("standby", s.Spot), EstimateS: amount("expect_s", s.EstimateS, false),
		CheckpointS: amount("save_every_s", s.CheckpointS, false), SaveS: amount("store_s", s.SaveS, false),
	}
	if s.Zone != nil {
		j.Zone = text("hall", s.Zone)
	}
	if s.DeadlineS != nil {
		due := amount("due_s", s.DeadlineS, false)
		j.DeadlineS = &due
	}
	switch {
	case err != nil:
	case !ValidJobID(j.ID):
		err = errors.New("id is not in the form j-000000")
	case j.Shape != ShapeArray && j.Shape != ShapeGang && j.Shape != ShapeService:
		err = errors.New("shape is unknown")
	case PriorityRank(j.Priority) < 0:
		err = errors.New("rank is unknown")
	case s.Tasks == nil:
		err = errors.New("pieces is missing")
	case *s.Tasks < 1 || *s.Tasks > MaxTasks:
		err = errors.New("pieces is out of range")
	case s.Types != nil && len(s.Types) == 0:
		err = errors.New("builds is empty")
	default:
		j.Tasks = *s.Tasks
	}
	return j, err
}

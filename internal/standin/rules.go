package standin

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"caperlatch/internal/wire"
)

// Rules watches what users are told and what runs, and notes each broken rule of the
// protocol by its name there.
type Rules struct {
	Cancel time.Duration      // cancel_s
	Limits map[string]float64 // CPUs that a team may use

	mu     sync.Mutex
	jobs   map[string]*watched
	on     map[string]string // task -> machine that has it
	used   map[string]float64
	kinds  map[string]wire.Rental // of machines
	broken []string
}

// watched is a job as its user knows it.
type watched struct {
	spec     wire.Job
	accepted time.Time
	asked    bool      // to be cancelled
	final    string    // status told, if it is one that stays
	told     time.Time // when
	done     map[string]bool
}

// NewRules watches nothing yet.
func NewRules(cancel time.Duration, limits map[string]float64) *Rules {
	return &Rules{Cancel: cancel, Limits: limits, jobs: map[string]*watched{}, on: map[string]string{},
		used: map[string]float64{}, kinds: map[string]wire.Rental{}}
}

func (r *Rules) breaks(rule, format string, args ...any) {
	r.broken = append(r.broken, rule+": "+fmt.Sprintf(format, args...))
}

// Broken lists the rules broken so far.
func (r *Rules) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overstayed()
	return slices.Clone(r.broken)
}

// Rented notes what kind of machine one is.
func (r *Rules) Rented(machine string, kind wire.Rental) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds[machine] = kind
}

// Started notes a task that is on a machine from now on.
func (r *Rules) Started(task, machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overstayed()
	if m, ok := r.on[task]; ok {
		r.breaks("ran_twice", "%s on %s and %s", task, m, machine)
	}
	id, _, _ := strings.Cut(task, "/")
	w := r.jobs[id]
	if w == nil {
		r.breaks("ran_unknown", "%s", task)
		return
	}
	kind := r.kinds[machine]
	if len(w.spec.Types) > 0 && !slices.Contains(w.spec.Types, kind.Type) || w.spec.Zone != "" && w.spec.Zone != kind.Zone || kind.Spot && !w.spec.Spot {
		r.breaks("wrong_place", "%s on %+v", task, kind)
	}
	if w.final == wire.JobCancelled && time.Since(w.told) > r.Cancel {
		r.breaks("ran_cancelled", "%s starts %v after its user was told", task, time.Since(w.told))
	}
	if _, ok := r.on[task]; !ok {
		r.used[w.spec.Team] += w.spec.CPUs
	}
	r.on[task] = machine
	if limit := r.Limits[w.spec.Team]; limit > 0 && r.used[w.spec.Team] > limit {
		r.breaks("quota", "team %s uses %v of %v CPUs", w.spec.Team, r.used[w.spec.Team], limit)
	}
}

// Left notes a task that is no longer on a machine, and whether it was done.
func (r *Rules) Left(task, machine string, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overstayed()
	id, _, _ := strings.Cut(task, "/")
	w := r.jobs[id]
	if w == nil || r.on[task] != machine {
		return
	}
	delete(r.on, task)
	r.used[w.spec.Team] -= w.spec.CPUs
	if done {
		w.done[task] = true
	}
}

// overstayed looks for tasks of jobs cancelled too long ago.
func (r *Rules) overstayed() {
	for task, machine := range r.on {
		id, _, _ := strings.Cut(task, "/")
		if w := r.jobs[id]; w != nil && w.final == wire.JobCancelled && time.Since(w.told) > r.Cancel {
			r.breaks("ran_cancelled", "%s is on %s %v after its user was told", task, machine, time.Since(w.told))
			delete(r.on, task)
		}
	}
}

// Submits notes that a user is about to submit a job.
func (r *Rules) Submits(spec wire.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[spec.ID] == nil {
		r.jobs[spec.ID] = &watched{spec: spec, done: map[string]bool{}}
	}
}

// Asks notes a request about a job that is about to be sent, and names the job.
func (r *Rules) Asks(path string) (id string) {
	id, abort := strings.CutSuffix(strings.TrimPrefix(path, "/v1/jobs/"), "/abort")
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.jobs[id]; w != nil && abort {
		w.asked = true
	}
	return id
}

// Told notes the answer to a request about a job that was sent at an instant.
func (r *Rules) Told(method, path, id string, sent time.Time, code int, s wire.JobStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.jobs[id]
	if w == nil {
		if code == http.StatusOK || code == http.StatusCreated {
			r.breaks("invented", "%s", id)
		}
		return
	}
	known := !w.accepted.IsZero() && w.accepted.Before(sent)
	switch code {
	case http.StatusOK, http.StatusCreated:
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		if known {
			r.breaks("forgotten", "%s %s answered %d", method, path, code)
		}
		return
	default:
		return
	}
	if w.accepted.IsZero() && method == http.MethodPost {
		w.accepted = time.Now()
	}
	if w.final != "" && w.told.Before(sent) && s.Status != w.final {
		r.breaks("went_back", "%s was %s and is %s", id, w.final, s.Status)
	}
	switch s.Status {
	case wire.JobDone:
		if len(w.done) < w.spec.Tasks {
			r.breaks("not_done", "%s: %d of %d tasks", id, len(w.done), w.spec.Tasks)
		}
	case wire.JobCancelled:
		if !w.asked {
			r.breaks("went_back", "%s is cancelled, and nobody asked", id)
		}
	default:
		return
	}
	if w.final == "" {
		w.final, w.told = s.Status, time.Now()
	}
}
